#include "soak/play.h"

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <filesystem>
#include <thread>
#include <utility>

#include "net/sleep.h"

namespace savoryglade::soak {
namespace {

namespace asio = boost::asio;

constexpr Duration kTick = 5ms;
constexpr Duration kReadyTimeout = 30s;
constexpr Duration kLastCallsTimeout = 10s;
// Keep the other faults of a seed as they were before plays had crashing requests and limits.
constexpr std::uint64_t kCrashSeedOffset = 1'000'000;
constexpr std::uint64_t kLimitSeedOffset = 2'000'000;
constexpr std::uint64_t kPartitionSeedOffset = 3'000'000;
constexpr std::uint64_t kRouteSeedOffset = 4'000'000;
constexpr std::uint64_t kGiveUpSeedOffset = 5'000'000;
constexpr std::uint64_t kWishSeedOffset = 6'000'000;
constexpr std::uint64_t kSilenceSeedOffset = 7'000'000;
constexpr std::uint64_t kHabitSeedOffset = 8'000'000;
constexpr std::uint64_t kBrittleSeedOffset = 9'000'000;
// Rate of a daemon's link to the store. The added routes take 3 s on it.
constexpr double kStoreLinkBytesPerSecond = 200'000;
constexpr const char* kApiKey = "drivers-key";
constexpr const char* kLimitedKey = "visitors-key";

// Returns the route document with this many added routes.
std::string RouteDocumentText(int version, int added) {
  std::string text = fmt::format(R"({{"version":{},"routes":[)", version);
  text += R"(
{"name":"reads","host":"h","prefix":"/reads/","route_kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2},
{"name":"orders","host":"h","prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":3000,"service":"s","max_attempts":1},
{"name":"chats","host":"h","prefix":"/chats/","route_kind":"streaming","timeout_ms":10000,"itl_target_ms":500,"service":"s","max_attempts":3,"resumable":true},
{"name":"once","host":"h","prefix":"/once/","route_kind":"streaming","timeout_ms":10000,"itl_target_ms":500,"service":"s","max_attempts":1})";
  for (int i = 0; i < added; ++i) {
    text += fmt::format(R"(,
{{"name":"added-{0}","host":"h","prefix":"/added-{0}/","route_kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2}})",
                        i);
  }
  return text + R"(],
"services":[{"name":"s","engine":{"slots":16,"moves":true}}],
"tenants":[{"name":"drivers","api_keys":["drivers-key"]},
{"name":"visitors","api_keys":["visitors-key"],"rate_per_s":15,"burst":10}]})";
}

// Returns a loopback address that no other soak on this machine uses at the same time.
std::string DaemonAddress(std::size_t daemon) {
  constexpr int kNumbers = 250;
  const int pid = ::getpid();
  return fmt::format("127.{}.{}.{}", 1 + pid / kNumbers % kNumbers, pid % kNumbers, daemon + 1);
}

asio::awaitable<void> AcceptDuty(HttpExchange& exchange) { co_await exchange.Respond(200, {}, {}); }

std::string DomainName(std::size_t domain) { return fmt::format("domain-{}", domain + 1); }

}  // namespace

Play::Play(PlayOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      crash_random_(options_.seed + kCrashSeedOffset),
      limit_random_(options_.seed + kLimitSeedOffset),
      partition_random_(options_.seed + kPartitionSeedOffset),
      route_random_(options_.seed + kRouteSeedOffset),
      give_up_random_(options_.seed + kGiveUpSeedOffset),
      wish_random_(options_.seed + kWishSeedOffset),
      silence_random_(options_.seed + kSilenceSeedOffset),
      habit_random_(options_.seed + kHabitSeedOffset),
      brittle_random_(options_.seed + kBrittleSeedOffset),
      grace_(random_.Bernoulli(0.7) ? 8s : 5s),
      service_time_(random_.Bernoulli(0.5) ? 60ms : 300ms),
      event_interval_(random_.Bernoulli(0.5) ? 10ms : 150ms),
      domain_count_(2 + random_.UniformInt(3)),
      store_server_(platform_pool_, HttpLimits{},
                    [this](HttpExchange& exchange) { return HandleStoreCall(exchange); }),
      duty_server_(platform_pool_, HttpLimits{},
                   [](HttpExchange& exchange) { return AcceptDuty(exchange); }) {
  DrawHabits();
  DrawSilences();
}

Play::~Play() {
  caller_pool_.Stop();
  // Their connections must not outlive the pool.
  callers_.clear();
  platform_pool_.Stop();
}

asio::awaitable<void> Play::HandleStoreCall(HttpExchange& exchange) {
  if (const Duration delay = store_delay_; delay > Duration::zero()) {
    co_await Sleep(delay);
  }
  co_await store_.Handle(exchange);
}

Duration Play::RandomDuration(Duration from, Duration to) {
  return from + FromSeconds(ToSeconds(to - from) * random_.UniformReal());
}

TimePoint Play::RandomTime(Random& random, double from_share, double to_share) const {
  const double share = from_share + (to_share - from_share) * random.UniformReal();
  return begin_ + FromSeconds(ToSeconds(options_.length) * share);
}

std::string Play::RandomDomain() { return DomainName(random_.UniformInt(domain_count_)); }

void Play::At(TimePoint time, std::function<void()> action) {
  actions_.emplace(time, std::move(action));
}

std::vector<Violation> Play::Run() {
  std::filesystem::create_directories(options_.directory);
  StartServices();
  StartDaemons();
  if (!RunUntil(Now() + kReadyTimeout, [this] { return balancer_->AllReady(); })) {
    history_.AddViolation("READY", "The daemons were not ready in time.");
    return CheckPromises(history_, Bounds());
  }
  begin_ = Now();
  StartCallers();
  PlanStops();
  PlanUpstreamChanges();
  // Plays without unplanned faults excuse nothing.
  if (random_.Bernoulli(0.5)) {
    PlanUnplannedFaults();
  }
  if (random_.Bernoulli(0.5)) {
    PlanStoreFaults();
  }
  if (crash_random_.Bernoulli(0.6)) {
    StartCrashingCallers();
    PlanHerdKills();
  }
  if (limit_random_.Bernoulli(0.6)) {
    PlanRateLimits();
    PlanWishes();
  }
  if (partition_random_.Bernoulli(0.5)) {
    PlanPartitions();
  }
  if (route_random_.Bernoulli(0.5)) {
    PlanRouteGrowth();
  }
  if (brittle_random_.Bernoulli(0.3)) {
    PlanBrittleTime();
  }
  RunUntil(begin_ + options_.length, [] { return false; });
  // All daemons stop while the callers go on for a while.
  ending_ = true;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    At(Now() + RandomDuration(0s, 1s), [this, i] { Stop(i); });
  }
  At(Now() + 3s, [this] { callers_stop_ = true; });
  const bool ended = RunUntil(Now() + grace_ + kLastCallsTimeout, [this] {
    return callers_stop_ && active_callers_ == 0 &&
           std::ranges::none_of(
               daemons_, [](const DaemonState& daemon) { return daemon.process->running(); });
  });
  if (!ended) {
    history_.AddViolation("END", "Calls or daemons were still there at the end.");
  }
  caller_pool_.Stop();
  for (const auto& upstream : upstreams_) {
    upstream->Break();
  }
  return CheckPromises(history_, Bounds());
}

PromiseBounds Play::Bounds() const {
  return {.grace = grace_,
          .upstream_drain = kUpstreamDrain,
          .retry_window = DaemonProcess::kRetryWindow,
          .retry_ratio = DaemonProcess::kRetryRatio,
          .retry_allowance = largest_retry_allowance_};
}

void Play::WriteSettings(std::size_t daemon, int revision) {
  const DaemonProcess& process = *daemons_[daemon].process;
  process.WriteSettings(revision);
  largest_retry_allowance_ = std::max(largest_retry_allowance_, process.RetryAllowance(revision));
}

void Play::StartServices() {
  store_.Put("op", "config", RouteDocumentText(1, 0));
  const std::size_t count = 2 * domain_count_ + random_.UniformInt(4);
  for (std::size_t i = 0; i < count; ++i) {
    AddUpstream("v1", DomainName(i % domain_count_));
  }
}

void Play::StartDaemons() {
  const Endpoint any{.address = "127.0.0.1", .port = 0};
  const Endpoint store = *store_server_.Listen(any);
  const Endpoint duties = *duty_server_.Listen(any);
  const std::size_t count = 4 + random_.UniformInt(5);
  std::vector<LoadBalancer::Daemon> targets;
  for (std::size_t i = 0; i < count; ++i) {
    store_links_.push_back(std::make_unique<EmulatedLink>(store, kStoreLinkBytesPerSecond));
    auto process = std::make_unique<DaemonProcess>(
        DaemonOptions{.program = options_.daemon_program,
                      .name = fmt::format("daemon-{}", i),
                      .failure_domain = DomainName(i % domain_count_),
                      .address = DaemonAddress(i),
                      .store = store_links_.back()->endpoint(),
                      .duties = duties,
                      .grace = grace_,
                      .upstream_drain = kUpstreamDrain,
                      .retry_allowance = retry_allowance_,
                      .directory = options_.directory});
    targets.push_back({.callers = process->callers(),
                       .readiness = process->readiness(),
                       .failure_domain = process->failure_domain()});
    daemons_.push_back({.process = std::move(process)});
    WriteSettings(i, 0);
    StartDaemon(i);
  }
  balancer_ = std::make_unique<LoadBalancer>(std::move(targets));
  for (std::size_t i = 0; i < count; ++i) {
    asio::co_spawn(caller_pool_.context(0), balancer_->Poll(i), asio::detached);
  }
}

void Play::StartCallers() {
  // Busy callers learn of a stop by their next answer. Quiet ones still use their connections when
  // the daemon is about to exit.
  const std::size_t busy = daemons_.size() * (1 + random_.UniformInt(6));
  const std::size_t count = busy + daemons_.size() * (5 + random_.UniformInt(20));
  const Duration busy_pause = RandomDuration(50ms, 600ms);
  const double break_share = random_.Bernoulli(0.5) ? 0.4 : 0;
  const double give_up_share = give_up_random_.Bernoulli(0.7) ? 0.4 : 0;
  if (give_up_share > 0 && give_up_random_.Bernoulli(0.5)) {
    PlanFreezesWhileCallersLeave();
  }
  for (std::size_t i = 0; i < count; ++i) {
    callers_.push_back(std::make_unique<Caller>(
        CallerOptions{.name = fmt::format("caller-{}", i),
                      .failure_domain = DomainName(i % domain_count_),
                      .api_key = random_.Bernoulli(0.2) ? kLimitedKey : kApiKey,
                      .seed = random_.Next(),
                      .pause = i < busy ? busy_pause : RandomDuration(1s, 5s),
                      .break_share = break_share,
                      .give_up_share = give_up_share,
                      .routes_added = &routes_added_,
                      .calls_per_connection =
                          random_.Bernoulli(0.2) ? 1 : 5 + static_cast<int>(random_.UniformInt(20)),
                      .event_bytes = event_bytes_,
                      .sends_chunks = habit_random_.Bernoulli(habit_share_),
                      .reads_slowly = habit_random_.Bernoulli(habit_share_),
                      .sends_ahead = habit_random_.Bernoulli(habit_share_)},
        *balancer_, history_));
    asio::co_spawn(caller_pool_.context(0), callers_.back()->Run(callers_stop_, active_callers_),
                   asio::detached);
  }
}

void Play::StartCrashingCallers() {
  constexpr std::size_t kMaxCrashingRequests = 2;
  const std::size_t requests = 1 + crash_random_.UniformInt(kMaxCrashingRequests);
  for (std::size_t request = 0; request < requests; ++request) {
    const std::string path = fmt::format("/reads/{}-{}", Upstream::kCrashingName, request);
    const bool has_query = crash_random_.Bernoulli(0.6);
    const double leave_share = crash_random_.Bernoulli(0.5) ? 0.5 : 0;
    // The request comes again from several places.
    for (std::size_t i = 0; i < domain_count_; ++i) {
      callers_.push_back(std::make_unique<Caller>(
          CallerOptions{.name = fmt::format("crashing-caller-{}-{}", request, i),
                        .failure_domain = DomainName(i),
                        .api_key = kApiKey,
                        .seed = crash_random_.Next(),
                        .pause = 600ms,
                        .crashing_path = path,
                        .varies_query = has_query,
                        .leave_share = leave_share},
          *balancer_, history_));
      asio::co_spawn(caller_pool_.context(0), callers_.back()->Run(callers_stop_, active_callers_),
                     asio::detached);
    }
  }
}

void Play::ReplaceCrashedUpstreams() {
  std::vector<std::string> crashed;
  {
    const std::lock_guard lock(crashed_mutex_);
    crashed.swap(crashed_upstreams_);
  }
  for (const std::string& id : crashed) {
    if (serving_.contains(id)) {
      CrashUpstream(id);
    }
  }
}

void Play::CrashUpstream(const std::string& id) {
  const UpstreamOptions options = serving_.at(id)->options();
  RemoveUpstream(id, false);
  At(Now() + 2s, [this, options] { AddUpstream(options.version, options.failure_domain); });
}

void Play::PlanRouteGrowth() {
  static constexpr int kAddedRoutes = 3000;
  // Time in which a change of the routes must be in force.
  constexpr Duration kApplyTime = 5s;
  const TimePoint at = RandomTime(route_random_, 0.05, 0.4);
  At(at, [this] {
    store_.Put("op", "config", RouteDocumentText(2, kAddedRoutes));
    history_.AddEvent(EventKind::kOther, {}, fmt::format("{} routes are added", kAddedRoutes));
  });
  At(at + kApplyTime, [this] { routes_added_ = true; });
}

bool Play::RunUntil(TimePoint end, const std::function<bool()>& condition) {
  while (Now() < end) {
    while (!actions_.empty() && actions_.begin()->first <= Now()) {
      const auto action = actions_.extract(actions_.begin());
      action.mapped()();
    }
    ReplaceCrashedUpstreams();
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      DaemonState& daemon = daemons_[i];
      if (const std::optional<int> status = daemon.process->Poll()) {
        OnExit(i, *status);
      } else if (daemon.stop_ordered && !daemon.killed && Now() > *daemon.stop_ordered + grace_) {
        if (!daemon.froze_while_stopping) {
          history_.AddViolation("DRAIN", "The process did not exit within the grace period.", i);
        }
        Disturb(i, EventKind::kKill, SIGKILL);
      }
    }
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kTick);
  }
  return condition();
}

