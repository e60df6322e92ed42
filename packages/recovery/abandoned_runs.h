#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "recovery/crash_registry.h"

namespace savoryglade {

// Request that an upstream may be running, as crash records name it.
struct RequestRun {
  // These three are for the log.
  std::string attempt_id;
  std::string path;
  std::string query_hash;
  ServiceId service;
  // What the request's losses are recorded for.
  std::vector<CrashKey> crash_keys;
  std::vector<std::uint64_t> shared_parts;
};

// Runs whose callers disconnected. The connection to the upstream is closed with the caller's, so
// that nothing shows whether the run ends the upstream but what happens to later requests there.
// Not thread-safe.
class AbandonedRuns {
 public:
  // Time for which the end of an upstream process is attributed to a run that was abandoned there.
  static constexpr Duration kAttributionTime = 3s;

  // Time after which a process that answers new requests has outlived an abandoned run.
  static constexpr Duration kSurvivalTime = 1s;

  // Records that a caller left while the upstream process may be running its request.
  void Add(std::uint64_t process, RequestRun run, TimePoint now);
  // Records that the process has answered a request that was sent at this time.
  void OnAnswer(std::uint64_t process, TimePoint sent_at);
  // Returns and removes the runs to which the end of an upstream process is attributed.
  std::vector<RequestRun> Take(std::uint64_t process, TimePoint now);

  std::size_t size() const { return runs_.size(); }

 private:
  struct Entry {
    std::uint64_t process = 0;
    RequestRun run;
    TimePoint abandoned_at;
  };

  static constexpr std::size_t kMaxRuns = 4096;

  void Expire(TimePoint now);

  // In the order in which they were abandoned.
  std::deque<Entry> runs_;
};

}  // namespace savoryglade
