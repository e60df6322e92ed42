#pragma once

#include <string>
#include <vector>

#include "core/time.h"

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

// Speed of an emulated engine: duration of a step, its growth with each running request, and prompt
// tokens per second.
inline constexpr double kStepSeconds = 0.0029;
inline constexpr double kStepSecondsPerRequest = 0.0001;
inline constexpr double kPromptTokensPerSecond = 55'000;
// Fraction of the time in which an engine is slow, and the factor.
inline constexpr double kSlowFraction = 0.15;
inline constexpr double kSlowFactor = 2.5;

// Returns the engine time of a request whose shared prompt is cached, in seconds, where batches are
// full.
double EngineSeconds(const LoadClass& load_class);

// Part of the overload pattern in which the load is above the capacity.
inline constexpr Duration kOverloadFrom = 8s;
inline constexpr Duration kOverloadTo = 18s;

// Patterns for a fleet of this many daemons. The load stays below the capacity:
LoadPattern CalmPattern(int daemons);
// The load is this multiple of the capacity for ten seconds:
LoadPattern OverloadPattern(int daemons, double factor);
// The engines of half of the failure domains are away for six seconds:
LoadPattern ReclaimPattern(int daemons);
// Half of the callers move to one failure domain:
LoadPattern ShiftPattern(int daemons);

}  // namespace savoryglade
