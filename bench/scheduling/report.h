#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace savoryglade::bench {

// Result of one seed for one figure of a measure.
struct Figure {
  std::string name;
  double baseline = 0;
  double ours = 0;
  std::string unit;
  // True if a higher value of "ours" is better; determines the worst seed.
  bool higher_is_better = false;
};

// Runs a measure with the seeds 1 to 12. For each figure, prints the median over the seeds and the
// worst seed, one JSON object per line.
void RunSeeds(const std::string& measure,
              const std::function<std::vector<Figure>(std::uint64_t seed)>& run);

// Returns the given quantile in [0, 1] of the values; 0 if there are none.
double Quantile(std::vector<double> values, double quantile);

// Runs a measure; each is in a file of its own.
void RunDecisionCost();
void RunFairness();
void RunHeadOfLine();
void RunOverload();

}  // namespace savoryglade::bench
