#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "config/configuration.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "tl/expected.hpp"

namespace savoryglade {

// What the router needs to know of a request. Prefix hashes name the blocks of its prompt from the
// start, each hash covering all blocks before it; they are empty for plain services.
struct RouteRequest {
  ServiceId service;
  double predicted_cost = 0;
  std::vector<std::uint64_t> prefix_hashes;
  // Upstreams that this request must not go to, usually those that it has already tried.
  std::vector<UpstreamId> excluded;
};

// How an attempt at an upstream ended.
enum class AttemptResult { kCompleted, kConnectFailed, kLost, kTimedOut, kCancelled, kRefused };

// Measured facts of one attempt. Times count from its dispatch; first_token is zero for plain
// services.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kCompleted;
  Duration first_token = Duration::zero();
  Duration total = Duration::zero();
  int tokens = 0;
};

// What an upstream last said of its load. The report lags by seconds.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  double kv_used_fraction = 0;

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

// Chooses the upstream of each attempt and keeps what this daemon knows of each upstream. Not safe
// to use from several threads: the daemon holds its lock.
class UpstreamTable {
 public:
  explicit UpstreamTable(std::uint64_t seed) : random_(seed) {}

  // Takes the upstreams of a new configuration; those that stay keep what was learned of them.
  void Configure(const Configuration& configuration, TimePoint now);

  // Returns true if an upstream of the service can take one more request now.
  bool HasCapacity(const ServiceId& service, TimePoint now) const;

  // Chooses an upstream and reserves a slot on it until OnFinish. The error is kNoUpstream if no
  // upstream of the service takes work.
  tl::expected<UpstreamId, Reason> Select(const RouteRequest& request, TimePoint now);

  // Records the latency of a first token, in time from dispatch.
  void OnFirstToken(const UpstreamId& upstream, Duration latency, TimePoint now);

  // Frees the slot of an attempt and learns from its outcome.
  void OnFinish(const UpstreamId& upstream, const AttemptOutcome& outcome, TimePoint now);

  // Takes a load report.
  void OnLoadReport(const UpstreamId& upstream, const LoadReport& report, TimePoint now);

  // Gives no new work to an upstream that leaves. A notice that is withdrawn has leaving set to
  // false.
  void OnNotice(const UpstreamId& upstream, bool leaving, TimePoint now);

 private:
  struct Entry {
    UpstreamConfig config;
    int running = 0;
    bool leaving = false;
    LoadReport report;
    TimePoint unusable_until;
  };

  static bool CanTake(const Entry& entry, TimePoint now);

  Random random_;
  std::map<UpstreamId, Entry> entries_;
};

}  // namespace savoryglade
