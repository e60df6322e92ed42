#include <fmt/format.h>

#include <array>
#include <cmath>
#include <string_view>

#include "bench/fleet/measures.h"

namespace savoryglade::bench {
namespace {

struct Measure {
  std::string_view name;
  int (*run)();
};

constexpr std::array<Measure, 3> kMeasures = {{{"membership", RunMembership},
                                               {"config-spread", RunConfigPropagation},
                                               {"control-cost", RunControlCost}}};

std::string PrintNumber(double value) {
  return std::isnan(value) ? "null" : fmt::format("{:.6g}", value);
}

}  // namespace

void Print(const BenchResult& result) {
  fmt::print(
      "{{\"measure\":\"{}\",\"case\":\"{}\",\"baseline\":{},\"ours\":{},\"unit\":\"{}\","
      "\"seed\":\"{}\"}}\n",
      result.measure, result.case_name, PrintNumber(result.baseline), PrintNumber(result.ours),
      result.unit, result.seed);
  std::fflush(stdout);
}

}  // namespace savoryglade::bench

// Usage: bench_fleet --list | bench_fleet [MEASURE]
int main(int argc, char** argv) {
  const std::string_view argument = argc > 1 ? argv[1] : "";
  int status = 0;
  bool found = argument.empty() || argument == "--list";
  for (const auto& measure : savoryglade::bench::kMeasures) {
    if (argument == "--list") {
      fmt::print("{}\n", measure.name);
    } else if (argument.empty() || argument == measure.name) {
      found = true;
      status |= measure.run();
    }
  }
  if (!found) {
    fmt::print(stderr, "unknown measure \"{}\"; --list prints the names\n", argument);
    return 2;
  }
  return status;
}
