#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "bench/scheduling/first_come_queue.h"
#include "bench/scheduling/report.h"
#include "core/event_queue.h"
#include "core/random.h"
#include "scheduling/scheduler.h"

// Simulates eight daemons in four failure domains that share 20 upstreams with 8 slots each.
// Account 0 sends 20 times its share, the others 1.3 times theirs. Each account's arrivals are
// skewed over the daemons. From 40 s on, two daemons of different failure domains exchange no
// summaries.
namespace savoryglade::bench {
namespace {

constexpr std::size_t kDaemons = 8;
constexpr std::size_t kDomains = 4;
constexpr std::size_t kSlots = 160;
constexpr std::array<double, 5> kShares = {2, 3, 2, 2, 1};
constexpr double kShareSum = 10;
constexpr double kHeavyLoadFactor = 20;
constexpr double kMeanCostSeconds = 0.5;
constexpr Duration kRequestTimeout = 10s;
constexpr std::array<std::size_t, 2> kIsolatedDaemons = {3, 6};
constexpr TimePoint kPartitionStart{40s};
constexpr TimePoint kSimulationEnd{100s};
// The failure detector declares the silent daemons dead after 5 s.
constexpr Duration kFailureDetectionTime = 5s;

struct Phase {
  std::string name;
  TimePoint begin;
  TimePoint end;
};
const std::array<Phase, 2> kPhases = {
    Phase{.name = "connected", .begin = TimePoint(10s), .end = kPartitionStart},
    Phase{.name = "two_cut_off", .begin = kPartitionStart, .end = kSimulationEnd}};

const ServiceId kService("assistant");

AccountId AccountName(std::size_t account) {
  return AccountId("account-" + std::to_string(account));
}

struct Load {
  // Offered load of each account as a multiple of its share.
  std::array<double, 5> factors;
};

// Sides of the partition: the connected daemons together, and each isolated daemon.
constexpr std::size_t kPartitionSides = 1 + kIsolatedDaemons.size();

// Cost by phase and account, in slot-seconds.
struct Outcome {
  std::array<std::array<double, kShares.size()>, kPhases.size()> served = {};
  // Cost of the arrivals, also by side of the partition.
  std::array<std::array<std::array<double, kPartitionSides>, kShares.size()>, kPhases.size()>
      offered = {};
  std::array<double, kPhases.size()> busy = {};
};

class FleetSimulation {
 public:
  FleetSimulation(std::uint64_t seed, bool fair, const Load& load)
      : random_(seed), fair_(fair), load_(load) {
    Configuration configuration;
    configuration.services.push_back({.name = kService});
    for (std::size_t i = 0; i < kShares.size(); ++i) {
      configuration.accounts.push_back({.name = AccountName(i), .share = kShares[i]});
    }
    configuration.upstreams.push_back(
        {.name = UpstreamId("all"), .service = kService, .concurrency = kSlots});
    for (std::size_t i = 0; i < kDaemons; ++i) {
      schedulers_.emplace_back(SchedulerOptions{});
      schedulers_.back().Configure(configuration);
      schedulers_.back().UpdateLiveDaemonCount(kDaemons);
    }
    queues_.resize(kDaemons);
    dispatched_.resize(kDaemons);
  }

  Outcome Run() {
    for (std::size_t i = 0; i < kShares.size(); ++i) {
      ScheduleArrival(i);
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      ScheduleDaemonSummaries(i);
      ScheduleDomainSummaries(i);
      ScheduleTick(i);
    }
    events_.At(kPartitionStart + kFailureDetectionTime, [this] {
      for (std::size_t i = 0; i < kDaemons; ++i) {
        schedulers_[i].UpdateLiveDaemonCount(IsIsolated(i) ? 1
                                                           : kDaemons - kIsolatedDaemons.size());
      }
    });
    events_.RunUntil(kSimulationEnd);
    return outcome_;
  }

 private:
  struct SimulatedRequest {
    std::size_t daemon = 0;
    std::size_t account = 0;
    Ticket ticket = 0;
    double cost = 0;
  };

  bool IsIsolated(std::size_t daemon) const {
    return events_.now() >= kPartitionStart &&
           std::find(kIsolatedDaemons.begin(), kIsolatedDaemons.end(), daemon) !=
               kIsolatedDaemons.end();
  }

  std::size_t PartitionSideOf(std::size_t daemon) const {
    const auto* found = std::find(kIsolatedDaemons.begin(), kIsolatedDaemons.end(), daemon);
    return IsIsolated(daemon) ? 1 + static_cast<std::size_t>(found - kIsolatedDaemons.begin()) : 0;
  }

  bool Connected(std::size_t a, std::size_t b) const { return !IsIsolated(a) && !IsIsolated(b); }

