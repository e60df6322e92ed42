#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/report_source.h"
#include "core/time.h"

namespace savoryglade {

// Time between events of an engine's streams, as one daemon has observed it.
struct ReportedPace {
  // Engine process, by FleetLoadBalancer::ProcessKeyOf.
  std::uint64_t process = 0;
  // Mean over the streams of the interval within each that a quarter of the intervals stay below,
  // in seconds.
  double interval_s = 0;
  // Fraction of the streams with a longer pause than their callers accept.
  double late_fraction = 0;
  // Number of streams behind the means, as far as they still count.
  int streams = 0;

  friend auto operator<=>(const ReportedPace&, const ReportedPace&) = default;
};

// Intervals between the events of one stream.
class StreamPace {
 public:
  // Records that events arrived at this time.
  void OnEvents(TimePoint now);
  // Returns the interval, in seconds, that a quarter of the intervals stay below. Prompts that the
  // engine reads beside the stream prolong most of the others. Zero if there were too few.
  double LowerQuartile() const;

 private:
  // Enough for a quartile; bounds the memory of a stream.
  static constexpr std::size_t kMaxIntervals = 32;
  static constexpr std::size_t kMinIntervals = 3;

  TimePoint last_{};
  std::vector<float> intervals_;
};

struct EngineSpeedOptions {
  // Streams that count in the mean of an engine; older ones fade.
  int max_streams = 8;
  // Streams from which on an engine's pace is used.
  int min_streams = 2;
  // Smallest ratio to the service's mean that counts as another speed. Smaller differences come
  // from the mix of streams.
  double min_ratio = 1.15;
  // Bounds of the speed factor.
  double max_factor = 2.5;
  // Age from which the observations of a daemon that no longer reports are discarded.
  Duration source_lifetime = 30s;
};

// Learns which engines are lastingly faster or slower than the others of their service. Load
// pattern: engines of several speeds serve the same requests, and each daemon sees few streams of
// each engine. Daemons therefore share what they observe. Reports of momentary slowness are handled
// elsewhere. Not thread-safe.
class EngineSpeeds {
 public:
  explicit EngineSpeeds(EngineSpeedOptions options) : options_(options) {}

  // Records a stream of an engine with its lower quartile of the intervals, in seconds, and whether
  // it had a longer pause than its caller accepts.
  void OnStream(std::uint64_t process, double interval_s, bool late);
  // Replaces the observations of another daemon for the engines in its report.
  void OnReport(const ReportSource& source, const std::vector<ReportedPace>& paces, TimePoint now);
  // Selects own observations for a report: those that have changed, then others in turn, so that a
  // daemon that starts learns all of them.
  std::vector<ReportedPace> SelectForReport(std::size_t limit);

  // Returns the mean of the logarithms of the intervals of an engine over all daemons; nothing is
  // known if `known` is false.
  struct Pace {
    bool known = false;
    double log_interval = 0;
    double late_fraction = 0;
  };
  Pace PaceOf(std::uint64_t process) const;
  // Returns the time that work takes at an engine as a multiple of the mean of its service, given
  // the mean logarithm of the intervals of the service's engines; 1 if it is unknown or similar.
  double FactorOf(std::uint64_t process, double service_log_interval) const;
  // Discards the observations of daemons that no longer report, and of engines not in use.
  void Expire(TimePoint now);

 private:
  struct Own {
    double interval_s = 0;
    double late_fraction = 0;
    int streams = 0;
    bool changed = false;
  };
  // Sums over the reports of other daemons.
  struct Sum {
    double weight = 0;
    double weighted_log = 0;
    double weighted_late = 0;
  };
  struct Source {
    TimePoint last_report_at{};
    std::unordered_map<std::uint64_t, ReportedPace> paces;
  };

  void Add(const ReportedPace& pace, int sign);

  EngineSpeedOptions options_;
  // Ordered, so that reports can take turns.
  std::map<std::uint64_t, Own> own_;
  std::uint64_t last_reported_ = 0;
  std::unordered_map<std::uint64_t, Sum> reported_;
  std::map<ReportSource, Source> sources_;
};

}  // namespace savoryglade
