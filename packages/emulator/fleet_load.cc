#include "emulator/fleet_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/event_queue.h"
#include "core/random.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade {
namespace {

const ServiceId kService("model");

// Prompt tokens that an engine reads in one step.
constexpr double kChunkTokens = 2048;
// Tokens in an event, and tokens of shared prompts that an engine keeps.
constexpr int kEventTokens = 15;
constexpr double kCacheTokens = 300'000;
// Length of a time in which an engine is slow or not.
constexpr Duration kSlowPeriod = 600ms;

constexpr Duration kNetworkDelay = 1ms;
constexpr Duration kMinReportInterval = 150ms;
constexpr Duration kReportIntervalPerPeer = 12ms;
constexpr int kMaxFullMesh = 16;
constexpr Duration kTick = 20ms;
constexpr int kMaxSends = 3;
// A caller waits for at most this fraction of its remaining time before it returns.
constexpr double kMaxReturnFraction = 1.0 / 3;
constexpr Duration kSampleInterval = 500ms;

// One attempt of a caller.
struct Attempt {
  std::size_t load_class = 0;
  int retries = 0;
  std::size_t failure_domain = 0;
  std::size_t daemon = 0;
  TimePoint first_sent{};
  TimePoint received{};
  WorkEstimate work;
  std::uint64_t spread = 0;
  int sends = 0;
  std::vector<UpstreamId> tried;
  // Set while the attempt is at an engine.
  std::size_t engine = 0;
  TimePoint sent_at{};
  double uncached_tokens = 0;
  double tokens_ahead = 0;
  Duration expected{};
  std::optional<TimePoint> first_event_at;
  bool ended = false;
};

using AttemptPtr = std::shared_ptr<Attempt>;

// An engine that reads prompts in chunks between the steps of the running requests.
struct Engine {
  UpstreamRecord record;
  bool present = true;
  bool stepping = false;
  double slowness = 1;
  struct Run {
    AttemptPtr attempt;
    double prompt_left = 0;
    int tokens = 0;
  };
  std::list<Run> running;
  std::deque<AttemptPtr> queue;
  // Shared prompts that are kept, the most recently used first.
  std::list<std::pair<std::uint64_t, double>> cache;
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator> cached;
  double cache_tokens = 0;
};

struct Daemon {
  std::size_t failure_domain = 0;
  DaemonId id;
  std::unique_ptr<FleetLoadBalancer> balancer;
  std::unique_ptr<AdmissionQueue> admission;
  std::unordered_map<Ticket, AttemptPtr> waiting;
};

class FleetLoad {
 public:
  FleetLoad(const LoadPattern& pattern, const LoadPolicy& policy, std::uint64_t seed)
      : pattern_(pattern), policy_(policy), random_(seed), engine_random_(seed + 1) {
    for (int i = 0; i < pattern.engines; ++i) {
      Engine engine;
      engine.record = {.id = UpstreamId(fmt::format("engine-{:03}", i)),
                       .service = kService,
                       .address = "127.0.0.1:80",
                       .failure_domain = DomainId(i % pattern.failure_domains),
                       .slots = pattern.slots,
                       .started_ms = 1};
      engines_.push_back(std::move(engine));
    }
    report_interval_ = std::max(kMinReportInterval, kReportIntervalPerPeer * GroupSize());
    for (int i = 0; i < pattern.daemons; ++i) {
      Daemon daemon;
      daemon.failure_domain = static_cast<std::size_t>(i % pattern.failure_domains);
      daemon.id = DaemonId(fmt::format("daemon-{:03}", i));
      daemon.balancer = std::make_unique<FleetLoadBalancer>(FleetLoadBalancerOptions{
          .local_domain = DomainId(static_cast<int>(daemon.failure_domain)),
          .report_lifetime = std::max(Duration(1s), 4 * report_interval_),
          .random_candidates = policy.candidates,
          .seed = seed + static_cast<std::uint64_t>(i)});
      daemon.admission =
          std::make_unique<AdmissionQueue>(policy.admission.value_or(AdmissionOptions{}));
      for (const Engine& engine : engines_) {
        daemon.balancer->Update(engine.record);
      }
      daemons_.push_back(std::move(daemon));
    }
    outcome_.failure_domains.resize(static_cast<std::size_t>(pattern.failure_domains));
    outcome_.seconds.resize(static_cast<std::size_t>(ToSeconds(pattern.length)) + 1);
  }

