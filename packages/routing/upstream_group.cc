#include "routing/upstream_group.h"

#include <algorithm>

namespace savoryglade {
namespace {

constexpr Duration kMedianRefreshInterval = 100ms;
constexpr double kTypicalCostWeight = 0.02;
// At most one in this many upstreams of a group is ejected. If more are slow, load is the cause,
// and ejecting them makes it worse.
constexpr std::size_t kMinUpstreamsPerStraggler = 3;
// Engines pause their streams for prompts of about this length; such gaps do not indicate slowness.
constexpr double kMinTokenGapSeconds = 0.08;
// First-token latencies below this are not compared: prompts of other daemons ahead in the queue
// cause delays of this size, and ejecting upstreams for them caused recomputed prompts elsewhere.
constexpr double kMinFirstTokenSeconds = 0.1;

}  // namespace

void UpstreamGroup::OnDispatch(double cost) {
  typical_cost_ += kTypicalCostWeight * (cost - typical_cost_);
}

void UpstreamGroup::Refresh(TimePoint now) {
  if (medians_at_ != TimePoint::min() && now - medians_at_ < kMedianRefreshInterval) {
    return;
  }
  medians_at_ = now;
  for (std::size_t kind = 0; kind < kLatencyKinds; ++kind) {
    median_buffer_.clear();
    for (const UpstreamEntry* entry : entries_) {
      if (const auto value = entry->straggler.RecentMean(static_cast<LatencyKind>(kind), now)) {
        median_buffer_.push_back(*value);
      }
    }
    // Without recent values the last median remains the best estimate.
    if (const double median = MedianOf(median_buffer_); median > 0) {
      medians_.at(kind) = median;
    }
  }
}

double UpstreamGroup::TypicalLatency(LatencyKind kind, double expected) const {
  const double typical = medians_.at(static_cast<std::size_t>(kind)) * expected;
  return kind == LatencyKind::kFirstToken && typical > 0 ? std::max(typical, kMinFirstTokenSeconds)
                                                         : typical;
}

std::optional<double> UpstreamGroup::TypicalResponseTime(const RunningAttempt& attempt) const {
  const double typical = TypicalLatency(
      compared_kind(), streams_ ? attempt.expected_first_token : attempt.expected_total);
  return typical > 0 ? std::optional(typical) : std::nullopt;
}

double UpstreamGroup::TotalLatencyRatio(const RunningAttempt& attempt, double total,
                                        int tokens) const {
  const std::optional<double> typical = TypicalResponseTime(attempt);
  if (!typical || (streams_ && token_median() <= 0)) {
    return total / attempt.expected_total;
  }
  return total / (*typical + (streams_ ? tokens * token_median() : 0));
}

bool UpstreamGroup::Eject(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters) {
  if (entry.straggler.ejected()) {
    return true;
  }
  const auto ejected = static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const UpstreamEntry* other) { return other->straggler.ejected(); }));
  if ((ejected + 1) * kMinUpstreamsPerStraggler > entries_.size()) {
    return false;
  }
  entry.straggler.Eject(now);
  counters.Add(RoutingCount::kStragglersLeft);
  return true;
}

double UpstreamGroup::TokenGapRatio(const UpstreamEntry& entry, TimePoint now) const {
  if (!reports_progress_ || entry.streaming_attempts == 0 || token_median() <= 0) {
    return 0;
  }
  return ToSeconds(now - entry.last_token) /
         std::max(kMinTokenGapSeconds, kTokensPerSample * token_median());
}

bool UpstreamGroup::EjectIfOverdue(UpstreamEntry& entry, TimePoint now, RoutingCounters& counters) {
  if (entry.straggler.ejected()) {
    return true;
  }
  int evidence = 0;
  for (const UpstreamEntry::UnansweredAttempt& attempt : entry.unanswered) {
    const double typical = TypicalLatency(
        compared_kind(), streams_ ? attempt.expected_first_token : attempt.expected_total);
    const double ratio = typical > 0 ? ToSeconds(now - attempt.dispatched) / typical : 0;
    evidence += ratio >= StragglerDetector::kSingleAttemptEjectRatio ? 2 : 0;
    evidence += ratio >= StragglerDetector::kEjectRatio ? 1 : 0;
  }
  const double gap = TokenGapRatio(entry, now);
  evidence += gap >= StragglerDetector::kSingleAttemptEjectRatio ? 1 : 0;
  evidence += gap >= StragglerDetector::kEjectRatio ? std::min(entry.streaming_attempts, 2) : 0;
  if (evidence < 2 || !Eject(entry, now, counters)) {
    return false;
  }
  if (gap >= StragglerDetector::kEjectRatio) {
    entry.straggler.OnStreamSample(gap, now, now);
  }
  return true;
}

void UpstreamGroup::RecordTokenLatency(UpstreamEntry& entry, double seconds_per_token,
                                       TimePoint since, TimePoint now, RoutingCounters& counters) {
  RecordLatency(entry, LatencyKind::kPerToken, seconds_per_token, 1, false, now, counters);
  if (token_median() <= 0 ||
      !entry.straggler.OnStreamSample(seconds_per_token / token_median(), since, now)) {
    return;
  }
  counters.Add(RoutingCount::kStragglersReturned);
  entry.limit.Restart();
}

bool UpstreamGroup::RecordLatency(UpstreamEntry& entry, LatencyKind kind, double seconds,
                                  double expected, bool probe, TimePoint now,
                                  RoutingCounters& counters) {
  const double typical = TypicalLatency(kind, expected);
  const double ratio = typical > 0 ? seconds / typical : 0;
  if (!entry.straggler.ejected()) {
    entry.straggler.OnSample(kind, seconds / expected, ratio, now);
    const LatencyKind load_kind = streams_ ? LatencyKind::kPerToken : LatencyKind::kTotal;
    if (kind == load_kind && ratio > 0) {
      entry.load.OnLatency(ratio, now);
    }
    if (entry.straggler.MaxRecentRatio(now) >= StragglerDetector::kEjectRatio) {
      Eject(entry, now, counters);
    }
    return false;
  }
  // Attempts that were dispatched before the ejection do not show the current state.
  if (!probe || kind != compared_kind() || ratio <= 0) {
    return false;
  }
  if (entry.straggler.OnProbeEnd(ratio, now)) {
    counters.Add(RoutingCount::kStragglersReturned);
    entry.limit.Restart();
  }
  return true;
}

bool UpstreamGroup::RecordUnanswered(UpstreamEntry& entry, const RunningAttempt& attempt,
                                     TimePoint now, RoutingCounters& counters) {
  const std::optional<double> typical = TypicalResponseTime(attempt);
  if (!typical) {
    return false;
  }
  // The answer would have taken even longer, so the age counts only if it was already late.
  const double age = ToSeconds(now - attempt.dispatched);
  const double late = *typical * (attempt.probe ? StragglerDetector::kReadmitRatio
                                                : StragglerDetector::kEjectRatio);
  return age >= late &&
         RecordLatency(entry, compared_kind(), age,
                       streams_ ? attempt.expected_first_token : attempt.expected_total,
                       attempt.probe, now, counters);
}

}  // namespace savoryglade
