#pragma once

#include <string>

namespace savoryglade::bench {

// One line of output. A value that does not exist, such as a missing baseline, is NaN and printed
// as null.
struct BenchResult {
  std::string measure;
  std::string case_name;
  double baseline = 0;
  double ours = 0;
  std::string unit;
  std::string seed;
};

// Prints a figure as one JSON object.
void Print(const BenchResult& result);

// Failure detector on the virtual clock.
int RunMembership();
// Time until a change is in force in all daemons; real processes.
int RunConfigPropagation();
// Control work of idle daemons; real processes.
int RunControlCost();

}  // namespace savoryglade::bench