  LoadOutcome Play() {
    for (std::size_t i = 0; i < pattern_.classes.size(); ++i) {
      ScheduleArrival(i);
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      events_.After(FromSeconds(random_.UniformReal() * ToSeconds(report_interval_)),
                    [this, i] { Report(i); });
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      events_.After(FromSeconds(random_.UniformReal() * ToSeconds(kSlowPeriod)),
                    [this, i] { ChangeSpeed(i); });
    }
    for (const EngineOutage& outage : pattern_.outages) {
      events_.At(Start() + outage.from, [this, outage] { SetPresent(outage, false); });
      events_.At(Start() + outage.to, [this, outage] { SetPresent(outage, true); });
    }
    Tick();
    Sample();
    Duration longest = Duration::zero();
    for (const LoadClass& load_class : pattern_.classes) {
      longest = std::max(longest, load_class.deadline);
    }
    events_.RunUntil(Start() + pattern_.length + longest);
    outcome_.imbalance = samples_ == 0 ? 0 : imbalance_sum_ / samples_;
    std::ranges::sort(errors_);
    if (!errors_.empty()) {
      outcome_.prediction_error_p50 = errors_[errors_.size() / 2];
      outcome_.prediction_error_p90 = errors_[errors_.size() * 9 / 10];
    }
    return std::move(outcome_);
  }

 private:
  static TimePoint Start() { return TimePoint(100s); }
  static FailureDomainId DomainId(int domain) {
    return FailureDomainId(fmt::format("domain-{}", domain));
  }
  int GroupSize() const {
    return pattern_.daemons <= kMaxFullMesh
               ? pattern_.daemons
               : (pattern_.daemons + pattern_.failure_domains - 1) / pattern_.failure_domains;
  }
  bool grouped() const { return pattern_.daemons > kMaxFullMesh; }

  const LoadPhase& PhaseAt(TimePoint now) const {
    const LoadPhase* current = &pattern_.phases.front();
    for (const LoadPhase& phase : pattern_.phases) {
      if (Start() + phase.from <= now) {
        current = &phase;
      }
    }
    return *current;
  }

  void ScheduleArrival(std::size_t index) {
    const TimePoint now = std::max(events_.now(), Start());
    const double rate = pattern_.classes[index].per_s * PhaseAt(now).factor;
    events_.At(now + FromSeconds(random_.Exponential(1 / rate)), [this, index] {
      if (events_.now() >= Start() + pattern_.length) {
        return;
      }
      Arrive(index);
      ScheduleArrival(index);
    });
  }

