#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.h"

namespace savoryglade {

// Kinds of latency that are compared between the upstreams of a group. Values are normalised by
// what was expected of the request, so that long and short requests compare.
enum class LatencyKind : std::uint8_t { kFirstToken, kPerToken, kTotal };
inline constexpr std::size_t kLatencyKinds = 3;

// Short-window latency of one upstream and one kind.
class LatencyWindow {
 public:
  // Adds an observation.
  void Add(double value, TimePoint now);

  // Returns the recent value, or nothing without enough recent observations.
  std::optional<double> Value(TimePoint now) const;

 private:
  double value_ = 0;
  int count_ = 0;
  TimePoint last_{};
};

// The median latency of each kind over the upstreams of a group; zero while unknown.
using GroupMedians = std::array<double, kLatencyKinds>;

// Decides whether one upstream is a straggler. It is left when its recent latency, or the age of
// what it has not answered, is a multiple of the group's median. It then gets probes only, at
// growing intervals, and comes back after consecutive good ones. The threshold to come back is
// lower than that to leave.
class StragglerDetector {
 public:
  // Ratio to the median from which an upstream is a straggler.
  static constexpr double kLeaveRatio = 3.0;
  // Ratio from which one overdue attempt is enough; below, a wrong cost prediction is as likely.
  static constexpr double kSureRatio = 5.0;
  // Ratio below which a probe counts as good.
  static constexpr double kReturnRatio = 1.8;

  // Adds a normalised latency and its ratio to what is usual; zero if that is not known.
  void OnSample(LatencyKind kind, double value, double ratio, TimePoint now);

  // Returns the recent normalised latency of a kind.
  std::optional<double> Value(LatencyKind kind, TimePoint now) const;

  // Returns the largest recent ratio of any kind; zero without evidence.
  double Ratio(TimePoint now) const;

  // Returns true while the upstream is left.
  bool left() const { return left_; }

  // Leaves the upstream.
  void Leave(TimePoint now);

  // Returns true if a probe may be sent now.
  bool ProbeDue(TimePoint now) const;

  // Returns true if probes have been due for so long that any request may serve as one.
  bool ProbeOverdue(TimePoint now) const;

  // Reserves the probe.
  void OnProbeStart() { probe_running_ = true; }

  // Learns the ratio of a running stream's time per token to the median, over a span that began at
  // the given instant. Streams that are still slow put off probes; streams that were slow and are
  // no longer count as good probes. Returns true if the upstream came back.
  bool OnStreamEvidence(double ratio, TimePoint since, TimePoint now);

  // Learns the ratio of a probe's latency to the median. Returns true if the upstream came back.
  bool OnProbeEnd(double ratio, TimePoint now);

 private:
  std::array<LatencyWindow, kLatencyKinds> values_;
  std::array<LatencyWindow, kLatencyKinds> ratios_;
  bool left_ = false;
  bool probe_running_ = false;
  bool streams_were_slow_ = false;
  TimePoint left_at_{};
  int good_probes_ = 0;
  Duration probe_interval_{};
  TimePoint next_probe_{};
};

// Returns the median of the values of a kind, or zero if too few upstreams have one. The values are
// reordered.
double MedianOf(std::vector<double>& values);

}  // namespace savoryglade
