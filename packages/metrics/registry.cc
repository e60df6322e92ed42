#include "metrics/registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <cstddef>

namespace savoryglade {
namespace {

namespace acc = boost::accumulators;

// The P-square estimate is inaccurate until each of its markers has seen several samples, so
// quantiles are computed exactly while there are few samples.
constexpr std::size_t kMaxExactSamples = 128;
constexpr std::array<double, 3> kProbabilities = {0.5, 0.95, 0.99};

std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += text.empty() ? "" : ",";
    text += fmt::format("{}=\"{}\"", name, value);
  }
  return text;
}

std::string SeriesName(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : fmt::format("{}{{{}}}", name, labels);
}

std::string JoinLabels(const std::string& labels, const std::string& more) {
  return labels.empty() ? more : labels + "," + more;
}

template <typename Map>
auto& FindOrCreate(Map& map, std::string_view name, const MetricLabels& labels) {
  auto& slot = map[{std::string(name), RenderLabels(labels)}];
  if (!slot) {
    slot = std::make_unique<typename Map::mapped_type::element_type>();
  }
  return *slot;
}

template <typename Map>
void RenderValues(const Map& map, std::string_view type, std::string& text) {
  std::string_view previous;
  for (const auto& [key, metric] : map) {
    if (key.first != previous) {
      text += fmt::format("# TYPE {} {}\n", key.first, type);
      previous = key.first;
    }
    text += fmt::format("{} {}\n", SeriesName(key.first, key.second), metric->value());
  }
}

}  // namespace

struct Timing::Accumulators {
  using Set = acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

  Set set{acc::extended_p_square_probabilities = kProbabilities};
  std::vector<double> first_samples;
};

Timing::Timing() : accumulators_(std::make_unique<Accumulators>()) {}
Timing::~Timing() = default;

void Timing::Record(Duration duration) {
  const std::lock_guard lock(mutex_);
  const double seconds = ToSeconds(duration);
  accumulators_->set(seconds);
  if (accumulators_->first_samples.size() < kMaxExactSamples) {
    accumulators_->first_samples.push_back(seconds);
  }
}

std::uint64_t Timing::count() const {
  const std::lock_guard lock(mutex_);
  return acc::count(accumulators_->set);
}

double Timing::sum_seconds() const {
  const std::lock_guard lock(mutex_);
  return acc::sum(accumulators_->set);
}

double Timing::QuantileSeconds(double probability) const {
  const std::lock_guard lock(mutex_);
  const std::size_t count = acc::count(accumulators_->set);
  if (count == 0) {
    return 0;
  }
  if (count <= kMaxExactSamples) {
    // Nearest-rank method: the smallest sample that at least this fraction of the samples does not
    // exceed.
    std::vector<double> sorted = accumulators_->first_samples;
    const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(count)));
    const auto nth =
        sorted.begin() + static_cast<std::ptrdiff_t>(std::clamp(rank, std::size_t{1}, count) - 1);
    std::nth_element(sorted.begin(), nth, sorted.end());
    return *nth;
  }
  return acc::quantile(accumulators_->set, acc::quantile_probability = probability);
}

Counter& MetricRegistry::GetCounter(std::string_view name, const MetricLabels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrCreate(counters_, name, labels);
}

Gauge& MetricRegistry::GetGauge(std::string_view name, const MetricLabels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrCreate(gauges_, name, labels);
}

Timing& MetricRegistry::GetTiming(std::string_view name, const MetricLabels& labels) {
  const std::lock_guard lock(mutex_);
  return FindOrCreate(timings_, name, labels);
}

std::string MetricRegistry::RenderText() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  RenderValues(counters_, "counter", text);
  RenderValues(gauges_, "gauge", text);
  std::string_view previous;
  for (const auto& [key, timing] : timings_) {
    if (key.first != previous) {
      text += fmt::format("# TYPE {} summary\n", key.first);
      previous = key.first;
    }
    for (const double probability : kProbabilities) {
      const std::string labels =
          JoinLabels(key.second, fmt::format("quantile=\"{}\"", probability));
      text += fmt::format("{} {:.6f}\n", SeriesName(key.first, labels),
                          timing->QuantileSeconds(probability));
    }
    text += fmt::format("{} {:.6f}\n", SeriesName(key.first + "_sum", key.second),
                        timing->sum_seconds());
    text += fmt::format("{} {}\n", SeriesName(key.first + "_count", key.second), timing->count());
  }
  return text;
}

}  // namespace savoryglade
