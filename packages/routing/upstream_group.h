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
// streaming service are compared by first-token latency, others by total latency. The normal
// latency of a request is its expected latency times the group's median of measured to expected
// latency.
class UpstreamGroup {
 public:
  // Minimum number of tokens between two samples of a running stream.
  static constexpr int kTokensPerSample = 4;

  // Removes all upstreams but keeps the median latencies and the average cost.
  void ClearEntries() { entries_.clear(); }

  void Add(UpstreamEntry* entry) { entries_.push_back(entry); }

  const std::vector<UpstreamEntry*>& entries() const { return entries_; }

  // Updates the average cost of the service's requests with that of a dispatched one, in seconds of
  // one slot.
  void OnDispatch(double cost);

  // Returns true if a request of this cost may serve as a probe, i.e. test whether an avoided
  // upstream has recovered: its cost is at most the average.
  bool IsCheapEnoughToProbe(double cost) const { return cost <= typical_cost_; }

  // Records that the service streams, because an upstream sent a first token.
  void OnFirstToken() { streams_ = true; }
  bool streams() const { return streams_; }

  // Records that token counts of running attempts are reported, so that missing tokens are evidence
  // of slowness.
  void OnProgress() { reports_progress_ = true; }

  // Recomputes the group's median first-token, per-token and total latencies from the recent means
  // of its upstreams, unless this was done less than 100 ms ago.
  void Refresh(TimePoint now);

  // Returns the maximum cost, in seconds of one slot, that a hedge of the attempt (a second attempt
  // in parallel) can waste. For streams, the losing attempt is cancelled at the first token, so
  // only prompt work is duplicated.
  double HedgeCost(const RunningAttempt& attempt) const {
    return streams_ ? attempt.prompt_cost : attempt.cost;
  }

  // Returns the normal latency in seconds, by the group's median, of the attempt's first token or,
  // if the service does not stream, of its complete answer; nothing while the median is unknown.
  std::optional<double> TypicalResponseTime(const RunningAttempt& attempt) const;

  // Returns `total`, the seconds that a completed attempt took, divided by what the group's median
  // latencies give for it (for a stream: its first token and `tokens` tokens). The total expected
  // from the predicted cost is used only until they are known: answer lengths are hard to predict.
  double TotalLatencyRatio(const RunningAttempt& attempt, double total, int tokens) const;

  // Ejects the upstream as a straggler if its unanswered attempts or stalled streams have taken
  // several times as long as the group's medians give. Returns true if it is ejected, now or since
  // earlier.
  bool EjectIfOverdue(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters);

  // Returns the time since the last token of any running stream of the upstream as a multiple of
  // the group's median time for kTokensPerSample tokens, which counts as 80 ms at least. Zero
  // without running streams, and while the median or the progress of the streams is unknown.
  double TokenGapRatio(const UpstreamEntry& entry, TimePoint now) const;

  // Records the mean time per token of a running stream of the upstream from `since` until now.
  void RecordTokenLatency(UpstreamEntry& entry, double seconds_per_token, TimePoint since,
                          TimePoint now, RoutingCounters& counters);

  // Records a latency of an attempt at the upstream and the latency that was expected, both in
  // seconds. Returns true if it is the result of a probe, i.e. of an attempt that tests whether the
  // ejected upstream has recovered.
  bool RecordLatency(UpstreamEntry& entry, LatencyKind kind, double seconds, double expected,
                     bool probe, TimePoint now, RoutingCounters& counters);

  // Records that an attempt was cancelled or timed out before its first token or answer. Its age
  // counts as a latency if it is far above the group's median. Returns true if that is the result
  // of a probe, i.e. of an attempt that tests whether the ejected upstream has recovered.
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
