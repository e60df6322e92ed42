#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Number of one attempt inside one daemon, below 2^63. Zero stands for an attempt without one; the
// table then tells attempts apart by their times of dispatch.
using AttemptId = std::uint64_t;

// What the router needs to know of a request. Prefix hashes name the blocks of its prompt from the
// start, each hash covering all blocks before it; they are empty for plain services. Costs are in
// seconds of one slot.
struct RouteRequest {
  ServiceId service;
  double predicted_cost = 0;
  std::vector<std::uint64_t> prefix_hashes;
  // Upstreams that this request must not go to, usually those that it has already tried.
  std::vector<UpstreamId> excluded;
  // Identifies the attempt in later calls. Hedges and exact accounting need a nonzero number.
  AttemptId attempt = 0;
  // Part of predicted_cost that is prompt work if nothing is cached; zero if unknown.
  double prompt_cost = 0;
  // True if the request may run more than once. Only such requests are hedged.
  bool repeatable = false;
  // The running attempt that this one hedges; its upstream is excluded. Zero for none.
  AttemptId hedge_of = 0;
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
  AttemptId attempt = 0;
  // Prompt blocks that the engine found in its cache; -1 if it does not say.
  int cached_blocks = -1;
};

// What an upstream last said of its load. The report lags by seconds; age is the part of the lag
// that is known.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  double kv_used_fraction = 0;
  Duration age = Duration::zero();

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

// What an engine says of its prefix cache. Sequence numbers rise by one for each event of an
// engine, so a skipped number shows a lost event. kCleared empties the cache.
struct CacheEvent {
  enum class Kind : std::uint8_t { kStored, kEvicted, kCleared };

  std::uint64_t sequence = 0;
  Kind kind = Kind::kStored;
  std::vector<std::uint64_t> hashes;
};

// Says that an upstream is leaving, or withdraws that. Sequence numbers rise with each change of
// the same upstream; zero stands for a sender without numbers. The time of leaving is optional.
struct LeaveNotice {
  bool leaving = true;
  std::uint64_t sequence = 0;
  TimePoint leaves_at = TimePoint::max();

  friend auto operator<=>(const LeaveNotice&, const LeaveNotice&) = default;
};

// Weights of the router. Latencies are one-way, by failure domain; the daemon's own domain counts
// as zero, a domain that is not named as default_latency.
struct RoutingOptions {
  FailureDomainId local_domain;
  std::map<FailureDomainId, Duration> latency;
  Duration default_latency = 1ms;
  // Seconds of latency that one unit of price per hour is worth, for each second of cost.
  double price_weight = 0.02;
  std::size_t prefix_entries = 100000;
};

}  // namespace savoryglade
