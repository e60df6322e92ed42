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

// Simulates 20 upstreams with 8 slots each at 70% load. From 60 s to 120 s the load is three times
// as high, and half of the upstreams fail. One daemon, one client account with repeatable requests.
// A failed upstream refuses the connection, or accepts each request and loses it after a second.
// Baseline: first come, first served; the daemon retries a lost attempt immediately and without
// limit, and callers resend a request as soon as its deadline passes. Ours: scheduler and retry
// policy; callers retry after the given delay if it is within 10 s, up to three times.
namespace savoryglade::bench {
namespace {

constexpr std::size_t kUpstreams = 20;
constexpr std::size_t kFailingUpstreams = 10;
constexpr std::size_t kSlotsPerUpstream = 8;
constexpr double kMeanCostSeconds = 0.25;
constexpr double kNormalLoadFraction = 0.7;
constexpr double kOverloadFactor = 3;
constexpr Duration kRequestTimeout = 10s;
constexpr Duration kMaxCallerRetryDelay = 10s;
constexpr int kMaxCallerRetries = 3;
// Time until an attempt at a failed upstream is refused. The upstream is then excluded for 1 s.
constexpr Duration kConnectFailureDelay = 2ms;
constexpr Duration kUpstreamExclusion = 1s;
constexpr TimePoint kMeasureFrom{20s};
constexpr TimePoint kOverloadStart{60s};
constexpr TimePoint kOverloadEnd{120s};
constexpr TimePoint kLastArrival{160s};
constexpr TimePoint kSimulationEnd{180s};

const ServiceId kService("assistant");
const AccountId kAccount("drivers");

struct Failure {
  std::string name;
  Duration after;
  // Whether the request had been sent to the upstream.
  bool dispatched = false;
};

struct Outcome {
  // Cost of the requests that ended within their deadline during the overload, in slot-seconds.
  double completed_in_time_cost = 0;
  std::size_t attempts = 0;
  // Requests that reached an upstream at least once, and all requests that callers sent.
  std::size_t dispatched = 0;
  std::size_t requests = 0;
  // Latency of the completed requests that arrived before the overload, and of those that arrived
  // after it, by second of arrival.
  std::vector<double> normal_latency;
  std::array<std::vector<double>, 40> latency_by_second;
  std::size_t late_after = 0;
  // Arrival times of the rejected requests after the overload, in seconds from its end.
  std::vector<double> refusal_times;
  std::size_t expired_in_queue = 0;
};

class OverloadSimulation {
 public:
  OverloadSimulation(std::uint64_t seed, bool ours, Failure failure)
      : random_(seed),
        cost_random_(seed + 1000),
        ours_(ours),
        failure_(std::move(failure)),
        policy_({}, Random(seed + 2000)) {}

  Outcome Run() {
    ScheduleArrival();
    ScheduleTick();
    events_.At(kOverloadStart, [this] { SetFailed(true); });
    events_.At(kOverloadEnd, [this] { SetFailed(false); });
    events_.RunUntil(kSimulationEnd);
    return std::move(outcome_);
  }

 private:
  struct Upstream {
    bool failed = false;
    TimePoint excluded_until;
    std::vector<Ticket> running;
  };

  struct SimulatedRequest {
    double cost = 0;
    TimePoint arrived;
    TimePoint deadline;
    int attempts = 0;
    int caller_retries = 0;
    std::size_t upstream = 0;
    bool is_running = false;
  };

  bool Overloaded() const {
    return events_.now() >= kOverloadStart && events_.now() < kOverloadEnd;
  }

  void ScheduleArrival() {
    const double rate = kNormalLoadFraction * kUpstreams * kSlotsPerUpstream / kMeanCostSeconds *
                        (Overloaded() ? kOverloadFactor : 1);
    events_.After(FromSeconds(random_.Exponential(1 / rate)), [this] {
      if (events_.now() >= kLastArrival) {
        return;
      }
      Send({.cost = std::max(0.01, cost_random_.Exponential(kMeanCostSeconds))});
      ScheduleArrival();
    });
  }

