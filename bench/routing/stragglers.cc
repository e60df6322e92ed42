#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/routing/measure_report.h"
#include "bench/routing/measures.h"
#include "bench/routing/slot_upstream.h"
#include "core/event_queue.h"
#include "core/random.h"
#include "routing/upstream_table.h"

namespace savoryglade {
namespace {

constexpr int kSeeds = 10;
constexpr Duration kReportLag = 5s;
constexpr Duration kReportInterval = 1s;
constexpr double kStragglerSlowdown = 10;
constexpr double kMeanSlowPeriodSeconds = 3;
// Work per token in seconds; tokens reach the daemon in reads of kTokensPerRead.
constexpr double kTokenWorkSeconds = 0.02;
constexpr int kTokensPerRead = 5;
const ServiceId kService("service");

enum class Policy { kRoundRobin, kLeastReported, kRouter };

// A kind of service and its load. Work is in seconds at full speed.
struct Workload {
  std::string name;
  int upstreams = 20;
  int slots = 8;
  int daemons = 4;
  double load = 0.6;
  double prompt_work = 0;
  double mean_work = 0.1;
  double work_spread = 0.8;
  double prediction_error = 0.3;
  double run_seconds = 60;
};

struct Outcome {
  double first_token_p99 = 0;
  double total_p99 = 0;
  double extra_work = 0;
};

double Normal(Random& random) {
  return std::sqrt(random.Exponential(2)) * std::cos(2 * M_PI * random.UniformReal());
}

// Returns a lognormally distributed number with the given mean and standard deviation of its
// logarithm.
double Lognormal(Random& random, double mean, double spread) {
  return mean * std::exp(spread * Normal(random) - spread * spread / 2);
}

// Simulates daemons, each with its own upstream table, in front of shared upstreams.
class Simulation {
 public:
  Simulation(const Workload& workload, Policy policy, bool stragglers, std::uint64_t seed)
      : workload_(workload),
        policy_(policy),
        arrivals_(seed),
        slow_periods_(seed ^ 0x5bd1e995U),
        choices_(seed + 1) {
    Configuration configuration;
    for (int i = 0; i < workload.upstreams; ++i) {
      UpstreamConfig config;
      config.name = UpstreamId("upstream-" + std::to_string(i));
      config.service = kService;
      config.concurrency = 2 * workload.slots;
      configuration.upstreams.push_back(config);
      numbers_[config.name] = i;
      names_.push_back(config.name);
      upstreams_.push_back(std::make_unique<SlotUpstream>(
          events_, workload.slots, [this](std::uint64_t attempt, std::size_t milestone) {
            OnMilestone(attempt, milestone);
          }));
    }
    reported_.resize(workload.upstreams);
    slow_.resize(workload.upstreams);
    for (int i = 0; i < workload.daemons; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(seed * 16 + i));
      daemons_.back()->table.Configure(configuration, events_.now());
    }
    if (stragglers) {
      for (int i = 0; i < workload.upstreams / 10; ++i) {
        StartSlowPeriod();
      }
    }
    events_.After(kReportInterval, [this] { Report(); });
    events_.After(FromSeconds(0), [this] { Arrive(); });
  }

  Outcome Run() {
    events_.RunUntil(TimePoint{} + FromSeconds(workload_.run_seconds * 2));
    double done = 0;
    for (const auto& upstream : upstreams_) {
      done += upstream->work_done();
    }
    return {.first_token_p99 = Quantile(first_tokens_, 0.99),
            .total_p99 = Quantile(totals_, 0.99),
            .extra_work = 100 * (done / useful_work_ - 1)};
  }

 private:
  struct Daemon {
    explicit Daemon(std::uint64_t seed) : table(seed) {}
    UpstreamTable table;
    std::deque<std::uint64_t> queue;
  };

  struct Request {
    Daemon* daemon = nullptr;
    TimePoint arrived;
    double prompt_work = 0;
    double work = 0;
    RouteRequest route;
    std::size_t milestones = 1;
    bool counted = false;
    bool answered = false;
    std::vector<std::uint64_t> attempts;
  };

  struct Attempt {
    std::uint64_t request = 0;
    int upstream = 0;
    TimePoint dispatched;
    Duration first_token{};
  };

  bool streams() const { return workload_.prompt_work > 0; }
  bool Arriving() const { return ToSeconds(events_.now() - TimePoint{}) < workload_.run_seconds; }

