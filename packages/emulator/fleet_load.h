#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "scheduling/admission_queue.h"

namespace savoryglade {

// Requests of one kind that callers send to an emulated fleet.
struct LoadClass {
  std::string name;
  // 0 is the most urgent.
  int rank = 0;
  // Time to the first event with full benefit, and time after which the caller leaves.
  Duration objective = 1s;
  Duration deadline = 10s;
  // Prompt: the part that requests share, the number of such parts, and the caller's own part.
  double shared_tokens = 0;
  int shared_prompts = 100;
  double own_tokens = 0;
  int output_tokens = 0;
  // Requests per second of the whole fleet at a load factor of 1.
  double per_s = 0;
  // Benefit of a request on time, and of one whose first event is late.
  double benefit = 1;
  double late_benefit = 0.1;
};

// Load from this time on, as a multiple of the classes' rates.
struct LoadPhase {
  Duration from = Duration::zero();
  double factor = 1;
  // Fraction of the requests that callers send to the daemons of the first failure domain, in
  // addition to its even part.
  double shift = 0;
};

// Engines of some failure domains that are away for a while.
struct EngineOutage {
  Duration from = Duration::zero();
  Duration to = Duration::zero();
  // Number of failure domains, counted from the last one.
  int failure_domains = 0;
};

// A load pattern: the fleet, the callers' requests, and what happens.
struct LoadPattern {
  std::string name;
  int daemons = 30;
  int failure_domains = 3;
  int engines = 24;
  int slots = 16;
  // Requests that wait at an engine beyond its slots.
  int engine_queue = 33;
  std::vector<LoadClass> classes;
  std::vector<LoadPhase> phases;
  std::vector<EngineOutage> outages;
  // Requests that arrive later than this are not sent.
  Duration length = 30s;
};

// How daemons decide.
struct LoadPolicy {
  // Options of the admission queue; nothing if requests pass none.
  std::optional<AdmissionOptions> admission = AdmissionOptions{};
  // Upstreams that are compared for each choice; zero for all.
  int candidates = 0;
};

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

// Plays a load pattern with the decision objects of the daemons on a virtual clock. Each daemon
// knows its own requests at once, and those of others from reports at the interval and over the
// stages of a real fleet. Equal seeds give equal runs.
LoadOutcome PlayLoad(const LoadPattern& pattern, const LoadPolicy& policy, std::uint64_t seed);

// Returns the benefit that a fleet without communication delays could reach at most: in each
// second, the engines' time goes to the requests that give most for it.
double BestBenefit(const LoadPattern& pattern, const LoadOutcome& outcome);

// Part of the overload pattern in which the load is above the capacity.
inline constexpr Duration kOverloadFrom = 8s;
inline constexpr Duration kOverloadTo = 18s;

// Returns the benefit of the requests that arrived in this part of the run.
double BenefitBetween(const LoadOutcome& outcome, Duration from, Duration to);

// Patterns for a fleet of this many daemons. The load stays below the capacity:
LoadPattern CalmPattern(int daemons);
// The load is this multiple of the capacity for ten seconds:
LoadPattern OverloadPattern(int daemons, double factor);
// The engines of half of the failure domains are away for six seconds:
LoadPattern ReclaimPattern(int daemons);
// Half of the callers move to one failure domain:
LoadPattern ShiftPattern(int daemons);

}  // namespace savoryglade
