#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Id of one attempt to run a request on an upstream, unique within one daemon and below 2^63. Zero
// stands for an attempt without an id; UpstreamTable identifies such attempts by their dispatch
// time.
using AttemptId = std::uint64_t;

// Properties of a request that determine its upstream. Prefix hashes identify the blocks of its
// prompt from the start, each hash covering all preceding blocks; they are empty for plain
// services. Costs are in seconds of one slot.
struct RouteRequest {
  ServiceId service;
  double predicted_cost = 0;
  std::vector<std::uint64_t> prefix_hashes;
  // Upstreams that must not receive this request, usually those already tried.
  std::vector<UpstreamId> excluded;
  // Identifies the attempt to run this request in later calls. Hedges and exact accounting require
  // a nonzero id.
  AttemptId attempt = 0;
  // Part of predicted_cost that is prompt work with an empty cache; zero if unknown.
  double prompt_cost = 0;
  // True if the request may run more than once. Only such requests are hedged.
  bool repeatable = false;
  // The running attempt that this one hedges, whose upstream is excluded; zero if this is no hedge.
  AttemptId hedge_of = 0;
};

// Outcome of an attempt to run a request on an upstream.
enum class AttemptResult { kCompleted, kConnectFailed, kLost, kTimedOut, kCancelled, kRefused };

// Result and measurements of one attempt to run a request on an upstream. Times are measured from
// its dispatch; first_token is zero for plain services, which generate no tokens.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kCompleted;
  Duration first_token = Duration::zero();
  Duration total = Duration::zero();
  int tokens = 0;
  AttemptId attempt = 0;
  // Number of prompt blocks that the engine found in its cache; -1 if unknown.
  int cached_blocks = -1;
};

// Load that an upstream reported. Reports lag by seconds; age is the known part of the lag.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  double kv_used_fraction = 0;
  Duration age = Duration::zero();

  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

// Change of an engine's prefix cache. Sequence numbers increase by one with each event of an
// engine, so a skipped number shows a lost event. kCleared empties the cache.
struct CacheEvent {
  enum class Kind : std::uint8_t { kStored, kEvicted, kCleared };

  std::uint64_t sequence = 0;
  Kind kind = Kind::kStored;
  std::vector<std::uint64_t> hashes;
};

// Announces that an upstream leaves, or withdraws the announcement. Sequence numbers increase with
// each change of the same upstream; zero stands for a sender without sequence numbers. The
// departure time is optional.
struct LeaveNotice {
  bool leaving = true;
  std::uint64_t sequence = 0;
  TimePoint leaves_at = TimePoint::max();

  friend auto operator<=>(const LeaveNotice&, const LeaveNotice&) = default;
};

// Parameters of the upstream selection. Latencies are one-way, by failure domain; the daemon's own
// domain counts as zero, and default_latency applies to domains that are not listed.
struct RoutingOptions {
  FailureDomainId local_domain;
  std::map<FailureDomainId, Duration> latency;
  Duration default_latency = 1ms;
  // Seconds of latency that are equivalent to one unit of price per hour, for each second of cost.
  double price_weight = 0.02;
  std::size_t prefix_entries = 100000;
};

}  // namespace savoryglade
