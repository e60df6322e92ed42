#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/time.h"
#include "routing/attempt_book.h"
#include "routing/routing_counters.h"
#include "routing/straggler_detector.h"
#include "routing/upstream_entry.h"

namespace savoryglade {

// The upstreams of one service with the latencies that they are compared by. Requests of a group
// that streams are judged by their first token, others by their total latency.
class UpstreamGroup {
 public:
  // Tokens between two observations of a running stream.
  static constexpr int kTokensPerSample = 4;

  // Removes all upstreams and keeps the latencies.
  void ClearEntries() { entries_.clear(); }

  // Adds an upstream.
  void Add(UpstreamEntry* entry) { entries_.push_back(entry); }

  const std::vector<UpstreamEntry*>& entries() const { return entries_; }

  // Counts a dispatched request.
  void OnDispatch(double cost);

  // Returns true if the cost is low enough for a probe.
  bool IsCheap(double cost) const { return cost <= typical_cost_; }

  // Learns that an upstream of the group sent a first token.
  void OnFirstToken() { streams_ = true; }
  bool streams() const { return streams_; }

  // Learns that the tokens of running attempts are reported, so that their absence means something.
  void OnProgress() { reports_progress_ = true; }

  // Recomputes the medians if they are old.
  void Refresh(TimePoint now);

  // Returns the cost that a hedge of the attempt can waste at most. Streams are decided at the
  // first token, so only prompt work is done twice.
  double HedgeCost(const RunningAttempt& attempt) const {
    return streams_ ? attempt.prompt_cost : attempt.cost;
  }

  // Returns the time in seconds after which the answer to an attempt is usually there; nothing
  // while the usual latency is unknown.
  std::optional<double> UsualAnswer(const RunningAttempt& attempt) const;

  // Returns the total time of a completed attempt as a multiple of what its answer and the tokens
  // that it really had usually take. The length of an answer is hard to predict, so the predicted
  // cost is used only while nothing better is known.
  double Slowness(const RunningAttempt& attempt, double total, int tokens) const;

  // Leaves the upstream as a straggler if its unanswered work shows that it is one. Returns true if
  // it is left.
  bool CheckOverdue(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters);

  // Returns the time since the last token of any running stream of the upstream as a multiple of
  // the usual time; zero without running streams.
  double TokenGapRatio(const UpstreamEntry& entry, TimePoint now) const;

  // Learns the time per token of a running stream over a span that began at the given instant.
  void SampleStream(UpstreamEntry& entry, double seconds_per_token, TimePoint since, TimePoint now,
                    RoutingCounters& counters);

  // Learns a latency beside what was expected, both in seconds. Returns true if it decided a probe.
  bool Sample(UpstreamEntry& entry, LatencyKind kind, double seconds, double expected, bool probe,
              TimePoint now, RoutingCounters& counters);

  // Learns that an attempt was ended before its answer. Returns true if that decided a probe.
  bool SampleUnanswered(UpstreamEntry& entry, const RunningAttempt& attempt, TimePoint now,
                        RoutingCounters& counters);

 private:
  LatencyKind judged_kind() const {
    return streams_ ? LatencyKind::kFirstToken : LatencyKind::kTotal;
  }
  // Returns the usual time in seconds where so much was expected; zero while it is unknown.
  double Usual(LatencyKind kind, double expected) const;
  double token_median() const {
    return medians_.at(static_cast<std::size_t>(LatencyKind::kPerToken));
  }
  bool Leave(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters);

  std::vector<UpstreamEntry*> entries_;
  GroupMedians medians_{};
  TimePoint medians_at_ = TimePoint::min();
  double typical_cost_ = 0;
  bool streams_ = false;
  bool reports_progress_ = false;
  std::vector<double> values_;
};

}  // namespace savoryglade
