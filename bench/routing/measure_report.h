#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fmt/format.h"

namespace savoryglade {

// Result of one seed for the baseline and for the router.
struct SeedResult {
  std::uint64_t seed = 0;
  double baseline = 0;
  double ours = 0;
};

// Prints the median and the worst seed of a case as JSON lines, ranked by the router's result;
// lower is better.
inline void PrintCase(const std::string& measure, const std::string& name, const std::string& unit,
                      std::vector<SeedResult> results) {
  std::sort(results.begin(), results.end(),
            [](const SeedResult& a, const SeedResult& b) { return a.ours < b.ours; });
  const auto print = [&](const char* rank, const SeedResult& result) {
    fmt::print(
        "{{\"measure\":\"{}\",\"case\":\"{}, {} of {} seeds\",\"baseline\":{:.4g},\"ours\":{:.4g},"
        "\"unit\":\"{}\",\"seed\":{}}}\n",
        measure, name, rank, results.size(), result.baseline, result.ours, unit, result.seed);
  };
  print("median", results[results.size() / 2]);
  print("worst", results.back());
}

// Returns the given quantile, in [0, 1], of the values, or zero without values. The values are
// reordered.
inline double Quantile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  const auto position = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

}  // namespace savoryglade