void Play::StartDaemon(std::size_t daemon) {
  if (ending_ || daemons_[daemon].process->running()) {
    return;
  }
  daemons_[daemon].process->Start();
  history_.AddEvent(EventKind::kStart, daemon, "daemon started");
}

void Play::Stop(std::size_t daemon) {
  DaemonState& state = daemons_[daemon];
  if (state.stop_ordered || state.killed || !state.process->running()) {
    return;
  }
  if (!state.process->IsListening()) {
    At(Now() + 20ms, [this, daemon] { Stop(daemon); });
    return;
  }
  state.stop_ordered = Now();
  state.froze_while_stopping = state.frozen;
  history_.AddEvent(EventKind::kTerm, daemon, "SIGTERM");
  state.process->Signal(SIGTERM);
}

void Play::Disturb(std::size_t daemon, EventKind kind, int signal) {
  DaemonState& state = daemons_[daemon];
  if (!state.process->running() || state.killed) {
    return;
  }
  state.killed = kind == EventKind::kKill;
  state.frozen = kind == EventKind::kFreeze;
  state.froze_while_stopping |= state.frozen;
  history_.AddEvent(kind, daemon,
                    kind == EventKind::kKill     ? "SIGKILL"
                    : kind == EventKind::kFreeze ? "SIGSTOP"
                                                 : "SIGCONT");
  state.process->Signal(signal);
}

