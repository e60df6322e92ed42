#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "emulator/load_pattern.h"

namespace savoryglade {

// What callers of one class received.
struct ClassOutcome {
  int requests = 0;
  int on_time = 0;
  int late = 0;
  double benefit = 0;
  double owed = 0;

  double served_share() const {
    return requests == 0 ? 1 : static_cast<double>(on_time + late) / requests;
  }
  friend auto operator<=>(const ClassOutcome&, const ClassOutcome&) = default;
};

struct LoadOutcome {
  std::map<std::string, ClassOutcome> classes;
  std::vector<ClassOutcome> failure_domains;
  // Outcome of the requests that arrived in each second.
  std::vector<ClassOutcome> seconds;
  // Requests that callers sent, retries included.
  int attempts = 0;
  // Requests that were refused, and that waited in a daemon's queue.
  int refusals = 0;
  int waited = 0;
  // Uncached prompt tokens that engines read.
  double read_tokens = 0;
  // Largest over mean number of requests per engine, averaged over samples of the undisturbed run.
  double imbalance = 0;
  // Median and 90th percentile of |predicted - actual| / actual time to the first event.
  double prediction_error_p50 = 0;
  double prediction_error_p90 = 0;

  ClassOutcome Total() const;
};

// Returns the benefit that a fleet without communication delays could reach at most: in each
// second, the engines' time goes to the requests that give most for it.
double BestBenefit(const LoadPattern& pattern, const LoadOutcome& outcome);

// Returns the benefit of the requests that arrived in this part of the run.
double BenefitBetween(const LoadOutcome& outcome, Duration from, Duration to);

}  // namespace savoryglade
