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
  // Returns true if the request had a record.
  bool OnCompleted(std::uint64_t request) { return records_.erase(request) > 0; }
  // Returns true if the peer knows of an upstream that was not recorded here.
  bool OnPeerRecord(const CrashRecord& record, TimePoint now);

  // Returns the number of upstreams that are recorded for a request.
  std::size_t UpstreamCount(std::uint64_t request) const;
  std::size_t size() const { return records_.size(); }
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
