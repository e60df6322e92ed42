#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bench/scheduling/first_come_queue.h"
#include "bench/scheduling/report.h"
#include "core/event_queue.h"
#include "core/random.h"
#include "scheduling/scheduler.h"

// Simulates lookups of 0.1 to 0.3 s beside diagnoses of 5 to 15 s on 12 upstreams with 8 slots
// each. One request in ten is a diagnosis, or one in 51, so that each kind is half of the work.
// Costs are predicted from the size of the request only, and some requests have the size of the
// other kind.
namespace savoryglade::bench {
namespace {

constexpr std::size_t kSlots = 96;
constexpr double kLoadFraction = 0.85;
constexpr double kShortMeanCostSeconds = 0.2;
constexpr double kLongMeanCostSeconds = 10;
constexpr double kLongSizedShortFraction = 0.02;
constexpr double kShortSizedLongFraction = 0.005;
constexpr Duration kRequestTimeout = 120s;
constexpr TimePoint kMeasureFrom{60s};
constexpr TimePoint kLastArrival{660s};
constexpr TimePoint kSimulationEnd{900s};

const ServiceId kService("diagnosis");

struct Mix {
  double short_rate = 0;
  double long_rate = 0;
  bool two_accounts = false;
};

struct Waits {
  std::vector<double> short_wait;
  std::vector<double> long_latency;
  std::size_t requests = 0;
  std::size_t refused = 0;
};

class PoolSimulation {
 public:
  PoolSimulation(std::uint64_t seed, bool size_aware, const Mix& mix)
      : short_random_(seed), long_random_(seed + 1000), size_aware_(size_aware), mix_(mix) {}

  Waits Run() {
    ScheduleArrival(false);
    ScheduleArrival(true);
    ScheduleTick();
    events_.RunUntil(kSimulationEnd);
    return std::move(waits_);
  }

 private:
  struct SimulatedRequest {
    bool is_long = false;
    double cost = 0;
    TimePoint arrived;
  };

  void ScheduleArrival(bool is_long) {
    // Each kind has its own random source, so that the lookups are the same with and without
    // diagnoses.
    Random& random = is_long ? long_random_ : short_random_;
    const double rate = is_long ? mix_.long_rate : mix_.short_rate;
    if (rate <= 0) {
      return;
    }
    events_.After(FromSeconds(random.Exponential(1 / rate)), [this, is_long, &random] {
      if (events_.now() > kLastArrival) {
        return;
      }
      const double mean = is_long ? kLongMeanCostSeconds : kShortMeanCostSeconds;
      const SimulatedRequest simulated{.is_long = is_long,
                                       .cost = mean * (0.5 + random.UniformReal()),
                                       .arrived = events_.now()};
      const bool has_long_size =
          random.Bernoulli(is_long ? 1 - kLongSizedShortFraction : kShortSizedLongFraction);
      const QueuedRequest request{
          .ticket = next_ticket_++,
          .account = AccountId(mix_.two_accounts && is_long ? "workshop" : "counter"),
          .service = kService,
          .enqueued = events_.now(),
          .deadline = events_.now() + kRequestTimeout,
          .request_bytes = static_cast<std::size_t>(has_long_size ? 20000 : 700),
          .max_tokens = has_long_size ? 2000 : 100};
      const bool counted = simulated.arrived >= kMeasureFrom;
      waits_.requests += counted ? 1 : 0;
      const bool queued = size_aware_ ? scheduler_.Enqueue(request, events_.now()).has_value()
                                      : queue_.Enqueue(request);
      if (queued) {
        simulated_requests_.emplace(request.ticket, simulated);
        DispatchWaiting();
      } else if (counted) {
        ++waits_.refused;
      }
      ScheduleArrival(is_long);
    });
  }

  void DispatchWaiting() {
    const auto can_start = [this](const ServiceId&) { return busy_ < kSlots; };
    while (busy_ < kSlots) {
      const auto next = size_aware_ ? scheduler_.Dequeue(can_start, events_.now())
                                    : queue_.Dequeue(events_.now());
      if (!next) {
        return;
      }
      ++busy_;
      Start(next->ticket);
    }
    // Like the dispatcher, calls Dequeue until nothing can start, so that the scheduler learns the
    // number of slots.
    if (size_aware_) {
      scheduler_.Dequeue(can_start, events_.now());
    }
  }