  void ScheduleArrival(std::size_t account) {
    const double rate =
        load_.factors[account] * kShares[account] / kShareSum * kSlots / kMeanCostSeconds;
    if (rate <= 0) {
      return;
    }
    events_.After(FromSeconds(random_.Exponential(1 / rate)), [this, account] {
      const Ticket ticket = next_ticket_++;
      // The caller's limit predicts little of the length: the actual number of tokens is uniform.
      const int max_tokens = 50 << random_.UniformInt(3);
      const double mean_tokens = 50.0 * 7 / 3 / 2;
      const double cost = kMeanCostSeconds * random_.UniformReal() * max_tokens / mean_tokens;
      simulated_requests_.push_back({.daemon = PickDaemon(account),
                                     .account = account,
                                     .ticket = ticket,
                                     .cost = std::max(cost, 0.001)});
      const QueuedRequest request{.ticket = ticket,
                                  .account = AccountName(account),
                                  .service = kService,
                                  .enqueued = events_.now(),
                                  .deadline = events_.now() + kRequestTimeout,
                                  .request_bytes = 1000,
                                  .max_tokens = max_tokens};
      const std::size_t daemon = simulated_requests_.back().daemon;
      for (std::size_t i = 0; i < kPhases.size(); ++i) {
        if (events_.now() >= kPhases[i].begin && events_.now() < kPhases[i].end) {
          outcome_.offered[i][account][PartitionSideOf(daemon)] += simulated_requests_.back().cost;
        }
      }
      const bool queued = fair_ ? schedulers_[daemon].Enqueue(request, events_.now()).has_value()
                                : queues_[daemon].Enqueue(request);
      if (queued) {
        DispatchWaiting(daemon);
      }
      ScheduleArrival(account);
    });
  }

  // Returns a daemon with a probability proportional to 1 over its rank; each account ranks the
  // daemons differently.
  std::size_t PickDaemon(std::size_t account) {
    double sum = 0;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      sum += 1.0 / static_cast<double>(i + 1);
    }
    double left = random_.UniformReal() * sum;
    std::size_t rank = 0;
    while (rank + 1 < kDaemons && left >= 1.0 / static_cast<double>(rank + 1)) {
      left -= 1.0 / static_cast<double>(rank + 1);
      ++rank;
    }
    return (account * 3 + rank) % kDaemons;
  }

  void DispatchWaiting(std::size_t daemon) {
    // A daemon counts only its own requests at the upstreams, which queue requests beyond their
    // slots.
    const auto can_start = [&](const ServiceId&) { return dispatched_[daemon] < kSlots; };
    while (can_start(kService)) {
      const auto next = fair_ ? schedulers_[daemon].Dequeue(can_start, events_.now())
                              : queues_[daemon].Dequeue(events_.now());
      if (!next) {
        return;
      }
      ++dispatched_[daemon];
      upstream_queue_.push_back(next->ticket);
      StartRequests();
    }
  }

  void StartRequests() {
    while (busy_slots_ < kSlots && !upstream_queue_.empty()) {
      const Ticket ticket = upstream_queue_.front();
      upstream_queue_.pop_front();
      ++busy_slots_;
      const SimulatedRequest& simulated = simulated_requests_[ticket];
      Record(simulated);
      events_.After(FromSeconds(simulated.cost), [this, ticket] {
        const SimulatedRequest& finished = simulated_requests_[ticket];
        --busy_slots_;
        --dispatched_[finished.daemon];
        if (fair_) {
          schedulers_[finished.daemon].Finish(ticket, finished.cost, events_.now());
        }
        StartRequests();
        DispatchWaiting(finished.daemon);
      });
    }
  }

  void Record(const SimulatedRequest& simulated) {
    for (std::size_t i = 0; i < kPhases.size(); ++i) {
      const TimePoint begin = std::max(events_.now(), kPhases[i].begin);
      const TimePoint end = std::min(events_.now() + FromSeconds(simulated.cost), kPhases[i].end);
      if (begin < end) {
        outcome_.served[i][simulated.account] += ToSeconds(end - begin);
        outcome_.busy[i] += ToSeconds(end - begin);
      }
    }
  }

  void ScheduleDaemonSummaries(std::size_t daemon) {
    events_.After(500ms, [this, daemon] {
      const UsageSummary summary = schedulers_[daemon].BuildDaemonSummary(events_.now());
      for (std::size_t peer = 0; peer < kDaemons; ++peer) {
        if (peer != daemon && peer % kDomains == daemon % kDomains && Connected(daemon, peer)) {
          ScheduleDelivery(daemon, peer, summary, 1ms);
        }
      }
      ScheduleDaemonSummaries(daemon);
    });
  }

  // The live daemon with the lowest id of each failure domain sends the domain's total.
  void ScheduleDomainSummaries(std::size_t daemon) {
    events_.After(2s, [this, daemon] {
      const std::size_t domain = daemon % kDomains;
      if (!IsIsolated(daemon) && (daemon < kDomains || IsIsolated(domain))) {
        const UsageSummary summary = schedulers_[daemon].DomainSummary(
            FailureDomainId("domain-" + std::to_string(domain)), events_.now());
        for (std::size_t peer = 0; peer < kDaemons; ++peer) {
          if (peer % kDomains != domain && Connected(daemon, peer)) {
            ScheduleDelivery(daemon, peer, summary, 2ms);
          }
        }
      }
      ScheduleDomainSummaries(daemon);
    });
  }