void Play::OnExit(std::size_t daemon, int status) {
  DaemonState& state = daemons_[daemon];
  const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  history_.AddEvent(EventKind::kExit, daemon, fmt::format("exited with wait status {}", status));
  if (!state.killed && !(clean && state.stop_ordered)) {
    history_.AddViolation("EXIT",
                          fmt::format("The process ended with wait status {}{}.", status,
                                      state.stop_ordered ? " after SIGTERM" : " by itself"),
                          daemon);
  }
  state.killed = false;
  state.frozen = false;
  state.froze_while_stopping = false;
  state.stop_ordered.reset();
  At(Now() + RandomDuration(50ms, 1s), [this, daemon] { StartDaemon(daemon); });
}

void Play::AddUpstream(const std::string& version, const std::string& failure_domain) {
  const std::string id = fmt::format("upstream-{}", upstreams_.size());
  upstreams_.push_back(
      std::make_unique<Upstream>(UpstreamOptions{.id = id,
                                                 .version = version,
                                                 .failure_domain = failure_domain,
                                                 .max_service_time = service_time_,
                                                 .event_interval = event_interval_,
                                                 .event_bytes = event_bytes_,
                                                 .silent_share = silent_share_,
                                                 .rejects_resumed = rejects_resumed_,
                                                 .seed = options_.seed,
                                                 .on_crash =
                                                     [this, id] {
                                                       const std::lock_guard lock(crashed_mutex_);
                                                       crashed_upstreams_.push_back(id);
                                                     }},
                                 history_));
  serving_[id] = upstreams_.back().get();
  upstreams_.back()->SetPartitioned(partitioned_, false);
  if (brittle_ > 0) {
    upstreams_.back()->SetBrittle(brittle_);
  }
  CountServing(version, 1);
  store_.Put("servers", id, upstreams_.back()->Registration(false));
  history_.AddEvent(EventKind::kOther, {}, fmt::format("{} ({}) joins", id, version));
}

