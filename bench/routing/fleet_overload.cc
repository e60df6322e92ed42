#include <algorithm>
#include <string>
#include <vector>

#include "bench/routing/measures.h"
#include "emulator/fleet_load.h"
#include "fmt/format.h"

namespace savoryglade {
namespace {

constexpr std::uint64_t kSeed = 1;

struct Figure {
  std::string name;
  double baseline = 0;
  double ours = 0;
  std::string unit;
};

double WorstClass(const LoadOutcome& outcome) {
  double worst = 1;
  for (const auto& [name, served] : outcome.classes) {
    worst = std::min(worst, served.served_share());
  }
  return worst;
}

double WorstDomain(const LoadOutcome& outcome) {
  double worst = 1;
  for (const ClassOutcome& domain : outcome.failure_domains) {
    worst = std::min(worst, domain.served_share());
  }
  return worst;
}

double AttemptsPerRequest(const LoadOutcome& outcome) {
  return static_cast<double>(outcome.attempts) / outcome.Total().requests;
}

// Returns the seconds after the overload until a second earns 0.85 of what it owes.
double SecondsUntilNormal(const LoadOutcome& outcome) {
  const auto end = static_cast<std::size_t>(ToSeconds(kOverloadTo));
  for (std::size_t second = end; second < outcome.seconds.size(); ++second) {
    const ClassOutcome& served = outcome.seconds[second];
    if (served.owed > 0 && served.benefit >= 0.85 * served.owed) {
      return static_cast<double>(second - end);
    }
  }
  return static_cast<double>(outcome.seconds.size() - end);
}

void PrintFigures(const LoadPattern& pattern) {
  // A fleet without groups compares all upstreams.
  const int candidates = pattern.daemons > 16 ? 2 : 0;
  const LoadOutcome baseline = PlayLoad(pattern, {.admission = std::nullopt}, kSeed);
  const LoadOutcome ours = PlayLoad(pattern, {.candidates = candidates}, kSeed);
  const auto of_best = [&](const LoadOutcome& outcome) {
    return outcome.Total().benefit / BestBenefit(pattern, outcome);
  };
  const std::vector<Figure> figures = {
      {"benefit", of_best(baseline), of_best(ours), "fraction of the best"},
      {"benefit in the overload", BenefitBetween(baseline, kOverloadFrom, kOverloadTo),
       BenefitBetween(ours, kOverloadFrom, kOverloadTo), "units"},
      {"worst class", WorstClass(baseline), WorstClass(ours), "served share"},
      {"worst domain", WorstDomain(baseline), WorstDomain(ours), "served share"},
      {"mean", baseline.Total().served_share(), ours.Total().served_share(), "served share"},
      {"attempts", AttemptsPerRequest(baseline), AttemptsPerRequest(ours), "per request"},
      {"seconds until normal", SecondsUntilNormal(baseline), SecondsUntilNormal(ours), "s"},
      {"imbalance", baseline.imbalance, ours.imbalance, "most over mean requests"},
      {"prediction error p50", baseline.prediction_error_p50, ours.prediction_error_p50,
       "fraction of the actual time"},
      {"prediction error p90", baseline.prediction_error_p90, ours.prediction_error_p90,
       "fraction of the actual time"},
  };
  for (const Figure& figure : figures) {
    fmt::print(
        "{{\"measure\":\"overload\",\"case\":\"{}, {} daemons, {}\",\"baseline\":{:.4g},"
        "\"ours\":{:.4g},\"unit\":\"{}\",\"seed\":{}}}\n",
        pattern.name, pattern.daemons, figure.name, figure.baseline, figure.ours, figure.unit,
        kSeed);
  }
}

}  // namespace

void MeasureFleetOverload() {
  for (const int daemons : {30, 100, 300}) {
    for (const LoadPattern& pattern :
         {CalmPattern(daemons), OverloadPattern(daemons, 1.5), OverloadPattern(daemons, 3),
          ReclaimPattern(daemons), ShiftPattern(daemons)}) {
      PrintFigures(pattern);
    }
  }
}

}  // namespace savoryglade
