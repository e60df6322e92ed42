#include "bench/scheduling/report.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstddef>

namespace savoryglade::bench {
namespace {

constexpr std::uint64_t kSeeds = 12;

struct Sample {
  std::uint64_t seed = 0;
  Figure figure;
};

void Print(const std::string& measure, const Figure& figure, double baseline, double ours,
           const std::string& seed) {
  fmt::print(
      "{{\"measure\":\"{}\",\"case\":\"{}\",\"baseline\":{:.5g},\"ours\":{:.5g},\"unit\":\"{}\","
      "\"seed\":{}}}\n",
      measure, figure.name, baseline, ours, figure.unit, seed);
}

}  // namespace

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

void RunSeeds(const std::string& measure,
              const std::function<std::vector<Figure>(std::uint64_t seed)>& run) {
  std::vector<std::vector<Sample>> samples;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::vector<Figure> figures = run(seed);
    samples.resize(figures.size());
    for (std::size_t i = 0; i < figures.size(); ++i) {
      samples[i].push_back({.seed = seed, .figure = figures[i]});
    }
  }
  for (const std::vector<Sample>& figure_samples : samples) {
    std::vector<double> baselines;
    std::vector<double> ours;
    for (const Sample& sample : figure_samples) {
      baselines.push_back(sample.figure.baseline);
      ours.push_back(sample.figure.ours);
    }
    const Figure& first = figure_samples.front().figure;
    Print(measure, first, Quantile(baselines, 0.5), Quantile(ours, 0.5), "\"median\"");
    const auto by_ours = [](const Sample& a, const Sample& b) {
      return a.figure.ours < b.figure.ours;
    };
    const auto worst =
        first.higher_is_better
            ? std::min_element(figure_samples.begin(), figure_samples.end(), by_ours)
            : std::max_element(figure_samples.begin(), figure_samples.end(), by_ours);
    Print(measure, first, worst->figure.baseline, worst->figure.ours, std::to_string(worst->seed));
  }
}

}  // namespace savoryglade::bench
