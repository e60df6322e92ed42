#include "emulator/load_outcome.h"

#include <algorithm>
#include <cstddef>

namespace savoryglade {

ClassOutcome LoadOutcome::Total() const {
  ClassOutcome total;
  for (const auto& [name, outcome] : classes) {
    total.requests += outcome.requests;
    total.on_time += outcome.on_time;
    total.late += outcome.late;
    total.benefit += outcome.benefit;
    total.owed += outcome.owed;
  }
  return total;
}

double BestBenefit(const LoadPattern& pattern, const LoadOutcome& outcome) {
  std::vector<const LoadClass*> by_density;
  for (const LoadClass& load_class : pattern.classes) {
    by_density.push_back(&load_class);
  }
  std::ranges::sort(by_density, [](const LoadClass* a, const LoadClass* b) {
    return a->benefit / EngineSeconds(*a) > b->benefit / EngineSeconds(*b);
  });
  double total_per_s = 0;
  for (const LoadClass& load_class : pattern.classes) {
    total_per_s += load_class.per_s;
  }
  double best = 0;
  for (std::size_t second = 0; second < outcome.seconds.size(); ++second) {
    int away = 0;
    for (const EngineOutage& outage : pattern.outages) {
      const Duration at = second * Duration(1s);
      away += outage.from <= at && at < outage.to ? outage.failure_domains : 0;
    }
    const double present =
        pattern.engines * (1 - static_cast<double>(away) / pattern.failure_domains);
    constexpr double kMeanSlowness = 1 + kSlowFraction * (kSlowFactor - 1);
    double capacity = present / kMeanSlowness;
    for (const LoadClass* load_class : by_density) {
      const double requests = outcome.seconds[second].requests * load_class->per_s / total_per_s;
      const double seconds = EngineSeconds(*load_class);
      const double served = std::min(requests, capacity / seconds);
      capacity -= served * seconds;
      best += served * load_class->benefit;
    }
  }
  return best;
}

double BenefitBetween(const LoadOutcome& outcome, Duration from, Duration to) {
  double benefit = 0;
  for (std::size_t second = 0; second < outcome.seconds.size(); ++second) {
    const Duration at = second * Duration(1s);
    benefit += from <= at && at < to ? outcome.seconds[second].benefit : 0;
  }
  return benefit;
}

}  // namespace savoryglade
