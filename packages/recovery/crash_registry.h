#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Upstreams whose connection was lost without an answer while they ran a request.
struct CrashRecord {
  // Hash of account, method, path and body.
  std::uint64_t request = 0;
  std::vector<std::uint64_t> upstreams;

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

// Detects requests that crash the upstreams that run them. Each upstream counts once per request,
// identified by the hash of its name and start time. A complete answer clears the request. Daemons
// exchange their records, so that a request that is sent again through another daemon is
// recognised. Not thread-safe.
class CrashRegistry {
 public:
  // Number of crashed upstreams after which a request is refused.
  static constexpr std::size_t kCrashesBeforeRefusal = 3;
  static constexpr Duration kRecordLifetime = 60s;

  void OnCrash(std::uint64_t request, std::uint64_t upstream, TimePoint now);
  void OnCompleted(std::uint64_t request) { records_.erase(request); }
  void OnPeerRecord(const CrashRecord& record, TimePoint now);

  bool IsRefused(std::uint64_t request, TimePoint now) const;
  // Returns the newest records to send to peers, at most `limit`.
  std::vector<CrashRecord> RecentRecords(std::size_t limit, TimePoint now) const;

 private:
  struct Entry {
    std::set<std::uint64_t> upstreams;
    TimePoint last_crash_at{};
  };
  static constexpr std::size_t kMaxRecords = 4096;

  // Removes expired records and, if the registry is still full, the oldest one.
  void EvictRecords(TimePoint now);

  std::unordered_map<std::uint64_t, Entry> records_;
};

}  // namespace savoryglade
