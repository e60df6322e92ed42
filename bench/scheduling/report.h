#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace savoryglade::bench {

// One figure of one seed.
struct Figure {
  std::string name;
  double baseline = 0;
  double ours = 0;
  std::string unit;
  // True if a higher value of "ours" is better; decides which seed is the worst.
  bool higher_is_better = false;
};

// Runs a measure over the seeds 1 to 12 and prints for each figure the median over the seeds and
// the worst seed as one JSON object a line.
void RunSeeds(const std::string& measure,
              const std::function<std::vector<Figure>(std::uint64_t seed)>& run);

// Returns the given quantile in [0, 1] of the values; 0 if there are none.
double Quantile(std::vector<double> values, double quantile);

// The measures, each in a file of its own.
void RunDecisionCost();
void RunFairness();
void RunHeadOfLine();
void RunOverload();

}  // namespace savoryglade::bench
