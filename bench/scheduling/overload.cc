#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bench/scheduling/first_come_queue.h"
#include "bench/scheduling/report.h"
#include "core/event_queue.h"
#include "core/random.h"
#include "recovery/retry_policy.h"
#include "scheduling/scheduler.h"

// 20 upstreams with 8 slots each at 70% load. From 60 s to 120 s the load is three times as high,
// and half of the upstreams fail. One daemon, one client account with repeatable requests.
// A failed upstream refuses the connection, or takes each request and loses it after a second.
// Baseline: first come, first served; the daemon retries a lost attempt at once and without bound,
// and callers send a request again at once when its deadline passes. Ours: scheduler and retry
// policy; callers return at the time that they are given if it is within 10 s, up to three times.
namespace savoryglade::bench {
namespace {

constexpr std::size_t kUpstreams = 20;
constexpr std::size_t kFailing = 10;
constexpr std::size_t kSlotsEach = 8;
constexpr double kMeanCost = 0.25;
constexpr double kNormalLoad = 0.7;
constexpr double kOverloadFactor = 3;
constexpr Duration kDeadline = 10s;
constexpr Duration kCallerPatience = 10s;
constexpr int kMaxReturns = 3;
// An attempt at a failed upstream is refused after this time; the upstream is then left out for 1
// s.
constexpr Duration kConnectFailure = 2ms;
constexpr Duration kLeftOut = 1s;
constexpr TimePoint kMeasureFrom{20s};
constexpr TimePoint kOverload{60s};
constexpr TimePoint kOverloadEnd{120s};
constexpr TimePoint kLastArrival{160s};
constexpr TimePoint kEnd{180s};

const ServiceId kService("assistant");
const AccountId kAccount("drivers");

struct Failure {
  std::string name;
  Duration after;
  // Whether the request had been handed to the upstream.
  bool dispatched = false;
};

struct Outcome {
  // Cost of the requests that ended within their deadline during the overload, in slot-seconds.
  double good_cost = 0;
  std::size_t attempts = 0;
  // Requests that reached an upstream at least once, and all that callers sent.
  std::size_t dispatched = 0;
  std::size_t requests = 0;
  // Latency of the answered requests that arrived in normal times, and by second after the
  // overload.
  std::vector<double> normal;
  std::array<std::vector<double>, 40> after;
  std::size_t late_after = 0;
  // Time from a refusal to the next request's arrival is not counted: these are refusals
  // themselves.
  std::vector<double> refused_after;
  std::size_t expired_in_queue = 0;
};

class System {
 public:
  System(std::uint64_t seed, bool ours, Failure failure)
      : random_(seed),
        cost_random_(seed + 1000),
        ours_(ours),
        failure_(std::move(failure)),
        policy_({}, Random(seed + 2000)) {}

  Outcome Run() {
    Arrive();
    Tick();
    events_.At(kOverload, [this] { SetFailed(true); });
    events_.At(kOverloadEnd, [this] { SetFailed(false); });
    events_.RunUntil(kEnd);
    return std::move(outcome_);
  }

 private:
  struct Upstream {
    bool failed = false;
    TimePoint left_out_until;
    std::vector<Ticket> running;
  };

  struct Work {
    double cost = 0;
    TimePoint arrived;
    TimePoint deadline;
    int attempts = 0;
    int returns = 0;
    std::size_t upstream = 0;
    bool is_running = false;
  };

  bool Overloaded() const { return events_.now() >= kOverload && events_.now() < kOverloadEnd; }

  void Arrive() {
    const double rate =
        kNormalLoad * kUpstreams * kSlotsEach / kMeanCost * (Overloaded() ? kOverloadFactor : 1);
    events_.After(FromSeconds(random_.Exponential(1 / rate)), [this] {
      if (events_.now() >= kLastArrival) {
        return;
      }
      Send({.cost = std::max(0.01, cost_random_.Exponential(kMeanCost))});
      Arrive();
    });
  }

  // A caller sends a request, for the first time or again.
  void Send(Work work) {
    const Ticket ticket = next_ticket_++;
    work.arrived = events_.now();
    work.deadline = events_.now() + kDeadline;
    work.attempts = 0;
    ++outcome_.requests;
    work_.emplace(ticket, work);
    Enqueue(ticket);
    if (!ours_) {
      // The caller of the baseline gives up at its deadline and sends the request again.
      events_.At(work.deadline, [this, ticket] {
        const auto found = work_.find(ticket);
        if (found != work_.end() && !found->second.is_running) {
          Work again = found->second;
          work_.erase(found);
          Send(again);
        }
      });
    }
  }

