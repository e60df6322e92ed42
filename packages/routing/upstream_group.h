#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/time.h"
#include "routing/routing_counters.h"
#include "routing/running_attempt.h"
#include "routing/straggler_detector.h"
#include "routing/upstream_entry.h"

namespace savoryglade {

// The upstreams of one service with the median latencies that they are compared by. Upstreams of a
// streaming service are compared by first-token latency, others by total latency.
class UpstreamGroup {
 public:
  // Minimum number of tokens between two samples of a running stream.
  static constexpr int kTokensPerSample = 4;

  // Removes all upstreams but keeps the latencies.
  void ClearEntries() { entries_.clear(); }

  void Add(UpstreamEntry* entry) { entries_.push_back(entry); }

  const std::vector<UpstreamEntry*>& entries() const { return entries_; }

  // Updates the average cost with a dispatched request.
  void OnDispatch(double cost);

  // Returns true if the cost is low enough for a probe, i.e. at most the average.
  bool IsCheapEnoughToProbe(double cost) const { return cost <= typical_cost_; }

  // Records that the service streams, because an upstream sent a first token.
  void OnFirstToken() { streams_ = true; }
  bool streams() const { return streams_; }

  // Records that token counts of running attempts are reported, so that missing tokens are evidence
  // of slowness.
  void OnProgress() { reports_progress_ = true; }

  // Recomputes the medians if they are outdated.
  void Refresh(TimePoint now);

  // Returns the maximum cost that a hedge of the attempt can waste. For streams, the losing attempt
  // is cancelled at the first token, so only prompt work is duplicated.
  double HedgeCost(const RunningAttempt& attempt) const {
    return streams_ ? attempt.prompt_cost : attempt.cost;
  }

  // Returns the time in seconds within which an attempt is normally answered, or nothing while this
  // is unknown.
  std::optional<double> TypicalResponseTime(const RunningAttempt& attempt) const;

  // Returns the total time of a completed attempt as a multiple of the normal time for its first
  // token and its actual number of tokens. Answer lengths are hard to predict, so the predicted
  // cost is used only until the medians are known.
  double TotalLatencyRatio(const RunningAttempt& attempt, double total, int tokens) const;

  // Ejects the upstream as a straggler if its unanswered attempts or stalled streams show that it
  // is one. Returns true if it is ejected.
  bool EjectIfOverdue(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters);

  // Returns the time since the last token of any running stream of the upstream as a multiple of
  // the normal time; zero without running streams.
  double TokenGapRatio(const UpstreamEntry& entry, TimePoint now) const;

  // Records the time per token of a running stream over a span that began at the given instant.
  void RecordTokenLatency(UpstreamEntry& entry, double seconds_per_token, TimePoint since,
                          TimePoint now, RoutingCounters& counters);

  // Records a latency and the latency that was expected, both in seconds. Returns true if it
  // completed a probe.
  bool RecordLatency(UpstreamEntry& entry, LatencyKind kind, double seconds, double expected,
                     bool probe, TimePoint now, RoutingCounters& counters);

  // Records that an attempt ended before its answer. Returns true if that completed a probe.
  bool RecordUnanswered(UpstreamEntry& entry, const RunningAttempt& attempt, TimePoint now,
                        RoutingCounters& counters);

 private:
  LatencyKind compared_kind() const {
    return streams_ ? LatencyKind::kFirstToken : LatencyKind::kTotal;
  }
  // Returns the normal latency in seconds for a request with this expected latency; zero while it
  // is unknown.
  double TypicalLatency(LatencyKind kind, double expected) const;
  double token_median() const {
    return medians_.at(static_cast<std::size_t>(LatencyKind::kPerToken));
  }
  bool Eject(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters);

  std::vector<UpstreamEntry*> entries_;
  GroupMedians medians_{};
  TimePoint medians_at_ = TimePoint::min();
  double typical_cost_ = 0;
  bool streams_ = false;
  bool reports_progress_ = false;
  std::vector<double> median_buffer_;
};

}  // namespace savoryglade
