#pragma once

#include <string>

namespace savoryglade::bench {

// One result of a benchmark. A missing value, such as a baseline that does not exist, is NaN and
// printed as null.
struct BenchResult {
  std::string measure;
  std::string case_name;
  double baseline = 0;
  double ours = 0;
  std::string unit;
  std::string seed;
};

// Prints a result as one JSON object on one line.
void Print(const BenchResult& result);

// Measures failure detection on a virtual clock.
int RunMembership();
// Measures the time until a configuration change is applied in all daemons; uses real processes.
int RunConfigPropagation();
// Measures the control plane cost of idle daemons; uses real processes.
int RunControlCost();

}  // namespace savoryglade::bench