  void Enqueue(Ticket ticket) {
    const Work& work = work_.at(ticket);
    const QueuedRequest request{.ticket = ticket,
                                .account = kAccount,
                                .service = kService,
                                .enqueued = work.arrived,
                                .deadline = work.deadline,
                                .request_bytes = 500,
                                .max_tokens = 100,
                                .is_retry = work.attempts > 0};
    if (ours_) {
      const auto queued = scheduler_.Enqueue(request, events_.now());
      if (!queued) {
        Refuse(ticket, queued.error());
        return;
      }
    } else if (!queue_.Enqueue(request)) {
      // The queue is full: the caller tries again.
      events_.After(1s, [this, ticket] {
        if (work_.contains(ticket)) {
          Enqueue(ticket);
        }
      });
      return;
    }
    Pump();
  }

  void Refuse(Ticket ticket, const Verdict& verdict) {
    Work work = work_.at(ticket);
    work_.erase(ticket);
    if (work.arrived >= kOverloadEnd) {
      outcome_.refused_after.push_back(ToSeconds(work.arrived - kOverloadEnd));
    }
    if (verdict.retry_after <= kCallerPatience && work.returns < kMaxReturns) {
      ++work.returns;
      events_.After(verdict.retry_after, [this, work] { Send(work); });
    }
  }

  // Returns the usable upstream with the fewest requests, or kUpstreams.
  std::size_t Choose() const {
    std::size_t best = kUpstreams;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      const Upstream& upstream = upstreams_[i];
      if (upstream.left_out_until <= events_.now() && upstream.running.size() < kSlotsEach &&
          (best == kUpstreams || upstream.running.size() < upstreams_[best].running.size())) {
        best = i;
      }
    }
    return best;
  }

  void Pump() {
    const auto can_start = [this](const ServiceId&) { return Choose() < kUpstreams; };
    while (true) {
      std::optional<QueuedRequest> next;
      if (ours_) {
        next = scheduler_.Dequeue(can_start, events_.now());
      } else if (can_start(kService)) {
        next = queue_.Dequeue(events_.now());
      }
      if (!next) {
        return;
      }
      if (work_.contains(next->ticket)) {
        Start(next->ticket);
      }
    }
  }

  void Start(Ticket ticket) {
    const std::size_t chosen = Choose();
    Upstream& upstream = upstreams_[chosen];
    Work& work = work_.at(ticket);
    ++outcome_.attempts;
    if (++work.attempts == 1) {
      ++outcome_.dispatched;
      policy_.OnRequest(kAccount, kService);
    }
    work.upstream = chosen;
    work.is_running = true;
    upstream.running.push_back(ticket);
    const int attempt = work.attempts;
    if (upstream.failed) {
      events_.After(failure_.after, [this, ticket, chosen, attempt] {
        const auto found = work_.find(ticket);
        if (found != work_.end() && found->second.is_running && found->second.attempts == attempt) {
          upstreams_[chosen].left_out_until = events_.now() + kLeftOut;
          Fail(ticket, failure_.dispatched);
        }
      });
      return;
    }
    events_.After(FromSeconds(work.cost), [this, ticket, attempt] {
      const auto found = work_.find(ticket);
      if (found != work_.end() && found->second.is_running && found->second.attempts == attempt) {
        Complete(ticket);
      }
    });
  }

  void Leave(Ticket ticket) {
    Work& work = work_.at(ticket);
    work.is_running = false;
    std::erase(upstreams_[work.upstream].running, ticket);
  }

  void Complete(Ticket ticket) {
    Leave(ticket);
    const Work work = work_.at(ticket);
    work_.erase(ticket);
    if (ours_) {
      scheduler_.Finish(ticket, work.cost, events_.now());
    }
    const double latency = ToSeconds(events_.now() - work.arrived);
    const bool in_time = events_.now() <= work.deadline;
    if (Overloaded()) {
      outcome_.good_cost += in_time ? work.cost : 0;
    }
    if (work.arrived >= kMeasureFrom && work.arrived < kOverload && events_.now() < kOverload) {
      outcome_.normal.push_back(latency);
    }
    if (work.arrived >= kOverloadEnd) {
      const auto second = static_cast<std::size_t>(ToSeconds(work.arrived - kOverloadEnd));
      outcome_.after.at(std::min<std::size_t>(second, outcome_.after.size() - 1))
          .push_back(latency);
    }
    Pump();
  }

  void Fail(Ticket ticket, bool dispatched) {
    Leave(ticket);
    const Work& work = work_.at(ticket);
    if (!ours_) {
      Enqueue(ticket);
      return;
    }
    scheduler_.Finish(ticket, 0, events_.now(), /*completed=*/false);
    const FailedAttempt attempt{.account = kAccount,
                                .service = kService,
                                .run_state = dispatched ? RunState::kMayHaveRun : RunState::kNotRun,
                                .dispatched = dispatched,
                                .repeatable = true,
                                .attempts = work.attempts,
                                .deadline = work.deadline,
                                .predicted_duration = FromSeconds(kMeanCost)};
    const RetryDecision decision = policy_.Decide(attempt, events_.now());
    if (const auto* retry = std::get_if<Retry>(&decision)) {
      events_.After(retry->delay, [this, ticket] { Enqueue(ticket); });
    } else {
      Refuse(ticket, std::get<GiveUp>(decision).verdict);
    }
    Pump();
  }