  void StartSlowPeriod() {
    int chosen = 0;
    do {
      chosen = static_cast<int>(slow_periods_.UniformInt(upstreams_.size()));
    } while (slow_[chosen]);
    slow_[chosen] = true;
    upstreams_[chosen]->SetSpeed(1 / kStragglerSlowdown);
    events_.After(FromSeconds(0.5 + slow_periods_.Exponential(kMeanSlowPeriodSeconds - 0.5)),
                  [this, chosen] {
                    slow_[chosen] = false;
                    upstreams_[chosen]->SetSpeed(1);
                    if (Arriving()) {
                      StartSlowPeriod();
                    }
                  });
  }

  void Report() {
    for (int i = 0; i < workload_.upstreams; ++i) {
      const LoadReport report{.running = upstreams_[i]->running(),
                              .waiting = upstreams_[i]->waiting(),
                              .age = kReportLag};
      events_.After(kReportLag, [this, i, report] {
        reported_[i] = report.running + report.waiting;
        for (const auto& daemon : daemons_) {
          daemon->table.OnLoadReport(names_[i], report, events_.now());
        }
      });
    }
    if (Arriving()) {
      events_.After(kReportInterval, [this] { Report(); });
    }
  }

  void Arrive() {
    if (!Arriving()) {
      return;
    }
    const std::uint64_t id = ++last_request_;
    Request request;
    request.daemon = daemons_[arrivals_.UniformInt(daemons_.size())].get();
    request.arrived = events_.now();
    request.prompt_work = streams() ? Lognormal(arrivals_, workload_.prompt_work, 0.7) : 0;
    request.work =
        request.prompt_work + Lognormal(arrivals_, workload_.mean_work, workload_.work_spread);
    // The first five seconds are not counted, because all tables start without data at the same
    // time.
    request.counted = events_.now() > TimePoint{} + 5s;
    useful_work_ += request.work;
    request.route.service = kService;
    request.route.prompt_cost = request.prompt_work;
    request.route.predicted_cost =
        request.prompt_work + (request.work - request.prompt_work) *
                                  std::exp(workload_.prediction_error * Normal(arrivals_));
    request.route.repeatable = true;
    const double rate = workload_.load * workload_.upstreams * workload_.slots /
                        (workload_.prompt_work + workload_.mean_work);
    const Duration gap = FromSeconds(arrivals_.Exponential(1 / rate));
    Daemon& daemon = *request.daemon;
    requests_.emplace(id, std::move(request));
    daemon.queue.push_back(id);
    DispatchQueued(daemon);
    events_.After(gap, [this] { Arrive(); });
  }

  void DispatchQueued(Daemon& daemon) {
    while (!daemon.queue.empty() && Dispatch(daemon.queue.front(), 0)) {
      daemon.queue.pop_front();
    }
  }

  int Choose(Request& request) {
    if (policy_ == Policy::kRoundRobin) {
      return next_round_robin_++ % workload_.upstreams;
    }
    if (policy_ == Policy::kLeastReported) {
      std::vector<int> least;
      for (int i = 0; i < workload_.upstreams; ++i) {
        if (!least.empty() && reported_[i] < reported_[least.front()]) {
          least.clear();
        }
        if (least.empty() || reported_[i] == reported_[least.front()]) {
          least.push_back(i);
        }
      }
      return least[choices_.UniformInt(least.size())];
    }
    const auto chosen = request.daemon->table.Select(request.route, events_.now());
    return chosen ? numbers_.at(*chosen) : -1;
  }

  bool Dispatch(std::uint64_t id, std::uint64_t hedge_of) {
    Request& request = requests_.at(id);
    const std::uint64_t attempt = ++last_attempt_;
    request.route.attempt = attempt;
    request.route.hedge_of = hedge_of;
    const int upstream = Choose(request);
    if (upstream < 0) {
      return false;
    }
    request.attempts.push_back(attempt);
    attempts_[attempt] = {.request = id, .upstream = upstream, .dispatched = events_.now()};
    std::vector<double> milestones;
    if (streams()) {
      for (double at = request.prompt_work; at < request.work;
           at += kTokensPerRead * kTokenWorkSeconds) {
        milestones.push_back(at);
      }
    }
    milestones.push_back(request.work);
    request.milestones = milestones.size();
    upstreams_[upstream]->Submit(attempt, std::move(milestones));
    if (policy_ == Policy::kRouter && hedge_of == 0) {
      CheckHedge(attempt);
    }
    return true;
  }

  void CheckHedge(std::uint64_t attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
      return;
    }
    const std::uint64_t id = found->second.request;
    UpstreamTable& table = requests_.at(id).daemon->table;
    const auto when = table.HedgeTime(attempt, events_.now());
    if (!when) {
      return;
    }
    if (*when > events_.now()) {
      events_.At(*when, [this, attempt] { CheckHedge(attempt); });
      return;
    }
    if (!Dispatch(id, attempt)) {
      events_.After(50ms, [this, attempt] { CheckHedge(attempt); });
    }
  }

