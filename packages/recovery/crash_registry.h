#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Upstreams on which a request was running when its connection broke without an answer.
struct CrashRecord {
  // Hash of account, method, path and body.
  std::uint64_t request = 0;
  std::vector<std::uint64_t> upstreams;

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

// Finds requests that crash the upstreams that run them. An upstream counts once for each request,
// by the hash of its name and start, and a complete answer clears the request. Daemons exchange
// their records, so a request that comes again through another daemon is known there. Not safe to
// use from several threads.
class CrashRegistry {
 public:
  // Crashes after which a request is refused.
  static constexpr std::size_t kRefusedAfter = 3;
  static constexpr Duration kLifetime = 60s;

  void OnCrash(std::uint64_t request, std::uint64_t upstream, TimePoint now);
  void OnCompleted(std::uint64_t request) { records_.erase(request); }
  void OnPeerRecord(const CrashRecord& record, TimePoint now);

  bool IsRefused(std::uint64_t request, TimePoint now) const;
  // Newest records for peers, at most this many.
  std::vector<CrashRecord> RecentRecords(std::size_t limit, TimePoint now) const;

 private:
  struct Entry {
    std::set<std::uint64_t> upstreams;
    TimePoint last{};
  };
  static constexpr std::size_t kMaxRecords = 4096;

  void MakeRoom(TimePoint now);

  std::unordered_map<std::uint64_t, Entry> records_;
};

}  // namespace savoryglade
