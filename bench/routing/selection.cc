#include <chrono>
#include <string>
#include <vector>

#include "bench/routing/measure_report.h"
#include "bench/routing/measures.h"
#include "core/random.h"
#include "routing/upstream_table.h"

namespace savoryglade {
namespace {

constexpr int kSeeds = 10;
constexpr int kUpstreams = 200;
constexpr int kCalls = 20000;
constexpr int kRunning = 1600;

// Returns the mean and the p99 time of Select in microseconds, for prompts with this number of
// blocks.
std::pair<double, double> TimeSelect(std::uint64_t seed, std::size_t blocks) {
  const ServiceId service("assistant");
  Configuration configuration;
  for (int i = 0; i < kUpstreams; ++i) {
    UpstreamConfig config;
    config.name = UpstreamId("upstream-" + std::to_string(i));
    config.service = service;
    config.concurrency = 64;
    configuration.upstreams.push_back(config);
  }
  UpstreamTable table(seed);
  TimePoint now{};
  table.Configure(configuration, now);
  Random random(seed);
  struct Running {
    UpstreamId upstream;
    AttemptId attempt;
    TimePoint dispatched;
  };
  std::vector<Running> running;
  std::vector<double> times;
  double sum = 0;
  AttemptId attempt = 0;
  const auto finish = [&](std::size_t index) {
    const Running ended = running[index];
    running[index] = running.back();
    running.pop_back();
    const Duration total = now - ended.dispatched;
    table.OnFirstToken(ended.upstream, total / 10, now, ended.attempt);
    table.OnFinish(
        ended.upstream,
        {.first_token = total / 10, .total = total, .tokens = 100, .attempt = ended.attempt}, now);
  };
  for (int call = 0; call < kCalls + kRunning; ++call) {
    now += 1ms;
    RouteRequest request{.service = service,
                         .predicted_cost = 0.5 + random.UniformReal(),
                         .attempt = ++attempt,
                         .prompt_cost = 0.1,
                         .repeatable = true};
    // Prompts belong to one of 1000 conversations; all blocks but the last are usually recorded.
    const std::uint64_t conversation = random.UniformInt(1000);
    for (std::size_t i = 0; i < blocks; ++i) {
      request.prefix_hashes.push_back((conversation << 32) + i +
                                      (i + 1 == blocks ? random.UniformInt(100) : 0));
    }
    const auto start = std::chrono::steady_clock::now();
    const auto chosen = table.Select(request, now);
    const double micros = ToSeconds(std::chrono::steady_clock::now() - start) * 1e6;
    if (call >= kRunning) {
      times.push_back(micros);
      sum += micros;
    }
    if (chosen) {
      running.push_back({*chosen, attempt, now});
    }
    if (running.size() > kRunning || !chosen) {
      finish(random.UniformInt(running.size()));
    }
  }
  return {sum / kCalls, Quantile(times, 0.99)};
}

}  // namespace

void MeasureSelection() {
  for (const std::size_t blocks : {0, 16, 64}) {
    std::vector<SeedResult> mean;
    std::vector<SeedResult> p99;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const auto [average, tail] = TimeSelect(seed, blocks);
      mean.push_back({seed, 0, average});
      p99.push_back({seed, 0, tail});
    }
    const std::string name = fmt::format("200 upstreams, {} prompt blocks", blocks);
    PrintCase("selection", name + ", mean (no baseline)", "us", mean);
    PrintCase("selection", name + ", p99 (no baseline)", "us", p99);
  }
}

}  // namespace savoryglade