void Play::CountServing(const std::string& version, int change) {
  if (!rejects_resumed_) {
    history_.AddServing(version, change);
  }
}

void Play::RemoveUpstream(const std::string& id, bool planned) {
  Upstream* const upstream = serving_.at(id);
  serving_.erase(id);
  CountServing(upstream->options().version, -1);
  history_.AddEvent(EventKind::kOther, {}, id + (planned ? " begins to leave" : " crashes"));
  if (!planned) {
    upstream->Break();
    At(Now() + RandomDuration(0s, 2s), [this, id] { store_.Remove("servers", id); });
    return;
  }
  store_.Put("servers", id, upstream->Registration(true));
  // It goes once it has answered what it had.
  const auto leave = std::make_shared<std::function<void()>>();
  *leave = [this, upstream, id, leave] {
    if (upstream->running() > 0) {
      At(Now() + 100ms, *leave);
      return;
    }
    history_.AddEvent(EventKind::kOther, {}, id + " is gone");
    store_.Remove("servers", id);
    upstream->Break();
  };
  At(Now() + kUpstreamDrain + RandomDuration(300ms, 2s), *leave);
}

std::optional<std::string> Play::PickUpstream(Random& random, std::size_t spare) {
  if (serving_.size() <= spare) {
    return std::nullopt;
  }
  const auto chosen =
      std::next(serving_.begin(), static_cast<std::ptrdiff_t>(random.UniformInt(serving_.size())));
  return chosen->first;
}