  // Sends a request from a caller, for the first time or as a retry.
  void Send(SimulatedRequest simulated) {
    const Ticket ticket = next_ticket_++;
    simulated.arrived = events_.now();
    simulated.deadline = events_.now() + kRequestTimeout;
    simulated.attempts = 0;
    ++outcome_.requests;
    simulated_requests_.emplace(ticket, simulated);
    Enqueue(ticket);
    if (!ours_) {
      // The caller of the baseline times out at the deadline and resends the request.
      events_.At(simulated.deadline, [this, ticket] {
        const auto found = simulated_requests_.find(ticket);
        if (found != simulated_requests_.end() && !found->second.is_running) {
          SimulatedRequest resent = found->second;
          simulated_requests_.erase(found);
          Send(resent);
        }
      });
    }
  }

  void Enqueue(Ticket ticket) {
    const SimulatedRequest& simulated = simulated_requests_.at(ticket);
    const QueuedRequest request{.ticket = ticket,
                                .account = kAccount,
                                .service = kService,
                                .enqueued = simulated.arrived,
                                .deadline = simulated.deadline,
                                .request_bytes = 500,
                                .max_tokens = 100,
                                .is_retry = simulated.attempts > 0};
    if (ours_) {
      const auto queued = scheduler_.Enqueue(request, events_.now());
      if (!queued) {
        Refuse(ticket, queued.error());
        return;
      }
    } else if (!queue_.Enqueue(request)) {
      // The queue is full: the caller retries.
      events_.After(1s, [this, ticket] {
        if (simulated_requests_.contains(ticket)) {
          Enqueue(ticket);
        }
      });
      return;
    }
    DispatchWaiting();
  }

  void Refuse(Ticket ticket, const Verdict& verdict) {
    SimulatedRequest simulated = simulated_requests_.at(ticket);
    simulated_requests_.erase(ticket);
    if (simulated.arrived >= kOverloadEnd) {
      outcome_.refusal_times.push_back(ToSeconds(simulated.arrived - kOverloadEnd));
    }
    if (verdict.retry_after <= kMaxCallerRetryDelay &&
        simulated.caller_retries < kMaxCallerRetries) {
      ++simulated.caller_retries;
      events_.After(verdict.retry_after, [this, simulated] { Send(simulated); });
    }
  }

  // Returns the usable upstream with the fewest requests, or kUpstreams if there is none.
  std::size_t SelectUpstream() const {
    std::size_t best = kUpstreams;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      const Upstream& upstream = upstreams_[i];
      if (upstream.excluded_until <= events_.now() && upstream.running.size() < kSlotsPerUpstream &&
          (best == kUpstreams || upstream.running.size() < upstreams_[best].running.size())) {
        best = i;
      }
    }
    return best;
  }

  void DispatchWaiting() {
    const auto can_start = [this](const ServiceId&) { return SelectUpstream() < kUpstreams; };
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
      if (simulated_requests_.contains(next->ticket)) {
        Start(next->ticket);
      }
    }
  }

  void Start(Ticket ticket) {
    const std::size_t chosen = SelectUpstream();
    Upstream& upstream = upstreams_[chosen];
    SimulatedRequest& simulated = simulated_requests_.at(ticket);
    ++outcome_.attempts;
    if (++simulated.attempts == 1) {
      ++outcome_.dispatched;
      policy_.OnRequest(kAccount, kService);
    }
    simulated.upstream = chosen;
    simulated.is_running = true;
    upstream.running.push_back(ticket);
    const int attempt = simulated.attempts;
    if (upstream.failed) {
      events_.After(failure_.after, [this, ticket, chosen, attempt] {
        const auto found = simulated_requests_.find(ticket);
        if (found != simulated_requests_.end() && found->second.is_running &&
            found->second.attempts == attempt) {
          upstreams_[chosen].excluded_until = events_.now() + kUpstreamExclusion;
          Fail(ticket, failure_.dispatched);
        }
      });
      return;
    }
    events_.After(FromSeconds(simulated.cost), [this, ticket, attempt] {
      const auto found = simulated_requests_.find(ticket);
      if (found != simulated_requests_.end() && found->second.is_running &&
          found->second.attempts == attempt) {
        Complete(ticket);
      }
    });
  }

  void ReleaseSlot(Ticket ticket) {
    SimulatedRequest& simulated = simulated_requests_.at(ticket);
    simulated.is_running = false;
    std::erase(upstreams_[simulated.upstream].running, ticket);
  }

