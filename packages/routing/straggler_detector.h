#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.h"

namespace savoryglade {

// Kinds of latency that are compared between the upstreams of a group. Values are normalised by the
// expected latency of the request, so that long and short requests are comparable.
enum class LatencyKind : std::uint8_t { kFirstToken, kPerToken, kTotal };
inline constexpr std::size_t kLatencyKinds = 3;

// Moving average of one upstream's samples of one kind over a short window.
class LatencyWindow {
 public:
  // Adds a sample.
  void Add(double value, TimePoint now);

  // Returns the moving average, or nothing without enough recent samples.
  std::optional<double> RecentMean(TimePoint now) const;

 private:
  double mean_ = 0;
  int count_ = 0;
  TimePoint last_sample_at_{};
};

// Median latency of each kind over the upstreams of a group; zero while unknown.
using GroupMedians = std::array<double, kLatencyKinds>;

// Decides whether one upstream is a straggler. It is ejected when its recent latency, or the age of
// its unanswered attempts, exceeds a multiple of the group's median. It then receives only probes,
// at growing intervals, and is readmitted after consecutive successful probes. The threshold for
// readmission is lower than that for ejection.
class StragglerDetector {
 public:
  // Ratio to the median at which an upstream is ejected.
  static constexpr double kEjectRatio = 3.0;
  // Ratio at which one overdue attempt is sufficient; below it, a wrong cost prediction is equally
  // likely.
  static constexpr double kSingleAttemptEjectRatio = 5.0;
  // Maximum ratio of a successful probe.
  static constexpr double kReadmitRatio = 1.8;

  // Records a normalised latency and its ratio to the normal latency; the ratio is zero if unknown.
  void OnSample(LatencyKind kind, double value, double ratio, TimePoint now);

  // Returns the moving average of the normalised latencies of a kind, or nothing without enough
  // recent samples.
  std::optional<double> RecentMean(LatencyKind kind, TimePoint now) const;

  // Returns the largest recent ratio of any kind; zero without enough samples.
  double MaxRecentRatio(TimePoint now) const;

  // Returns true while the upstream is ejected.
  bool ejected() const { return ejected_; }

  void Eject(TimePoint now);

  // Returns true if a probe may be sent now.
  bool ProbeDue(TimePoint now) const;

  // Returns true if a probe has been due for so long that any request may serve as one.
  bool ProbeOverdue(TimePoint now) const;

  // Marks the probe as running.
  void OnProbeStart() { probe_running_ = true; }

  // Records the ratio of a running stream's time per token to the median, over a span that began at
  // the given instant. Slow streams postpone probes; streams that were slow and have recovered
  // count as successful probes. Returns true if the upstream was readmitted.
  bool OnStreamSample(double ratio, TimePoint since, TimePoint now);

  // Records the ratio of a probe's latency to the median. Returns true if the upstream was
  // readmitted.
  bool OnProbeEnd(double ratio, TimePoint now);

 private:
  std::array<LatencyWindow, kLatencyKinds> latencies_;
  std::array<LatencyWindow, kLatencyKinds> ratios_;
  bool ejected_ = false;
  bool probe_running_ = false;
  bool slow_stream_seen_ = false;
  TimePoint ejected_at_{};
  int good_probes_ = 0;
  Duration probe_interval_{};
  TimePoint next_probe_{};
};

// Returns the median of the values, or zero if there are too few for a comparison. The values are
// reordered.
double MedianOf(std::vector<double>& values);

}  // namespace savoryglade