  void Start(Ticket ticket) {
    const SimulatedRequest simulated = simulated_requests_.at(ticket);
    simulated_requests_.erase(ticket);
    if (simulated.arrived >= kMeasureFrom) {
      const double wait = ToSeconds(events_.now() - simulated.arrived);
      if (simulated.is_long) {
        waits_.long_latency.push_back(wait + simulated.cost);
      } else {
        waits_.short_wait.push_back(wait);
      }
    }
    events_.After(FromSeconds(simulated.cost), [this, ticket, cost = simulated.cost] {
      --busy_;
      if (size_aware_) {
        scheduler_.Finish(ticket, cost, events_.now());
      }
      DispatchWaiting();
    });
  }

  void ScheduleTick() {
    events_.After(10ms, [this] {
      waits_.refused += size_aware_ ? scheduler_.Expire(events_.now()).size() : 0;
      DispatchWaiting();
      ScheduleTick();
    });
  }

  EventQueue events_;
  Random short_random_;
  Random long_random_;
  bool size_aware_;
  Mix mix_;
  Scheduler scheduler_{SchedulerOptions{}};
  FirstComeQueue queue_;
  std::unordered_map<Ticket, SimulatedRequest> simulated_requests_;
  std::size_t busy_ = 0;
  Ticket next_ticket_ = 1;
  Waits waits_;
};

struct Case {
  std::string name;
  double long_requests = 0;
  bool two_accounts = false;
};

std::vector<Figure> RunSeed(std::uint64_t seed) {
  // Reference without long work: the same load, consisting of short work only.
  const Mix only_short{.short_rate = kLoadFraction * kSlots / kShortMeanCostSeconds};
  const double only_short_baseline =
      Quantile(PoolSimulation(seed, false, only_short).Run().short_wait, 0.99);
  const double only_short_ours =
      Quantile(PoolSimulation(seed, true, only_short).Run().short_wait, 0.99);
  std::vector<Figure> figures = {{.name = "short_p99_wait.only_short_at_same_load",
                                  .baseline = only_short_baseline,
                                  .ours = only_short_ours,
                                  .unit = "s"}};
  const std::array<Case, 3> cases = {
      Case{.name = ".one_account", .long_requests = 0.1},
      Case{.name = ".two_accounts", .long_requests = 0.1, .two_accounts = true},
      Case{.name = ".half_of_work_short", .long_requests = 1.0 / 51}};
  for (const auto& [suffix, long_requests, two_accounts] : cases) {
    const double rate =
        kLoadFraction * kSlots /
        (long_requests * kLongMeanCostSeconds + (1 - long_requests) * kShortMeanCostSeconds);
    const Mix mix{.short_rate = rate * (1 - long_requests),
                  .long_rate = rate * long_requests,
                  .two_accounts = two_accounts};
    // The same lookups without the diagnoses, which leaves many slots idle.
    const Mix long_removed{.short_rate = mix.short_rate, .two_accounts = two_accounts};
    figures.push_back(
        {.name = "short_p99_wait_long_removed" + suffix,
         .baseline = Quantile(PoolSimulation(seed, false, long_removed).Run().short_wait, 0.99),
         .ours = Quantile(PoolSimulation(seed, true, long_removed).Run().short_wait, 0.99),
         .unit = "s"});
    const Waits first_come = PoolSimulation(seed, false, mix).Run();
    const Waits ours = PoolSimulation(seed, true, mix).Run();
    const double short_first_come = Quantile(first_come.short_wait, 0.99);
    const double short_ours = Quantile(ours.short_wait, 0.99);
    const double long_first_come = Quantile(first_come.long_latency, 0.99);
    const double long_ours = Quantile(ours.long_latency, 0.99);
    figures.push_back({.name = "short_p99_wait" + suffix,
                       .baseline = short_first_come,
                       .ours = short_ours,
                       .unit = "s"});
    figures.push_back({.name = "short_p99_wait_over_only_short" + suffix,
                       .baseline = short_first_come / only_short_baseline,
                       .ours = short_ours / only_short_baseline,
                       .unit = "ratio"});
    figures.push_back({.name = "long_p99_latency" + suffix,
                       .baseline = long_first_come,
                       .ours = long_ours,
                       .unit = "s"});
    figures.push_back({.name = "long_p99_latency_over_first_come" + suffix,
                       .baseline = 1,
                       .ours = long_ours / long_first_come,
                       .unit = "ratio"});
    figures.push_back(
        {.name = "refused" + suffix,
         .baseline =
             static_cast<double>(first_come.refused) / static_cast<double>(first_come.requests),
         .ours = static_cast<double>(ours.refused) / static_cast<double>(ours.requests),
         .unit = "fraction of requests"});
  }
  return figures;
}

}  // namespace

void RunHeadOfLine() { RunSeeds("head-of-line", RunSeed); }

}  // namespace savoryglade::bench