  void Arrive(std::size_t index) {
    const LoadClass& load_class = pattern_.classes[index];
    auto attempt = std::make_shared<Attempt>();
    attempt->load_class = index;
    attempt->first_sent = events_.now();
    const auto domains = static_cast<std::uint64_t>(pattern_.failure_domains);
    attempt->failure_domain =
        random_.Bernoulli(PhaseAt(events_.now()).shift) ? 0 : random_.UniformInt(domains);
    attempt->work = {
        .service = kService,
        .prompt_tokens = load_class.shared_tokens + load_class.own_tokens,
        .output_tokens = static_cast<double>(load_class.output_tokens),
        .parts = {{.id = index * 1'000'000 +
                         random_.UniformInt(static_cast<std::uint64_t>(load_class.shared_prompts)),
                   .tokens = load_class.shared_tokens},
                  {.id = 1'000'000'000 + next_session_++, .tokens = load_class.own_tokens}}};
    ClassOutcome& outcome = ClassOutcomeOf(*attempt);
    for (ClassOutcome* counted :
         {&outcome, &outcome_.failure_domains[attempt->failure_domain], &SecondOf(*attempt)}) {
      ++counted->requests;
      counted->owed += load_class.benefit;
    }
    SendToDaemon(attempt);
  }

  ClassOutcome& ClassOutcomeOf(const Attempt& attempt) {
    return outcome_.classes[pattern_.classes[attempt.load_class].name];
  }
  ClassOutcome& SecondOf(const Attempt& attempt) {
    return outcome_.seconds[static_cast<std::size_t>(ToSeconds(attempt.first_sent - Start()))];
  }
  TimePoint DeadlineOf(const Attempt& attempt) const {
    return attempt.first_sent + pattern_.classes[attempt.load_class].deadline;
  }

  void SendToDaemon(const AttemptPtr& attempt) {
    ++outcome_.attempts;
    // The daemons of a failure domain have every n-th index.
    const auto domains = static_cast<std::size_t>(pattern_.failure_domains);
    const std::size_t members = (daemons_.size() - attempt->failure_domain + domains - 1) / domains;
    attempt->daemon = attempt->failure_domain + domains * random_.UniformInt(members);
    attempt->spread = random_.Next();
    attempt->received = events_.now() + kNetworkDelay;
    events_.At(attempt->received, [this, attempt] { Dispatch(attempt, false); });
  }

  ServiceLoad LoadOf(Daemon& daemon, bool has_place) {
    constexpr double kTokens = 1'000;
    const TimePoint now = events_.now();
    const Duration delay = daemon.balancer->PredictFirstEvent(kService, 0, now);
    const Duration with_tokens = daemon.balancer->PredictFirstEvent(kService, kTokens, now);
    const double token_s = ToSeconds(with_tokens - delay) / kTokens;
    const MeanLoad load = daemon.balancer->MeanLoadOf(kService);
    return {.delay = delay,
            .cost_s = token_s,
            .place_use = load.slot_use,
            .waiting_s = load.waiting_tokens * token_s,
            .has_place = has_place};
  }

  // Chooses an engine and sends the attempt, or holds it back.
  void Dispatch(const AttemptPtr& attempt, bool admitted) {
    Daemon& daemon = daemons_[attempt->daemon];
    const TimePoint now = events_.now();
    if (attempt->sends >= kMaxSends) {
      Refuse(attempt, 1s);
      return;
    }
    const std::optional<Placement> placement =
        daemon.balancer->Choose(attempt->work, attempt->tried, now);
    if (!policy_.admission) {
      if (!placement) {
        Refuse(attempt, 1s);
        return;
      }
    } else if (attempt->sends == 0 && (!admitted || !placement)) {
      const AdmissionRequest request = RequestOf(*attempt, placement);
      const ServiceLoad load = LoadOf(daemon, placement.has_value());
      const AdmissionDecision decision = daemon.admission->Offer(request, load, now);
      if (decision.verdict == AdmissionVerdict::kWait) {
        ++outcome_.waited;
        daemon.waiting.emplace(request.ticket, attempt);
        return;
      }
      if (decision.verdict == AdmissionVerdict::kRefuse) {
        Refuse(attempt, decision.retry_after);
        return;
      }
    } else if (!placement) {
      Refuse(attempt, 1s);
      return;
    }
    ++attempt->sends;
    attempt->engine = EngineIndex(placement->upstream.id);
    attempt->sent_at = now;
    attempt->uncached_tokens = placement->uncached_tokens;
    attempt->tokens_ahead = placement->tokens_ahead;
    attempt->expected = placement->expected;
    daemon.balancer->OnSent(placement->upstream.id, attempt->work, attempt->uncached_tokens, now);
    events_.After(kNetworkDelay, [this, attempt] { Submit(attempt); });
  }

  AdmissionRequest RequestOf(const Attempt& attempt, const std::optional<Placement>& placement) {
    const LoadClass& load_class = pattern_.classes[attempt.load_class];
    return {.ticket = next_ticket_++,
            .rank = load_class.rank,
            .cost = placement ? placement->uncached_tokens : attempt.work.prompt_tokens,
            .objective = load_class.objective,
            .arrived = attempt.received,
            .spread = attempt.spread};
  }

  static std::size_t EngineIndex(const UpstreamId& id) {
    return static_cast<std::size_t>(std::stoul(id.value().substr(7)));
  }

  void Refuse(const AttemptPtr& attempt, Duration retry_after) {
    ++outcome_.refusals;
    const double jitter = 0.75 + 0.5 * random_.UniformReal();
    const Duration pause = FromSeconds(ToSeconds(retry_after) * jitter);
    const Duration left = DeadlineOf(*attempt) - events_.now();
    if (attempt->retries >= 1 || ToSeconds(pause) > ToSeconds(left) * kMaxReturnFraction) {
      return;
    }
    auto again = std::make_shared<Attempt>(*attempt);
    again->retries = attempt->retries + 1;
    again->sends = 0;
    again->tried.clear();
    events_.After(pause, [this, again] { SendToDaemon(again); });
  }

  void Submit(const AttemptPtr& attempt) {
    Engine& engine = engines_[attempt->engine];
    const bool full = static_cast<int>(engine.running.size()) >= pattern_.slots &&
                      static_cast<int>(engine.queue.size()) >= pattern_.engine_queue;
    if (!engine.present || full) {
      const AttemptEnd end = engine.present ? AttemptEnd::kRefused : AttemptEnd::kUnreachable;
      events_.After(kNetworkDelay, [this, attempt, end] {
        daemons_[attempt->daemon].balancer->OnEnd(engines_[attempt->engine].record.id,
                                                  attempt->uncached_tokens, false, end,
                                                  events_.now());
        attempt->tried.push_back(engines_[attempt->engine].record.id);
        Dispatch(attempt, true);
      });
      return;
    }
    engine.queue.push_back(attempt);
    events_.At(DeadlineOf(*attempt), [this, attempt] { Leave(attempt); });
    StartStep(attempt->engine);
  }

  // Ends an attempt whose caller leaves.
  void Leave(const AttemptPtr& attempt) {
    if (!attempt->ended) {
      EndAttempt(attempt, AttemptEnd::kCancelled);
      Engine& engine = engines_[attempt->engine];
      std::erase(engine.queue, attempt);
      engine.running.remove_if([&](const Engine::Run& run) { return run.attempt == attempt; });
    }
  }

  void EndAttempt(const AttemptPtr& attempt, AttemptEnd end) {
    attempt->ended = true;
    daemons_[attempt->daemon].balancer->OnEnd(
        engines_[attempt->engine].record.id, attempt->uncached_tokens,
        attempt->first_event_at.has_value(), end, events_.now());
  }

  // Returns the tokens that the engine has to read, and keeps the shared part of the prompt.
  double UncachedTokens(Engine& engine, const WorkEstimate& work) const {
    const PromptPart& shared = work.parts.front();
    double uncached = work.parts.back().tokens;
    const auto found = engine.cached.find(shared.id);
    if (found != engine.cached.end()) {
      engine.cache.splice(engine.cache.begin(), engine.cache, found->second);
    } else {
      uncached += shared.tokens;
      engine.cache.emplace_front(shared.id, shared.tokens);
      engine.cached[shared.id] = engine.cache.begin();
      engine.cache_tokens += shared.tokens;
    }
    while (engine.cache_tokens > kCacheTokens) {
      engine.cache_tokens -= engine.cache.back().second;
      engine.cached.erase(engine.cache.back().first);
      engine.cache.pop_back();
    }
    return uncached;
  }

  void StartStep(std::size_t index) {
    Engine& engine = engines_[index];
    if (engine.stepping) {
      return;
    }
    while (!engine.queue.empty() && static_cast<int>(engine.running.size()) < pattern_.slots) {
      const AttemptPtr attempt = engine.queue.front();
      engine.queue.pop_front();
      const double uncached = UncachedTokens(engine, attempt->work);
      outcome_.read_tokens += uncached;
      engine.running.push_back({.attempt = attempt, .prompt_left = uncached});
    }
    if (engine.running.empty()) {
      return;
    }
    double chunk = 0;
    for (Engine::Run& run : engine.running) {
      const double read = std::min(run.prompt_left, kChunkTokens - chunk);
      run.prompt_left -= read;
      chunk += read;
    }
    const double seconds =
        (kStepSeconds + kStepSecondsPerRequest * static_cast<double>(engine.running.size()) +
         chunk / kPromptTokensPerSecond) *
        engine.slowness;
    engine.stepping = true;
    events_.After(FromSeconds(seconds), [this, index] { EndStep(index); });
  }

  void EndStep(std::size_t index) {
    Engine& engine = engines_[index];
    engine.stepping = false;
    for (auto run = engine.running.begin(); run != engine.running.end();) {
      const AttemptPtr attempt = run->attempt;
      const int wanted = pattern_.classes[attempt->load_class].output_tokens;
      run->tokens += run->prompt_left <= 0 ? 1 : 0;
      if (!attempt->first_event_at && run->tokens >= std::min(kEventTokens, wanted)) {
        OnFirstEvent(attempt);
      }
      if (run->tokens >= wanted) {
        EndAttempt(attempt, AttemptEnd::kAnswered);
        Count(*attempt);
        run = engine.running.erase(run);
      } else {
        ++run;
      }
    }
    StartStep(index);
  }

  void OnFirstEvent(const AttemptPtr& attempt) {
    Daemon& daemon = daemons_[attempt->daemon];
    const TimePoint now = events_.now();
    const Duration taken = now - attempt->sent_at;
    errors_.push_back(std::abs(ToSeconds(taken - attempt->expected)) / ToSeconds(taken));
    const UpstreamId& id = engines_[attempt->engine].record.id;
    daemon.balancer->OnFirstByte(id, attempt->uncached_tokens, now);
    daemon.balancer->OnFirstEvent(
        kService, {.own_tokens = attempt->uncached_tokens, .tokens_ahead = attempt->tokens_ahead},
        taken, now);
    daemon.admission->OnServed(attempt->uncached_tokens, now);
    attempt->first_event_at = now;
  }

  void Count(const Attempt& attempt) {
    const LoadClass& load_class = pattern_.classes[attempt.load_class];
    const bool on_time = *attempt.first_event_at - attempt.first_sent <= load_class.objective;
    const double benefit = on_time ? load_class.benefit : load_class.late_benefit;
    for (ClassOutcome* counted :
         {&ClassOutcomeOf(attempt), &outcome_.failure_domains[attempt.failure_domain],
          &SecondOf(attempt)}) {
      ++(on_time ? counted->on_time : counted->late);
      counted->benefit += benefit;
    }
  }

  void Report(std::size_t index) {
    Daemon& sender = daemons_[index];
    const TimePoint now = events_.now();
    const ReportScope scope = ReportScope::kDaemon;
    Deliver(index, ReportSource::Daemon(sender.id), sender.balancer->AggregateLoad(scope, now),
            [&](const Daemon& receiver) {
              return !grouped() || receiver.failure_domain == sender.failure_domain;
            });
    if (grouped() && IsRepresentative(index)) {
      Deliver(index, ReportSource::Domain(DomainId(static_cast<int>(sender.failure_domain))),
              sender.balancer->AggregateLoad(ReportScope::kDomain, now),
              [&](const Daemon& receiver) {
                return receiver.failure_domain != sender.failure_domain &&
                       IsRepresentative(static_cast<std::size_t>(&receiver - daemons_.data()));
              });
      Deliver(
          index, ReportSource::Beyond(), sender.balancer->AggregateLoad(ReportScope::kBeyond, now),
          [&](const Daemon& receiver) { return receiver.failure_domain == sender.failure_domain; });
    }
    events_.After(report_interval_, [this, index] { Report(index); });
  }

  bool IsRepresentative(std::size_t index) const {
    return index < static_cast<std::size_t>(pattern_.failure_domains);
  }

  template <typename Predicate>
  void Deliver(std::size_t sender, const ReportSource& source,
               const std::vector<ReportedLoad>& loads, const Predicate& receives) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (i != sender && receives(daemons_[i])) {
        events_.After(kNetworkDelay, [this, i, source, loads] {
          daemons_[i].balancer->OnReport(source, loads, events_.now());
        });
      }
    }
  }

  void Tick() {
    const TimePoint now = events_.now();
    for (Daemon& daemon : daemons_) {
      for (const Ticket ticket : daemon.admission->Expire(now)) {
        const AttemptPtr attempt = daemon.waiting.extract(ticket).mapped();
        Refuse(attempt, daemon.admission->RefusalDelay(RequestOf(*attempt, std::nullopt),
                                                       LoadOf(daemon, true), now));
      }
      if (daemon.admission->waiting() == 0) {
        continue;
      }
      const bool has_place = daemon.balancer->HasPlace(
          {.service = kService, .prompt_tokens = 1, .output_tokens = 1}, now);
      for (const Ticket ticket : daemon.admission->Release(LoadOf(daemon, has_place), now)) {
        Dispatch(daemon.waiting.extract(ticket).mapped(), true);
      }
    }
    events_.After(kTick, [this] { Tick(); });
  }

  void ChangeSpeed(std::size_t index) {
    engines_[index].slowness = engine_random_.Bernoulli(kSlowFraction) ? kSlowFactor : 1;
    events_.After(kSlowPeriod, [this, index] { ChangeSpeed(index); });
  }

  void SetPresent(const EngineOutage& outage, bool present) {
    for (Engine& engine : engines_) {
      bool affected = false;
      for (int i = 1; i <= outage.failure_domains; ++i) {
        affected =
            affected || engine.record.failure_domain == DomainId(pattern_.failure_domains - i);
      }
      if (!affected) {
        continue;
      }
      engine.present = present;
      for (Daemon& daemon : daemons_) {
        if (present) {
          daemon.balancer->Update(engine.record);
        } else {
          UpstreamRecord leaving = engine.record;
          leaving.leaving = true;
          daemon.balancer->Update(leaving);
        }
      }
      if (!present) {
        engine.cache.clear();
        engine.cached.clear();
        engine.cache_tokens = 0;
      }
    }
  }

  void Sample() {
    double total = 0;
    double most = 0;
    int present = 0;
    for (const Engine& engine : engines_) {
      const auto requests = static_cast<double>(engine.running.size() + engine.queue.size());
      total += requests;
      most = std::max(most, requests);
      present += engine.present ? 1 : 0;
    }
    if (total > 0) {
      imbalance_sum_ += most / (total / present);
      ++samples_;
    }
    if (events_.now() < Start() + pattern_.length) {
      events_.At(std::max(events_.now(), Start()) + kSampleInterval, [this] { Sample(); });
    }
  }

  const LoadPattern& pattern_;
  LoadPolicy policy_;
  EventQueue events_;
  Random random_;
  Random engine_random_;
  Duration report_interval_{};
  std::vector<Engine> engines_;
  std::vector<Daemon> daemons_;
  std::vector<double> errors_;
  std::uint64_t next_session_ = 0;
  Ticket next_ticket_ = 1;
  double imbalance_sum_ = 0;
  int samples_ = 0;
  LoadOutcome outcome_;
};

}  // namespace

LoadOutcome PlayLoad(const LoadPattern& pattern, const LoadPolicy& policy, std::uint64_t seed) {
  return FleetLoad(pattern, policy, seed).Play();
}

}  // namespace savoryglade