  void ScheduleDelivery(std::size_t from, std::size_t to, const UsageSummary& summary,
                        Duration latency) {
    events_.After(latency, [this, from, to, summary] {
      schedulers_[to].Merge(DaemonId("daemon-" + std::to_string(from)), summary, events_.now());
      DispatchWaiting(to);
    });
  }

  void ScheduleTick(std::size_t daemon) {
    events_.After(10ms, [this, daemon] {
      schedulers_[daemon].Expire(events_.now());
      DispatchWaiting(daemon);
      ScheduleTick(daemon);
    });
  }

  EventQueue events_;
  Random random_;
  bool fair_;
  Load load_;
  std::vector<Scheduler> schedulers_;
  std::vector<FirstComeQueue> queues_;
  std::vector<std::size_t> dispatched_;
  std::deque<Ticket> upstream_queue_;
  std::size_t busy_slots_ = 0;
  std::vector<SimulatedRequest> simulated_requests_;
  Ticket next_ticket_ = 0;
  Outcome outcome_;
};

double PhaseSeconds(std::size_t phase) {
  return ToSeconds(kPhases[phase].end - kPhases[phase].begin);
}

// Returns the lowest served cost of the other backlogged accounts, as a fraction of their share of
// all slots.
double MinServedShare(const Outcome& outcome, std::size_t phase, const Load& load) {
  double lowest = 1e9;
  for (std::size_t i = 1; i < kShares.size(); ++i) {
    if (load.factors[i] >= 1) {
      const double share = kShares[i] / kShareSum * kSlots * PhaseSeconds(phase);
      lowest = std::min(lowest, outcome.served[phase][i] / share);
    }
  }
  return lowest;
}

// Returns the lowest served cost of the other accounts, as a fraction of their entitlement: on each
// side of the partition, the account's share of that side's part of the slots, or its arrivals
// there if that is less.
double MinServedEntitlement(const Outcome& outcome, std::size_t phase) {
  double lowest = 1e9;
  for (std::size_t i = 1; i < kShares.size(); ++i) {
    double entitled = 0;
    for (std::size_t partition_side = 0; partition_side < kPartitionSides; ++partition_side) {
      const double isolated_daemons = phase == 0 ? 0 : kIsolatedDaemons.size();
      const double daemons = partition_side == 0 ? kDaemons - isolated_daemons : 1;
      const double share =
          kShares[i] / kShareSum * kSlots * PhaseSeconds(phase) * daemons / kDaemons;
      entitled += std::min(share, outcome.offered[phase][i][partition_side]);
    }
    if (entitled > 0) {
      lowest = std::min(lowest, outcome.served[phase][i] / entitled);
    }
  }
  return lowest;
}

double Utilisation(const Outcome& outcome, std::size_t phase) {
  return outcome.busy[phase] / (kSlots * PhaseSeconds(phase));
}

std::vector<Figure> RunSeed(std::uint64_t seed) {
  // In the second load two accounts send little or nothing, and the heavy one may use the slots
  // that they leave; the offered load is still above the capacity.
  const std::array<std::pair<std::string, Load>, 2> loads = {
      std::pair("all_backlogged", Load{{kHeavyLoadFactor, 1.3, 1.3, 1.3, 1.3}}),
      std::pair("two_light", Load{{kHeavyLoadFactor, 1.3, 0.2, 1.3, 0}})};
  std::vector<Figure> figures;
  for (const auto& [name, load] : loads) {
    const Outcome baseline = FleetSimulation(seed, false, load).Run();
    const Outcome ours = FleetSimulation(seed, true, load).Run();
    for (std::size_t phase = 0; phase < kPhases.size(); ++phase) {
      const std::string suffix = "." + name + "." + kPhases[phase].name;
      figures.push_back({.name = "least_share_served" + suffix,
                         .baseline = MinServedShare(baseline, phase, load),
                         .ours = MinServedShare(ours, phase, load),
                         .unit = "fraction of share",
                         .higher_is_better = true});
      figures.push_back({.name = "least_entitlement_served" + suffix,
                         .baseline = MinServedEntitlement(baseline, phase),
                         .ours = MinServedEntitlement(ours, phase),
                         .unit = "fraction of entitlement",
                         .higher_is_better = true});
      figures.push_back({.name = "utilisation" + suffix,
                         .baseline = Utilisation(baseline, phase),
                         .ours = Utilisation(ours, phase),
                         .unit = "fraction of slots",
                         .higher_is_better = true});
    }
  }
  return figures;
}

}  // namespace

void RunFairness() { RunSeeds("fairness", RunSeed); }

}  // namespace savoryglade::bench
