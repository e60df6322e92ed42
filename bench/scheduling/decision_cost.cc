#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/scheduling/report.h"
#include "core/random.h"
#include "scheduling/scheduler.h"

// Measures the wall-clock time of one request's scheduling calls (Enqueue, Dequeue, Finish) while a
// number of requests wait. "baseline" has 100 waiting requests, "ours" 4,000: the cost must hardly
// grow with the queue.
namespace savoryglade::bench {
namespace {

constexpr std::size_t kAccounts = 5;
constexpr int kRounds = 20000;

double MicrosecondsEach(std::uint64_t seed, std::size_t waiting) {
  Random random(seed);
  Scheduler scheduler(SchedulerOptions{.max_wait = 10h});
  std::vector<AccountId> accounts;
  for (std::size_t i = 0; i < kAccounts; ++i) {
    accounts.emplace_back("account-" + std::to_string(i));
  }
  const ServiceId service("assistant");
  const TimePoint start{};
  Ticket ticket = 0;
  const auto enqueue = [&](TimePoint now) {
    const int max_tokens = 1 << random.UniformInt(12);
    return scheduler
        .Enqueue({.ticket = ++ticket,
                  .account = accounts[random.UniformInt(kAccounts)],
                  .service = service,
                  .enqueued = now,
                  .deadline = now + 24h,
                  .request_bytes = random.UniformInt(10000),
                  .max_tokens = max_tokens},
                 now)
        .has_value();
  };
  const Scheduler::CanStart always = [](const ServiceId&) { return true; };
  while (scheduler.size() < waiting) {
    enqueue(start);
  }
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    const TimePoint now = start + i * 1ms;
    enqueue(now);
    if (const auto next = scheduler.Dequeue(always, now)) {
      scheduler.Finish(next->ticket, next->predicted_cost, now);
    }
  }
  return ToSeconds(std::chrono::steady_clock::now() - begin) * 1e6 / kRounds;
}

std::vector<Figure> RunSeed(std::uint64_t seed) {
  const double small = MicrosecondsEach(seed, 100);
  const double large = MicrosecondsEach(seed, 4000);
  return {{.name = "time_per_request", .baseline = small, .ours = large, .unit = "us"},
          {.name = "growth_from_100_to_4000_waiting",
           .baseline = 1,
           .ours = large / small,
           .unit = "ratio"}};
}

}  // namespace

void RunDecisionCost() { RunSeeds("decision-cost", RunSeed); }

}  // namespace savoryglade::bench
