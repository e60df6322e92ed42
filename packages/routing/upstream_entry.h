#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "config/configuration.h"
#include "core/time.h"
#include "routing/availability.h"
#include "routing/concurrency_limit.h"
#include "routing/load_estimate.h"
#include "routing/prefix_map.h"
#include "routing/straggler_detector.h"

namespace savoryglade {

// State of one upstream in this daemon.
struct UpstreamEntry {
  UpstreamEntry(UpstreamConfig upstream_config, UpstreamNumber upstream_number)
      : config(std::move(upstream_config)), number(upstream_number), limit(config.concurrency) {}

  // An attempt that has produced neither a first token nor an answer.
  struct UnansweredAttempt {
    AttemptId attempt = 0;
    TimePoint dispatched;
    double expected_first_token = 0;
    double expected_total = 0;
  };

  // Returns the number of requests that this daemon may run, given its fraction of the limit.
  int SlotsFor(double limit_share) const {
    return std::max(1, static_cast<int>(limit.limit() * limit_share));
  }
  bool HasSlot(double limit_share) const { return load.running() < SlotsFor(limit_share); }

  UpstreamConfig config;
  UpstreamNumber number;
  Availability availability;
  ConcurrencyLimit limit;
  StragglerDetector straggler;
  LoadEstimate load;
  // One-way latency from this daemon, and the price term per second of cost, both in seconds.
  double one_way_latency = 0;
  double price_per_cost = 0;
  bool local = true;
  // Time of the last first token or answer; distinguishes a silent upstream from a request with a
  // short deadline.
  TimePoint last_response_at = TimePoint::min();
  std::vector<UnansweredAttempt> unanswered;
  // Number of attempts that are streaming tokens, and the time of the last token of any of them.
  int streaming_attempts = 0;
  TimePoint last_token{};
  // All running attempts, including those without an id given by the caller.
  std::vector<AttemptId> running;
};

}  // namespace savoryglade