  void Complete(Ticket ticket) {
    ReleaseSlot(ticket);
    const SimulatedRequest simulated = simulated_requests_.at(ticket);
    simulated_requests_.erase(ticket);
    if (ours_) {
      scheduler_.Finish(ticket, simulated.cost, events_.now());
    }
    const double latency = ToSeconds(events_.now() - simulated.arrived);
    const bool in_time = events_.now() <= simulated.deadline;
    if (Overloaded()) {
      outcome_.completed_in_time_cost += in_time ? simulated.cost : 0;
    }
    if (simulated.arrived >= kMeasureFrom && simulated.arrived < kOverloadStart &&
        events_.now() < kOverloadStart) {
      outcome_.normal_latency.push_back(latency);
    }
    if (simulated.arrived >= kOverloadEnd) {
      const auto second = static_cast<std::size_t>(ToSeconds(simulated.arrived - kOverloadEnd));
      outcome_.latency_by_second
          .at(std::min<std::size_t>(second, outcome_.latency_by_second.size() - 1))
          .push_back(latency);
    }
    DispatchWaiting();
  }

  void Fail(Ticket ticket, bool dispatched) {
    ReleaseSlot(ticket);
    const SimulatedRequest& simulated = simulated_requests_.at(ticket);
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
                                .attempts = simulated.attempts,
                                .deadline = simulated.deadline,
                                .predicted_duration = FromSeconds(kMeanCostSeconds)};
    const RetryDecision decision = policy_.Decide(attempt, events_.now());
    if (const auto* retry = std::get_if<Retry>(&decision)) {
      events_.After(retry->delay, [this, ticket] { Enqueue(ticket); });
    } else {
      Refuse(ticket, std::get<GiveUp>(decision).verdict);
    }
    DispatchWaiting();
  }

  void SetFailed(bool failed) {
    for (std::size_t i = 0; i < kFailingUpstreams; ++i) {
      upstreams_[i].failed = failed;
    }
    if (!failed) {
      return;
    }
    for (std::size_t i = 0; i < kFailingUpstreams; ++i) {
      upstreams_[i].excluded_until = events_.now() + kUpstreamExclusion;
      for (const Ticket ticket : std::vector<Ticket>(upstreams_[i].running)) {
        Fail(ticket, true);
      }
    }
  }

  void ScheduleTick() {
    events_.After(5ms, [this] {
      if (ours_) {
        for (const ExpiredRequest& expired : scheduler_.Expire(events_.now())) {
          ++outcome_.expired_in_queue;
          Refuse(expired.ticket, expired.verdict);
        }
      }
      DispatchWaiting();
      ScheduleTick();
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
  std::unordered_map<Ticket, SimulatedRequest> simulated_requests_;
  Ticket next_ticket_ = 1;
  Outcome outcome_;
};

double Goodput(const Outcome& outcome) {
  constexpr double kCapacity = (kUpstreams - kFailingUpstreams) * kSlotsPerUpstream;
  return outcome.completed_in_time_cost / (kCapacity * ToSeconds(kOverloadEnd - kOverloadStart));
}

// Returns the first second after the overload from which on the p99 latency of each second is at
// most 1.5 times the normal p99. 1.5 allows for the noise of one second with some 450 requests.
double RecoverySeconds(const Outcome& outcome) {
  const double normal_latency = Quantile(outcome.normal_latency, 0.99);
  std::size_t recovered = outcome.latency_by_second.size();
  while (recovered > 0 && !outcome.latency_by_second.at(recovered - 1).empty() &&
         Quantile(outcome.latency_by_second.at(recovered - 1), 0.99) <= 1.5 * normal_latency) {
    --recovered;
  }
  return static_cast<double>(recovered);
}

std::vector<Figure> FiguresOf(std::uint64_t seed, const Failure& failure) {
  const Outcome baseline = OverloadSimulation(seed, false, failure).Run();
  const Outcome ours = OverloadSimulation(seed, true, failure).Run();
  const auto last_refusal = [](const Outcome& outcome) {
    return outcome.refusal_times.empty()
               ? 0.0
               : *std::max_element(outcome.refusal_times.begin(), outcome.refusal_times.end());
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
           .baseline = Quantile(baseline.normal_latency, 0.99),
           .ours = Quantile(ours.normal_latency, 0.99),
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
