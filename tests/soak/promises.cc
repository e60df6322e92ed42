#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "soak/history.h"

namespace savoryglade::soak {
namespace {

// A run in the last sixth of the grace period may be cut if its request was sent this early.
constexpr Duration kEarlyRequest = 3s;
constexpr int kGraceParts = 6;
// A daemon ends a call this long before its deadline.
constexpr Duration kDeadlineMargin = 50ms;
// Time after the grace period for which a stop counts as planned work around a request.
constexpr Duration kPlannedWorkSlack = 1s;

bool IsUnplanned(EventKind kind) {
  return kind == EventKind::kKill || kind == EventKind::kFreeze || kind == EventKind::kThaw;
}

class Checker {
 public:
  Checker(const History& history, const PromiseBounds& bounds)
      : history_(history), bounds_(bounds), violations_(history.violations()) {}

  std::vector<Violation> Check() {
    for (const AttemptRecord& attempt : history_.attempts()) {
      const std::vector<RunRecord> runs = history_.RunsOf(attempt.id);
      CheckLost(attempt, runs);
      CheckRuns(attempt, runs);
      if (!attempt.mixed.empty()) {
        Add("MIXED", attempt.mixed, attempt);
      }
    }
    return violations_;
  }

 private:
  void Add(std::string rule, std::string text, const AttemptRecord& attempt) {
    violations_.push_back({.rule = std::move(rule),
                           .text = std::move(text),
                           .attempt = &attempt,
                           .daemon = attempt.daemon,
                           .at = attempt.ended_at});
  }

  // Returns true if the daemon was killed or frozen too shortly before the request, or during it.
  bool IsDisturbed(const AttemptRecord& attempt) const {
    return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
      return event.daemon == attempt.daemon && IsUnplanned(event.kind) &&
             event.at >= attempt.sent_at - bounds_.contact && event.at <= attempt.ended_at;
    });
  }

  // Returns the time of the stop order that was in force when the attempt ended.
  std::optional<TimePoint> StopOrder(const AttemptRecord& attempt) const {
    std::optional<TimePoint> order;
    for (const PlayEvent& event : history_.events()) {
      if (event.daemon == attempt.daemon && event.kind == EventKind::kTerm &&
          event.at <= attempt.ended_at &&
          attempt.ended_at <= event.at + bounds_.grace + kPlannedWorkSlack) {
        order = event.at;
      }
    }
    return order;
  }

  // A request that was passed on to a sound upstream, or read by a daemon that was told to stop,
  // gets a complete answer.
  void CheckLost(const AttemptRecord& attempt, const std::vector<RunRecord>& runs) {
    if (!attempt.sent || attempt.complete ||
        attempt.ended_at >= attempt.deadline - kDeadlineMargin || IsDisturbed(attempt)) {
      return;
    }
    const bool upstream_broke = std::ranges::any_of(runs, [&](const RunRecord& run) {
      return history_.BrokeBetween(run.upstream, run.started_at, attempt.ended_at);
    });
    if (upstream_broke) {
      return;
    }
    const std::optional<TimePoint> order = StopOrder(attempt);
    if (order && attempt.sent_at <= *order + kEarlyRequest) {
      const TimePoint last_sixth = *order + bounds_.grace - bounds_.grace / kGraceParts;
      const bool was_at_work = std::ranges::any_of(
          runs, [&](const RunRecord& run) { return !run.ended_at || *run.ended_at >= last_sixth; });
      if (attempt.ended_at >= last_sixth && was_at_work) {
        return;
      }
    }
    const Duration open_for = attempt.ended_at - attempt.sent_at;
    if (!runs.empty()) {
      Add("LOST", "The request was passed on and its connection closed without its answer.",
          attempt);
    } else if (order && open_for > bounds_.loss_slack) {
      Add("LOST",
          fmt::format("The connection closed without an answer {} ms after the request, {} ms "
                      "after SIGTERM.",
                      open_for / 1ms, (attempt.ended_at - *order) / 1ms),
          attempt);
    }
  }

  void CheckRuns(const AttemptRecord& attempt, const std::vector<RunRecord>& runs) {
    constexpr std::array kPromises = {408U, 421U, 429U, 503U};
    if (!attempt.type->Repeatable() && runs.size() > 1) {
      Add("TWICE", fmt::format("The request ran {} times.", runs.size()), attempt);
    }
    if (std::ranges::count(kPromises, attempt.status) > 0 && !runs.empty()) {
      Add("REFUSED", fmt::format("The request was answered {} and ran.", attempt.status), attempt);
    }
    if (attempt.status >= 200 && attempt.status < 300 && runs.empty()) {
      Add("MIXED", "The request was answered with success and did not run.", attempt);
    }
  }

  const History& history_;
  const PromiseBounds& bounds_;
  std::vector<Violation> violations_;
};

}  // namespace

std::vector<Violation> CheckPromises(const History& history, const PromiseBounds& bounds) {
  return Checker(history, bounds).Check();
}

}  // namespace savoryglade::soak