std::string Play::Summary() const {
  std::map<EventKind, int> events;
  for (const PlayEvent& event : history_.events()) {
    ++events[event.kind];
  }
  int succeeded = 0;
  int refused = 0;
  int closed = 0;
  int resumed = 0;
  int crashing = 0;
  int crashed = 0;
  int silent = 0;
  int in_chunks = 0;
  int begun_ahead = 0;
  for (const AttemptRecord& attempt : history_.attempts()) {
    succeeded += attempt.complete && attempt.status >= 200 && attempt.status < 300 ? 1 : 0;
    refused += attempt.status == 429 || attempt.status == 503 ? 1 : 0;
    closed += attempt.sent && !attempt.complete ? 1 : 0;
    resumed += attempt.events_before > 0 ? 1 : 0;
    in_chunks += attempt.in_chunks ? 1 : 0;
    begun_ahead += attempt.begun_ahead ? 1 : 0;
    silent += static_cast<int>(
        std::ranges::count_if(history_.RunsOf(attempt.id),
                              [](const RunRecord& run) { return run.silence > Duration::zero(); }));
    if (!attempt.crashing_path.empty()) {
      ++crashing;
      crashed += static_cast<int>(history_.RunsOf(attempt.id).size());
    }
  }
  return fmt::format(
      "{} daemons in {} domains, grace {} s; {} stops, {} kills, {} freezes; {} requests, {} "
      "answered, {} refused, {} closed, {} resumptions; {} crashing requests, {} runs; {} silent "
      "runs{}; {} requests in chunks, {} begun ahead{}",
      daemons_.size(), domain_count_, ToSeconds(grace_), events[EventKind::kTerm],
      events[EventKind::kKill], events[EventKind::kFreeze], history_.attempts().size(), succeeded,
      refused, closed, resumed, crashing, crashed, silent,
      rejects_resumed_ ? ", resumed requests are rejected" : "", in_chunks, begun_ahead,
      history_.brittle_times().empty()
          ? ""
          : fmt::format("; {} falls of brittle upstreams", history_.falls().size()));
}

}  // namespace savoryglade::soak
