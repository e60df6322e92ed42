#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"

namespace savoryglade {

// Monotonically increasing counter. Safe to use from all threads.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// Value that can increase and decrease. Safe to use from all threads.
class Gauge {
 public:
  void Set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(std::int64_t amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// Distribution of durations: count, sum and estimated quantiles. Safe to use from all threads.
class Timing {
 public:
  Timing();
  ~Timing();
  Timing(const Timing&) = delete;
  Timing& operator=(const Timing&) = delete;

  void Record(Duration duration);

  std::uint64_t count() const;
  double sum_seconds() const;
  // Returns a quantile in seconds, or zero if nothing was recorded. Exact for up to 128 samples,
  // then estimated; the estimates cover only 0.5, 0.95 and 0.99.
  double QuantileSeconds(double probability) const;

 private:
  struct Accumulators;

  mutable std::mutex mutex_;
  std::unique_ptr<Accumulators> accumulators_;
};

// Label names and values of one time series, e.g. {{"reason", "queue_full"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Owns all metrics of a daemon and renders them in the text exposition format. The same name and
// labels always return the same object, which lives as long as the registry; hot paths keep the
// reference.
class MetricRegistry {
 public:
  Counter& GetCounter(std::string_view name, const MetricLabels& labels = {});
  Gauge& GetGauge(std::string_view name, const MetricLabels& labels = {});
  Timing& GetTiming(std::string_view name, const MetricLabels& labels = {});

  // Returns all metrics, sorted by name and labels. Timings are rendered as summaries in seconds.
  std::string RenderText() const;

 private:
  // Metric name and rendered labels.
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex mutex_;
  std::map<Key, std::unique_ptr<Counter>> counters_;
  std::map<Key, std::unique_ptr<Gauge>> gauges_;
  std::map<Key, std::unique_ptr<Timing>> timings_;
};

}  // namespace savoryglade