  void SetFailed(bool failed) {
    for (std::size_t i = 0; i < kFailing; ++i) {
      upstreams_[i].failed = failed;
    }
    if (!failed) {
      return;
    }
    for (std::size_t i = 0; i < kFailing; ++i) {
      upstreams_[i].left_out_until = events_.now() + kLeftOut;
      for (const Ticket ticket : std::vector<Ticket>(upstreams_[i].running)) {
        Fail(ticket, true);
      }
    }
  }

  void Tick() {
    events_.After(5ms, [this] {
      if (ours_) {
        for (const ExpiredRequest& expired : scheduler_.Expire(events_.now())) {
          ++outcome_.expired_in_queue;
          Refuse(expired.ticket, expired.verdict);
        }
      }
      Pump();
      Tick();
    });
  }

  EventQueue events_;
  Random random_;
  Random cost_random_;
  bool ours_;
  Failure failure_;
  RetryPolicy policy_;
  Scheduler scheduler_{SchedulerOptions{}};
  FirstComeQueue queue_;
  std::array<Upstream, kUpstreams> upstreams_;
  std::unordered_map<Ticket, Work> work_;
  Ticket next_ticket_ = 1;
  Outcome outcome_;
};

double Goodput(const Outcome& outcome) {
  constexpr double kCapacity = (kUpstreams - kFailing) * kSlotsEach;
  return outcome.good_cost / (kCapacity * ToSeconds(kOverloadEnd - kOverload));
}

// Returns the first second after the overload from which on the p99 of each second is at most 1.5
// times the normal p99. 1.5 allows for the noise of one second with some 450 requests.
double RecoverySeconds(const Outcome& outcome) {
  const double normal = Quantile(outcome.normal, 0.99);
  std::size_t recovered = outcome.after.size();
  while (recovered > 0 && !outcome.after.at(recovered - 1).empty() &&
         Quantile(outcome.after.at(recovered - 1), 0.99) <= 1.5 * normal) {
    --recovered;
  }
  return static_cast<double>(recovered);
}

std::vector<Figure> FiguresOf(std::uint64_t seed, const Failure& failure) {
  const Outcome baseline = System(seed, false, failure).Run();
  const Outcome ours = System(seed, true, failure).Run();
  const auto last_refusal = [](const Outcome& outcome) {
    return outcome.refused_after.empty()
               ? 0.0
               : *std::max_element(outcome.refused_after.begin(), outcome.refused_after.end());
  };
  const auto ratio = [](std::size_t a, std::size_t b) {
    return static_cast<double>(a) / static_cast<double>(b);
  };
  return {{.name = "goodput." + failure.name,
           .baseline = Goodput(baseline),
           .ours = Goodput(ours),
           .unit = "fraction of remaining capacity",
           .higher_is_better = true},
          {.name = "attempts." + failure.name,
           .baseline = ratio(baseline.attempts, baseline.dispatched),
           .ours = ratio(ours.attempts, ours.dispatched),
           .unit = "per dispatched request"},
          {.name = "seconds_until_normal_p99." + failure.name,
           .baseline = RecoverySeconds(baseline),
           .ours = RecoverySeconds(ours),
           .unit = "s"},
          {.name = "last_refusal_after_overload." + failure.name,
           .baseline = last_refusal(baseline),
           .ours = last_refusal(ours),
           .unit = "s"},
          {.name = "normal_p99_latency." + failure.name,
           .baseline = Quantile(baseline.normal, 0.99),
           .ours = Quantile(ours.normal, 0.99),
           .unit = "s"},
          {.name = "expired_after_admission." + failure.name,
           .baseline = 0,
           .ours = ratio(ours.expired_in_queue, ours.requests),
           .unit = "fraction of requests"}};
}

std::vector<Figure> RunSeed(std::uint64_t seed) {
  std::vector<Figure> figures =
      FiguresOf(seed, {.name = "refused_connections", .after = 2ms, .dispatched = false});
  const std::vector<Figure> lost =
      FiguresOf(seed, {.name = "lost_after_a_second", .after = 1s, .dispatched = true});
  figures.insert(figures.end(), lost.begin(), lost.end());
  return figures;
}

}  // namespace

void RunOverload() { RunSeeds("overload", RunSeed); }

}  // namespace savoryglade::bench
