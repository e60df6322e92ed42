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

// What this daemon knows of one upstream.
struct UpstreamEntry {
  UpstreamEntry(UpstreamConfig upstream_config, UpstreamNumber upstream_number)
      : config(std::move(upstream_config)), number(upstream_number), limit(config.concurrency) {}

  // An attempt that nothing was heard of yet.
  struct Waiting {
    AttemptId attempt = 0;
    TimePoint dispatched;
    double expected_first_token = 0;
    double expected_total = 0;
  };

  // Returns the number of requests that this daemon may run, given its share of the limit.
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
  // One-way latency from this daemon and price terms, in seconds.
  double distance = 0;
  double price_per_cost = 0;
  bool local = true;
  // When an attempt last got an answer, to tell a silent upstream from a request with a short
  // deadline.
  TimePoint last_answer = TimePoint::min();
  std::vector<Waiting> waiting;
  // Attempts between first and last token, and when a token of any of them last arrived.
  int streaming = 0;
  TimePoint last_token{};
  // All running attempts, with and without a number of the caller.
  std::vector<AttemptId> running;
};

}  // namespace savoryglade
