#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <vector>

#include "soak/promise_checker.h"

namespace savoryglade::soak {
namespace {

// Share of the first tries elsewhere that daemons without a path to the upstreams must serve, and
// the failures there that are allowed: a number and a share of all first tries.
constexpr double kPartitionedShare = 2.0 / 3;
constexpr double kPartitionFailures = 10;
constexpr double kPartitionFailureShare = 1.0 / 50;
// Time after a caller has left from which its request must not reach an upstream, or still run.
// Requests that may do so, and the share of the repeatable runs that would have lasted so long.
constexpr Duration kGoneSlack = 500ms;
constexpr std::size_t kSentAfterLeaving = 3;
constexpr double kRunningAfterLeavingShare = 0.25;

// First tries at daemons in touch, and how many of them were served.
struct Tries {
  double sent = 0;
  double served = 0;
  const AttemptRecord* last_failure = nullptr;

  void Add(const AttemptRecord& attempt) {
    const bool is_served = attempt.status == 200 && attempt.complete;
    ++sent;
    served += is_served ? 1 : 0;
    last_failure = is_served ? last_failure : &attempt;
  }
};

}  // namespace

void PromiseChecker::CheckPartitions() {
  for (const PlayEvent& begin : history_.events()) {
    if (begin.kind == EventKind::kPartition && begin.daemon) {
      CheckPartition(begin);
    }
  }
}

void PromiseChecker::CheckPartition(const PlayEvent& begin) {
  std::set<std::size_t> partitioned;
  TimePoint end = TimePoint::max();
  for (const PlayEvent& event : history_.events()) {
    if (event.kind == EventKind::kPartition && event.at - begin.at < kSameMoment &&
        begin.at - event.at < kSameMoment) {
      partitioned.insert(*event.daemon);
    } else if (event.kind == EventKind::kPartitionEnd && event.at > begin.at) {
      end = std::min(end, event.at);
    }
  }
  // Each partition is judged once.
  if (*partitioned.begin() != *begin.daemon) {
    return;
  }
  Tries cut;
  Tries others;
  for (const AttemptRecord& attempt : history_.attempts()) {
    if (attempt.is_first && attempt.crashing_path.empty() && !attempt.left_by_caller &&
        attempt.status != 429 && attempt.sent_at >= begin.at + bounds_.contact &&
        attempt.ended_at <= end && IsInTouch(attempt, false, bounds_.contact)) {
      (partitioned.contains(attempt.daemon) ? cut : others).Add(attempt);
    }
  }
  const double allowed_failures =
      kPartitionFailures + kPartitionFailureShare * (cut.sent + others.sent);
  if (cut.sent - cut.served > allowed_failures &&
      cut.served * others.sent < kPartitionedShare * others.served * cut.sent) {
    Add("RECOVER",
        fmt::format("Daemons without a path to the upstreams served {} of {} first tries, the "
                    "others {} of {}.",
                    cut.served, cut.sent, others.served, others.sent),
        *cut.last_failure);
  }
}

void PromiseChecker::CheckCallersThatLeft() {
  std::vector<const AttemptRecord*> sent;
  std::vector<const AttemptRecord*> running;
  std::size_t long_runs = 0;
  for (const AttemptRecord& attempt : history_.attempts()) {
    if (!attempt.left_by_caller || !attempt.crashing_path.empty()) {
      continue;
    }
    const TimePoint late = attempt.ended_at + kGoneSlack;
    const bool is_calm = IsInTouch(attempt, true, bounds_.contact);
    for (const RunRecord& run : history_.RunsOf(attempt.id)) {
      if (run.started_at > late && !IsNearPartition(attempt)) {
        sent.push_back(&attempt);
      } else if (is_calm && attempt.type->Repeatable() && run.started_at + run.length > late) {
        ++long_runs;
        if (!run.ended_at || *run.ended_at > late) {
          running.push_back(&attempt);
        }
      }
    }
  }
  if (sent.size() > kSentAfterLeaving) {
    Add("GONE", fmt::format("{} requests were sent after their callers had left.", sent.size()),
        *sent.back());
  }
  if (running.size() > kSentAfterLeaving &&
      static_cast<double>(running.size()) >
          kRunningAfterLeavingShare * static_cast<double>(long_runs)) {
    Add("GONE",
        fmt::format("{} of {} runs went on after their callers had left.", running.size(),
                    long_runs),
        *running.back());
  }
}

}  // namespace savoryglade::soak
