#include "emulator/load_pattern.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savoryglade {
namespace {

// The classes of a large deployment, for this many engines at half of their capacity.
std::vector<LoadClass> UsualClasses(int engines) {
  const double scale = engines / 240.0;
  return {{.name = "briefing",
           .rank = 1,
           .objective = 1s,
           .deadline = 12s,
           .shared_tokens = 5382,
           .shared_prompts = 200,
           .own_tokens = 6610,
           .output_tokens = 390,
           .per_s = 268 * scale,
           .benefit = 3.9,
           .late_benefit = 0.39},
          {.name = "recap",
           .rank = 0,
           .objective = 600ms,
           .deadline = 10s,
           .shared_tokens = 198,
           .shared_prompts = 200,
           .own_tokens = 628,
           .output_tokens = 285,
           .per_s = 313 * scale,
           .benefit = 2.2,
           .late_benefit = 0.22},
          {.name = "check",
           .rank = 2,
           .objective = 600ms,
           .deadline = 3s,
           .shared_tokens = 568,
           .shared_prompts = 200,
           .own_tokens = 1800,
           .output_tokens = 30,
           .per_s = 438 * scale,
           .benefit = 0.39,
           .late_benefit = 0.039}};
}

// Returns a fleet whose engines are used to capacity at a load factor of 1.
LoadPattern UsualFleet(std::string name, int daemons) {
  LoadPattern pattern{.name = std::move(name), .daemons = daemons};
  pattern.failure_domains = daemons >= 100 ? 6 : 3;
  pattern.engines = std::max(pattern.failure_domains * 2, daemons * 4 / 5);
  pattern.classes = UsualClasses(pattern.engines * 2);
  return pattern;
}

}  // namespace

double EngineSeconds(const LoadClass& load_class) {
  // A token of a full batch, and the prompt without the shared part.
  constexpr int kBatch = 16;
  constexpr double kTokenSeconds = (kStepSeconds + kBatch * kStepSecondsPerRequest) / kBatch;
  return load_class.own_tokens / kPromptTokensPerSecond + load_class.output_tokens * kTokenSeconds;
}

LoadPattern CalmPattern(int daemons) {
  LoadPattern pattern = UsualFleet("calm", daemons);
  pattern.phases = {{.factor = 0.6}};
  return pattern;
}

LoadPattern OverloadPattern(int daemons, double factor) {
  LoadPattern pattern = UsualFleet(fmt::format("overload-{:.1f}", factor), daemons);
  pattern.phases = {{.factor = 0.8},
                    {.from = kOverloadFrom, .factor = factor},
                    {.from = kOverloadTo, .factor = 0.8}};
  return pattern;
}

LoadPattern ReclaimPattern(int daemons) {
  LoadPattern pattern = UsualFleet("reclaim", daemons);
  pattern.phases = {{.factor = 0.8}};
  pattern.outages = {{.from = 8s, .to = 14s, .failure_domains = pattern.failure_domains / 2}};
  return pattern;
}

LoadPattern ShiftPattern(int daemons) {
  LoadPattern pattern = UsualFleet("shift", daemons);
  pattern.phases = {
      {.factor = 0.9}, {.from = 8s, .factor = 0.9, .shift = 0.5}, {.from = 16s, .factor = 0.9}};
  return pattern;
}

}  // namespace savoryglade
