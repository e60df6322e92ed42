#include "routing/upstream_group.h"

#include <algorithm>

namespace savoryglade {
namespace {

constexpr Duration kMedianInterval = 100ms;
constexpr double kTypicalCostWeight = 0.02;
// Of the upstreams of a group, at most one in this number is left as a straggler; if more are slow,
// the load is the cause and leaving them makes it worse.
constexpr std::size_t kGroupPerStraggler = 3;
// Engines pause their streams for prompts of this length in seconds; such gaps are no sign of
// slowness.
constexpr double kShortestGap = 0.08;
// First tokens below this many seconds are not compared: prompts of other daemons ahead in the
// queue make them late by as much, and upstreams that were left for it caused recomputed prompts
// elsewhere.
constexpr double kLeastFirstToken = 0.1;

}  // namespace

void UpstreamGroup::OnDispatch(double cost) {
  typical_cost_ += kTypicalCostWeight * (cost - typical_cost_);
}

void UpstreamGroup::Refresh(TimePoint now) {
  if (medians_at_ != TimePoint::min() && now - medians_at_ < kMedianInterval) {
    return;
  }
  medians_at_ = now;
  for (std::size_t kind = 0; kind < kLatencyKinds; ++kind) {
    values_.clear();
    for (const UpstreamEntry* entry : entries_) {
      if (const auto value = entry->straggler.Value(static_cast<LatencyKind>(kind), now)) {
        values_.push_back(*value);
      }
    }
    // Without recent values the last median is still the best guess.
    if (const double median = MedianOf(values_); median > 0) {
      medians_.at(kind) = median;
    }
  }
}

double UpstreamGroup::Usual(LatencyKind kind, double expected) const {
  const double usual = medians_.at(static_cast<std::size_t>(kind)) * expected;
  return kind == LatencyKind::kFirstToken && usual > 0 ? std::max(usual, kLeastFirstToken) : usual;
}

std::optional<double> UpstreamGroup::UsualAnswer(const RunningAttempt& attempt) const {
  const double usual =
      Usual(judged_kind(), streams_ ? attempt.expected_first_token : attempt.expected_total);
  return usual > 0 ? std::optional(usual) : std::nullopt;
}

double UpstreamGroup::Slowness(const RunningAttempt& attempt, double total, int tokens) const {
  const std::optional<double> usual = UsualAnswer(attempt);
  if (!usual || (streams_ && token_median() <= 0)) {
    return total / attempt.expected_total;
  }
  return total / (*usual + (streams_ ? tokens * token_median() : 0));
}

bool UpstreamGroup::Leave(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters) {
  if (entry.straggler.left()) {
    return true;
  }
  const auto left = static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const UpstreamEntry* other) { return other->straggler.left(); }));
  if ((left + 1) * kGroupPerStraggler > entries_.size()) {
    return false;
  }
  entry.straggler.Leave(now);
  counters.Add(RoutingCount::kStragglersLeft);
  return true;
}

double UpstreamGroup::TokenGapRatio(const UpstreamEntry& entry, TimePoint now) const {
  if (!reports_progress_ || entry.streaming == 0 || token_median() <= 0) {
    return 0;
  }
  return ToSeconds(now - entry.last_token) /
         std::max(kShortestGap, kTokensPerSample * token_median());
}

bool UpstreamGroup::CheckOverdue(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters) {
  if (entry.straggler.left()) {
    return true;
  }
  int evidence = 0;
  for (const UpstreamEntry::Waiting& waiting : entry.waiting) {
    const double usual =
        Usual(judged_kind(), streams_ ? waiting.expected_first_token : waiting.expected_total);
    const double ratio = usual > 0 ? ToSeconds(now - waiting.dispatched) / usual : 0;
    evidence += ratio >= StragglerDetector::kSureRatio ? 2 : 0;
    evidence += ratio >= StragglerDetector::kLeaveRatio ? 1 : 0;
  }
  const double gap = TokenGapRatio(entry, now);
  evidence += gap >= StragglerDetector::kSureRatio ? 1 : 0;
  evidence += gap >= StragglerDetector::kLeaveRatio ? std::min(entry.streaming, 2) : 0;
  if (evidence < 2 || !Leave(entry, now, counters)) {
    return false;
  }
  if (gap >= StragglerDetector::kLeaveRatio) {
    entry.straggler.OnStreamEvidence(gap, now, now);
  }
  return true;
}

void UpstreamGroup::SampleStream(UpstreamEntry& entry, double seconds_per_token, TimePoint since,
                                 TimePoint now, RoutingCounters& counters) {
  Sample(entry, LatencyKind::kPerToken, seconds_per_token, 1, false, now, counters);
  if (token_median() <= 0 ||
      !entry.straggler.OnStreamEvidence(seconds_per_token / token_median(), since, now)) {
    return;
  }
  counters.Add(RoutingCount::kStragglersReturned);
  entry.limit.Restart();
}

bool UpstreamGroup::Sample(UpstreamEntry& entry, LatencyKind kind, double seconds, double expected,
                           bool probe, TimePoint now, RoutingCounters& counters) {
  const double usual = Usual(kind, expected);
  const double ratio = usual > 0 ? seconds / usual : 0;
  if (!entry.straggler.left()) {
    entry.straggler.OnSample(kind, seconds / expected, ratio, now);
    const LatencyKind pace_kind = streams_ ? LatencyKind::kPerToken : LatencyKind::kTotal;
    if (kind == pace_kind && ratio > 0) {
      entry.load.OnLatency(ratio, now);
    }
    if (entry.straggler.Ratio(now) >= StragglerDetector::kLeaveRatio) {
      Leave(entry, now, counters);
    }
    return false;
  }
  // Attempts from before the upstream was left say nothing about its state now.
  if (!probe || kind != judged_kind() || ratio <= 0) {
    return false;
  }
  if (entry.straggler.OnProbeEnd(ratio, now)) {
    counters.Add(RoutingCount::kStragglersReturned);
    entry.limit.Restart();
  }
  return true;
}

bool UpstreamGroup::SampleUnanswered(UpstreamEntry& entry, const RunningAttempt& attempt,
                                     TimePoint now, RoutingCounters& counters) {
  const std::optional<double> usual = UsualAnswer(attempt);
  if (!usual) {
    return false;
  }
  // The answer would have taken longer still, so the age counts only when it was late already.
  const double age = ToSeconds(now - attempt.dispatched);
  const double late =
      *usual * (attempt.probe ? StragglerDetector::kReturnRatio : StragglerDetector::kLeaveRatio);
  return age >= late && Sample(entry, judged_kind(), age,
                               streams_ ? attempt.expected_first_token : attempt.expected_total,
                               attempt.probe, now, counters);
}

}  // namespace savoryglade
