#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "soak/promise_checker.h"

namespace savoryglade::soak {
namespace {

// Time after the grace period for which a stop counts as planned work around a request.
constexpr Duration kPlannedWorkSlack = 1s;

bool IsUnplanned(EventKind kind) {
  return kind == EventKind::kKill || kind == EventKind::kFreeze || kind == EventKind::kThaw;
}

bool IsPartition(EventKind kind) {
  return kind == EventKind::kPartition || kind == EventKind::kPartitionEnd;
}

}  // namespace

void PromiseChecker::Add(std::string rule, std::string text, const AttemptRecord& attempt) {
  violations_.push_back({.rule = std::move(rule),
                         .text = std::move(text),
                         .attempt = &attempt,
                         .daemon = attempt.daemon,
                         .at = attempt.ended_at});
}

bool PromiseChecker::IsDisturbed(const AttemptRecord& attempt) const {
  const TimePoint end = EndOf(attempt);
  return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
    return event.daemon == attempt.daemon && IsUnplanned(event.kind) &&
           event.at >= attempt.sent_at - bounds_.contact && event.at <= end;
  });
}

TimePoint PromiseChecker::EndOf(const AttemptRecord& attempt) const {
  if (attempt.timed_out) {
    return attempt.ended_at;
  }
  const auto exit = std::ranges::find_if(history_.events(), [&](const PlayEvent& event) {
    return event.daemon == attempt.daemon && event.kind == EventKind::kExit &&
           event.at >= attempt.sent_at;
  });
  return exit == history_.events().end() ? attempt.ended_at : std::min(attempt.ended_at, exit->at);
}

std::optional<TimePoint> PromiseChecker::StopOrder(const AttemptRecord& attempt) const {
  const TimePoint end = EndOf(attempt);
  std::optional<TimePoint> order;
  for (const PlayEvent& event : history_.events()) {
    if (event.daemon == attempt.daemon && event.kind == EventKind::kTerm && event.at <= end &&
        end <= event.at + bounds_.grace + kPlannedWorkSlack) {
      order = event.at;
    }
  }
  return order;
}

bool PromiseChecker::IsCutByPartition(const AttemptRecord& attempt) const {
  bool partitioned = false;
  for (const PlayEvent& event : history_.events()) {
    if (event.at > attempt.ended_at) {
      break;
    }
    const bool meanwhile = event.at >= attempt.sent_at;
    if (event.daemon == attempt.daemon && event.kind == EventKind::kPartition) {
      partitioned = true;
      if (meanwhile) {
        return true;
      }
    } else if (event.daemon == attempt.daemon && event.kind == EventKind::kPartitionEnd) {
      partitioned = meanwhile;
    } else if (partitioned && meanwhile &&
               (IsUnplanned(event.kind) || event.kind == EventKind::kPartition)) {
      return true;
    }
  }
  return false;
}

bool PromiseChecker::WasRelayCut(const std::vector<RunRecord>& runs) const {
  return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
    return event.kind == EventKind::kPartition &&
           std::ranges::any_of(runs, [&](const RunRecord& run) {
             return run.ended_at && *run.ended_at >= event.at &&
                    *run.ended_at <= event.at + kSameMoment;
           });
  });
}

bool PromiseChecker::IsInTouch(const AttemptRecord& attempt, bool partitions_count,
                               Duration contact) const {
  bool store_is_sound = true;
  for (const PlayEvent& event : history_.events()) {
    const bool concerns_store =
        event.kind == EventKind::kStoreFault || event.kind == EventKind::kStoreSound;
    const bool concerns_daemon = event.daemon == attempt.daemon &&
                                 event.kind != EventKind::kHangUp &&
                                 (partitions_count || !IsPartition(event.kind));
    if (event.at > attempt.ended_at) {
      break;
    }
    if (event.at >= attempt.sent_at - contact && (concerns_store || concerns_daemon)) {
      return false;
    }
    store_is_sound = concerns_store ? event.kind == EventKind::kStoreSound : store_is_sound;
  }
  return store_is_sound;
}

bool PromiseChecker::IsCalm(std::size_t daemon, TimePoint at) const {
  return std::ranges::none_of(history_.events(), [&](const PlayEvent& event) {
    return event.daemon == daemon && event.kind != EventKind::kHangUp &&
           event.at >= at - bounds_.contact && event.at <= at;
  });
}

bool PromiseChecker::IsExcused(std::size_t daemon, TimePoint from, TimePoint to) const {
  return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
    return event.daemon == daemon && event.at >= from - kSameMoment && event.at <= to &&
           (IsUnplanned(event.kind) || IsPartition(event.kind) || event.kind == EventKind::kStart ||
            event.kind == EventKind::kExit);
  });
}

std::optional<TimePoint> PromiseChecker::EndOf(const RunRecord& run) const {
  return run.ended_at ? run.ended_at : history_.EndOf(run.upstream);
}

bool PromiseChecker::IsPartitioned(std::size_t daemon, TimePoint at) const {
  bool partitioned = false;
  for (const PlayEvent& event : history_.events()) {
    if (event.daemon == daemon && IsPartition(event.kind) && event.at <= at) {
      partitioned = event.kind == EventKind::kPartition;
    }
  }
  return partitioned;
}

bool PromiseChecker::IsNearPartition(const AttemptRecord& attempt) const {
  return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
    return event.daemon == attempt.daemon && IsPartition(event.kind) &&
           event.at >= attempt.sent_at - bounds_.contact &&
           event.at <= attempt.ended_at + bounds_.contact;
  });
}

PromiseChecker::AttemptIndex PromiseChecker::IndexAttempts() const {
  AttemptIndex attempts;
  for (const AttemptRecord& attempt : history_.attempts()) {
    attempts.emplace(attempt.id, &attempt);
  }
  return attempts;
}

}  // namespace savoryglade::soak
