#include <fmt/core.h>

#include <cstdio>
#include <functional>
#include <map>
#include <string>

#include "bench/scheduling/report.h"

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> measures = {
      {"decision-cost", savoryglade::bench::RunDecisionCost},
      {"fairness", savoryglade::bench::RunFairness},
      {"head-of-line", savoryglade::bench::RunHeadOfLine},
      {"overload", savoryglade::bench::RunOverload},
  };
  const std::string argument = argc == 2 ? argv[1] : "";
  if (argument == "--list") {
    for (const auto& [name, run] : measures) {
      fmt::print("{}\n", name);
    }
    return 0;
  }
  const auto found = measures.find(argument);
  if (found == measures.end()) {
    fmt::print(stderr, "usage: bench_scheduling --list | MEASURE\n");
    return 2;
  }
  found->second();
  return 0;
}