  void OnMilestone(std::uint64_t id, std::size_t milestone) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      return;
    }
    Attempt& attempt = found->second;
    Request& request = requests_.at(attempt.request);
    const TimePoint now = events_.now();
    const bool last = milestone + 1 == request.milestones;
    if (!request.answered) {
      request.answered = true;
      if (request.counted) {
        first_tokens_.push_back(ToSeconds(now - request.arrived));
      }
      CancelOthers(request, id);
    }
    UpstreamTable& table = request.daemon->table;
    const int tokens = static_cast<int>((request.work - request.prompt_work) / kTokenWorkSeconds);
    if (streams() && milestone == 0) {
      attempt.first_token = now - attempt.dispatched;
      table.OnFirstToken(names_[attempt.upstream], attempt.first_token, now, id);
    } else if (!last) {
      table.OnProgress(id, kTokensPerRead * static_cast<int>(milestone), now);
    }
    if (!last) {
      return;
    }
    if (request.counted) {
      totals_.push_back(ToSeconds(now - request.arrived));
    }
    Finish(id, AttemptResult::kCompleted, streams() ? tokens : 0);
    Daemon& daemon = *request.daemon;
    requests_.erase(attempt.request);
    attempts_.erase(id);
    DispatchQueued(daemon);
  }

  void CancelOthers(Request& request, std::uint64_t winner) {
    for (const std::uint64_t other : request.attempts) {
      if (other != winner) {
        upstreams_[attempts_.at(other).upstream]->Cancel(other);
        Finish(other, AttemptResult::kCancelled, 0);
        attempts_.erase(other);
      }
    }
  }

  void Finish(std::uint64_t id, AttemptResult result, int tokens) {
    const Attempt& attempt = attempts_.at(id);
    const TimePoint now = events_.now();
    requests_.at(attempt.request)
        .daemon->table.OnFinish(names_[attempt.upstream],
                                {.result = result,
                                 .first_token = attempt.first_token,
                                 .total = now - attempt.dispatched,
                                 .tokens = tokens,
                                 .attempt = id},
                                now);
  }

  Workload workload_;
  Policy policy_;
  EventQueue events_;
  Random arrivals_;
  Random slow_periods_;
  Random choices_;
  std::vector<std::unique_ptr<SlotUpstream>> upstreams_;
  std::vector<UpstreamId> names_;
  std::unordered_map<UpstreamId, int> numbers_;
  std::vector<int> reported_;
  std::vector<bool> slow_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_attempt_ = 0;
  int next_round_robin_ = 0;
  double useful_work_ = 0;
  std::vector<double> first_tokens_;
  std::vector<double> totals_;
};

void MeasureWorkload(const Workload& workload) {
  constexpr std::array kBaselines = {Policy::kRoundRobin, Policy::kLeastReported};
  constexpr std::array kNames = {"round robin", "least reported load"};
  std::array<std::vector<SeedResult>, 2> first;
  std::array<std::vector<SeedResult>, 2> total;
  std::array<std::vector<SeedResult>, 2> extra;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome no_stragglers = Simulation(workload, Policy::kRouter, false, seed).Run();
    const Outcome ours = Simulation(workload, Policy::kRouter, true, seed).Run();
    for (std::size_t i = 0; i < kBaselines.size(); ++i) {
      const Outcome baseline = Simulation(workload, kBaselines.at(i), true, seed).Run();
      first.at(i).push_back({seed, baseline.first_token_p99 / no_stragglers.first_token_p99,
                             ours.first_token_p99 / no_stragglers.first_token_p99});
      total.at(i).push_back({seed, baseline.total_p99 / no_stragglers.total_p99,
                             ours.total_p99 / no_stragglers.total_p99});
      extra.at(i).push_back({seed, baseline.extra_work, ours.extra_work});
    }
  }
  for (std::size_t i = 0; i < kBaselines.size(); ++i) {
    const std::string suffix = std::string(" against ") + kNames.at(i);
    const std::string unit = "times the p99 without stragglers";
    if (workload.prompt_work > 0) {
      PrintCase("stragglers", workload.name + ", p99 of first token" + suffix, unit, first.at(i));
    }
    PrintCase("stragglers", workload.name + ", p99 of total" + suffix, unit, total.at(i));
    PrintCase("stragglers", workload.name + ", extra work" + suffix, "percent", extra.at(i));
  }
}

}  // namespace

void MeasureStragglers() {
  MeasureWorkload({.name = "plain service"});
  MeasureWorkload({.name = "model engine",
                   .upstreams = 40,
                   .slots = 16,
                   .prompt_work = 0.1,
                   .mean_work = 1,
                   .prediction_error = 0.6,
                   .run_seconds = 90});
}

}  // namespace savoryglade
