#include "daemon/daemon.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "config/account_keys.h"
#include "daemon/claim_service.h"
#include "daemon/model_handler.h"
#include "daemon/plain_handler.h"
#include "daemon/request_handler_context.h"
#include "daemon/request_identity.h"
#include "logging/logger.h"
#include "net/log_exception.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
constexpr std::size_t kMaxOperatorConnections = 100;
constexpr Duration kTickInterval = 10ms;
constexpr Duration kDrainPollInterval = 10ms;
constexpr std::string_view kChatCompletionsPath = "/v1/chat/completions";

const Logger kLog("daemon");

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return tl::make_unexpected(Error{.code = ErrorCode::kNotFound,
                                     .message = fmt::format("Can't read the file {}.", path)});
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string TrimRight(std::string text) {
  text.erase(text.find_last_not_of(" \t\r\n") + 1);
  return text;
}

// Returns the plain service with the longest path prefix that matches whole segments of the target,
// or null.
const ServiceConfig* FindPlainService(const Configuration& configuration, std::string_view target) {
  const ServiceConfig* found = nullptr;
  for (const ServiceConfig& service : configuration.services) {
    if (service.kind == ServiceKind::kPlain && HasPathPrefix(target, service.path_prefix) &&
        (found == nullptr || service.path_prefix.size() > found->path_prefix.size())) {
      found = &service;
    }
  }
  return found;
}

const ServiceConfig* FindModelService(const Configuration& configuration,
                                      const std::string& model) {
  const ServiceConfig* service = configuration.FindService(ServiceId(model));
  return service != nullptr && service->kind == ServiceKind::kModel ? service : nullptr;
}

HttpLimits MakeLimits(const CallerLimits& limits) {
  return {.header_size = static_cast<std::size_t>(limits.header_size),
          .body_size = static_cast<std::size_t>(limits.body_size),
          .connections = static_cast<std::size_t>(limits.connections),
          .read_timeout = limits.read_timeout,
          .write_timeout = limits.write_timeout};
}

// Returns the Unix time in milliseconds, so that a later start of a daemon has a higher
// incarnation.
std::uint64_t MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(now / 1ms);
}

DaemonDependencies FillDefaults(DaemonDependencies dependencies, std::uint64_t seed) {
  if (!dependencies.streams) {
    dependencies.streams = std::make_shared<InMemoryStreamDirectory>();
  }
  if (!dependencies.retries) {
    dependencies.retries = std::make_shared<BudgetedRetryStrategy>(seed);
  }
  return dependencies;
}

}  // namespace

Daemon::Daemon(Settings settings, DaemonDependencies dependencies)
    : settings_(std::move(settings)),
      request_metrics_(metrics_),
      dropped_lines_(metrics_),
      memory_(std::make_shared<MemoryBudget>(
          MemoryLimits::OfMachine(static_cast<std::size_t>(settings_.memory_mb) *
                                  kBytesPerMegabyte),
          metrics_)),
      dependencies_(FillDefaults(std::move(dependencies),
                                 std::hash<std::string>()(settings_.daemon.value()))),
      dispatcher_({.incarnation = MakeIncarnation()}, {.local_domain = settings_.failure_domain},
                  std::hash<std::string>()(settings_.daemon.value()), metrics_),
      crashes_(settings_.daemon, metrics_),
      stop_(dependencies_.stop_limits),
      pool_(static_cast<std::size_t>(settings_.worker_threads)),
      platform_(pool_.context(0), settings_, metrics_, configuration_),
      administration_handler_(platform_, configuration_, metrics_),
      caller_server_(
          pool_, MakeLimits(settings_.caller_limits),
          [this](HttpExchange& e) { return HandleCallerRequest(e); },
          {.budget = memory_, .head_check = [this](HttpExchange& e) { return RefuseByHead(e); }}),
      administration_server_(pool_, HttpLimits{.connections = kMaxOperatorConnections},
                             [this](HttpExchange& e) { return administration_handler_.Handle(e); },
                             {.budget = memory_, .head_check = [this](HttpExchange& e) {
                                return administration_handler_.RefuseByHead(e);
                              }}) {
  for (std::size_t i = 0; i < pool_.size(); ++i) {
    connections_.push_back(std::make_unique<ConnectionPool>(dependencies_.path.pool,
                                                            request_metrics_.silent_connections));
  }
  administration_handler_.SetDrainHandler([this] { BeginDrain(); });
  configuration_.Subscribe(
      [this](const ConfigHolder::Snapshot& snapshot) { dispatcher_.Configure(*snapshot); });
}

Daemon::~Daemon() {
  pool_.Stop();
  // Waiting requests hold timers of the workers' contexts, so they are destroyed before the
  // contexts.
  dispatcher_.Clear();
  dependencies_.claims.reset();
  active_requests_.Clear();
}

Result<void> Daemon::Start() {
  const Result<Endpoint> callers = ParseEndpoint(settings_.callers_address);
  const Result<Endpoint> administration = ParseEndpoint(settings_.administration_address);
  if (!callers || !administration) {
    return tl::make_unexpected(callers ? administration.error() : callers.error());
  }
  if (!settings_.operator_key_file.empty()) {
    const Result<std::string> key = ReadFile(settings_.operator_key_file);
    if (!key) {
      return tl::make_unexpected(key.error());
    }
    administration_handler_.SetOperatorKey(TrimRight(*key));
  }
  std::string fleet_key;
  if (!settings_.fleet_key_file.empty()) {
    const Result<std::string> key = ReadFile(settings_.fleet_key_file);
    if (!key) {
      return tl::make_unexpected(key.error());
    }
    fleet_key = TrimRight(*key);
  }
  if (!administration_handler_.has_operator_key() &&
      !asio::ip::make_address(administration->address).is_loopback()) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid,
              .message = "administration_address is not a loopback address, so operator_key_file "
                         "must name a file with a key."});
  }
  if (settings_.platform_kind == PlatformKind::kEmbedded) {
    kLog.Warning(
        "The embedded platform is not persistent: all state is lost when the daemon stops.");
  }
  std::optional<Configuration> initial_configuration;
  if (!settings_.configuration_file.empty()) {
    const Result<std::string> text = ReadFile(settings_.configuration_file);
    if (!text) {
      return tl::make_unexpected(text.error());
    }
    Result<Configuration> configuration = ParseConfiguration(*text);
    if (!configuration) {
      return tl::make_unexpected(configuration.error());
    }
    configuration->version = std::max<std::uint64_t>(configuration->version, 1);
    initial_configuration = std::move(*configuration);
  }
  const Result<Endpoint> peers_bound = platform_.Start(std::move(initial_configuration), fleet_key);
  if (!peers_bound) {
    return tl::make_unexpected(peers_bound.error());
  }
  peers_endpoint_ = *peers_bound;
  StartClaimsAndPeerExchange();
  const Result<Endpoint> callers_bound = caller_server_.Listen(*callers);
  const Result<Endpoint> administration_bound = administration_server_.Listen(*administration);
  if (!callers_bound || !administration_bound) {
    return tl::make_unexpected(callers_bound ? administration_bound.error()
                                             : callers_bound.error());
  }
  callers_endpoint_ = *callers_bound;
  administration_endpoint_ = *administration_bound;
  asio::co_spawn(pool_.context(0), TickLoop(), LogException("daemon ticks"));
  for (std::size_t i = 0; i < pool_.size(); ++i) {
    asio::co_spawn(pool_.context(i), connections_[i]->RunHealthChecks(),
                   LogException("health checks"));
  }
  kLog.Info("Listening.", {{"daemon", settings_.daemon.value()},
                           {"failure_domain", settings_.failure_domain.value()},
                           {"callers", ToString(callers_endpoint_)},
                           {"administration", ToString(administration_endpoint_)},
                           {"peers", ToString(peers_endpoint_)},
                           {"configuration", configuration_.Get()->version}});
  return {};
}

void Daemon::StartClaimsAndPeerExchange() {
  std::shared_ptr<ClaimService> claims;
  if (!dependencies_.claims) {
    std::random_device random;
    const std::uint64_t nonce = (std::uint64_t{random()} << 32) | random();
    claims = std::make_shared<ClaimService>(
        pool_.context(0), platform_.table(),
        ClaimServiceOptions{.owner = {.daemon = settings_.daemon,
                                      .incarnation = MakeIncarnation(),
                                      .nonce = nonce}},
        metrics_);
    dependencies_.claims = claims;
  }
  peer_exchange_ =
      std::make_unique<PeerExchange>(pool_.context(0), platform_.network(), dispatcher_, claims,
                                     crashes_, settings_.failure_domain);
  peer_exchange_->Start();
  if (claims) {
    claims->Start();
  }
}

void Daemon::BeginDrain() {
  if (stop_.Begin()) {
    kLog.Info("Draining.", {{"in_flight", caller_server_.active_exchanges()}});
  }
}

void Daemon::StartDrainTimeout(Duration timeout) {
  if (drain_timeout_started_.exchange(true)) {
    return;
  }
  kLog.Info("Requests in flight are interrupted when the drain timeout expires.",
            {{"in_flight", caller_server_.active_exchanges()}, {"seconds", ToSeconds(timeout)}});
  asio::co_spawn(
      pool_.context(0),
      [this, timeout]() -> asio::awaitable<void> {
        asio::steady_timer timer(co_await asio::this_coro::executor, timeout);
        co_await timer.async_wait(asio::use_awaitable);
        active_requests_.InterruptAll(InterruptCause::kDrainLimit);
      },
      LogException("drain timeout"));
}

void Daemon::Stop() {
  pool_.Stop();
  kLog.Info("Stopped.");
}

void Daemon::Drain() {
  BeginDrain();
  while (!drained()) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  Stop();
}

asio::awaitable<void> Daemon::TickLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
    dispatcher_.Tick();
    AdvanceStop();
    memory_->Publish();
    Logger::Flush();
    dropped_lines_.Update(Logger::dropped_lines());
  }
}

void Daemon::AdvanceStop() {
  const StopPhase before = stop_.phase();
  if (before == StopPhase::kServing || before == StopPhase::kGone) {
    return;
  }
  const StopWork work{.requests_in_flight = caller_server_.active_exchanges(),
                      .open_connections = caller_server_.open_connections() +
                                          administration_server_.open_connections(),
                      .unwritten_claims = dependencies_.claims->unwritten_claims()};
  const StopPhase phase = stop_.Advance(work, std::chrono::steady_clock::now());
  if (phase == before) {
    return;
  }
  if (phase == StopPhase::kClosing) {
    kLog.Info(
        "No request is in flight; closing the listeners and connections.",
        {{"open_connections", work.open_connections}, {"unwritten_claims", work.unwritten_claims}});
    // The acceptors run on this context, so they are closed before the next call.
    caller_server_.Close();
    administration_server_.Close();
    dependencies_.claims->Flush();
    return;
  }
  if (work.open_connections > 0) {
    kLog.Warning("The time to end connections has passed; the open ones are cut off.",
                 {{"open_connections", work.open_connections}});
  }
  if (work.unwritten_claims > 0) {
    kLog.Warning(
        "The time to write claims has passed; requests of these claims that are sent again get the "
        "verdict may_have_run.",
        {{"unwritten_claims", work.unwritten_claims}});
  }
  kLog.Info("Drained.");
}

RequestKey Daemon::MakeRequestKey() {
  const auto start = std::chrono::system_clock::now().time_since_epoch().count();
  return RequestKey(fmt::format("{}-{:x}-{:x}", settings_.daemon.value(), start,
                                next_request_number_.fetch_add(1)));
}

RequestHandlerContext Daemon::MakeHandlerContext() {
  return {.configuration = configuration_,
          .dispatcher = dispatcher_,
          .metrics = metrics_,
          .request_metrics = request_metrics_,
          .upstream_options = dependencies_.path,
          .connections = *connections_[WorkerPool::CurrentIndex()],
          .streams = *dependencies_.streams,
          .claims = *dependencies_.claims,
          .retries = *dependencies_.retries,
          .active_requests = active_requests_,
          .crashes = crashes_};
}

asio::awaitable<bool> Daemon::RefuseByHead(HttpExchange& exchange) {
  const ConfigHolder::Snapshot configuration = configuration_.Get();
  Verdict verdict;
  if (!stop_.AdmitsRequests()) {
    verdict = {.reason = Reason::kDraining, .retry_after = 1s};
  } else if (!platform_.ready()) {
    verdict = {.reason = Reason::kNotReady, .retry_after = 1s};
  } else if (FindAccountByKey(*configuration, exchange.BearerToken()) == nullptr) {
    verdict = {.reason = Reason::kUnknownKey};
  } else if (exchange.target() != kChatCompletionsPath &&
             FindPlainService(*configuration, exchange.target()) == nullptr) {
    verdict = {.reason = Reason::kUnknownService};
  } else {
    co_return false;
  }
  co_await RespondWithVerdict(exchange, MakeRequestKey(), verdict, metrics_);
  co_return true;
}

asio::awaitable<void> Daemon::HandleCallerRequest(HttpExchange& exchange) {
  if (exchange.target() == "/healthz" || exchange.target() == "/readyz") {
    const bool draining = !stop_.AdmitsRequests();
    const bool ready = !draining && platform_.ready();
    const char* text = draining ? "draining\n" : ready ? "ready\n" : "starting\n";
    co_await exchange.Respond(ready ? 200 : 503, ContentType("text/plain"), text);
    co_return;
  }
  const std::string_view caller_key = exchange.Header("Idempotency-Key");
  const bool has_idempotency_key = IsValidRequestKey(caller_key);
  const RequestKey key =
      has_idempotency_key ? RequestKey(std::string(caller_key)) : MakeRequestKey();
  if (!stop_.AdmitsRequests()) {
    const Verdict verdict{.reason = Reason::kDraining, .retry_after = 1s};
    exchange.CloseAfterResponse();
    co_await RespondWithVerdict(exchange, key, verdict, metrics_);
    co_return;
  }
  if (!platform_.ready()) {
    const Verdict verdict{.reason = Reason::kNotReady, .retry_after = 1s};
    co_await RespondWithVerdict(exchange, key, verdict, metrics_);
    co_return;
  }
  const ConfigHolder::Snapshot configuration = configuration_.Get();
  const AccountConfig* account = FindAccountByKey(*configuration, exchange.BearerToken());
  if (account == nullptr) {
    const Verdict verdict{.reason = Reason::kUnknownKey};
    co_await RespondWithVerdict(exchange, key, verdict, metrics_);
    co_return;
  }
  if (!caller_key.empty() && !has_idempotency_key) {
    const Verdict verdict{.reason = Reason::kMalformedRequest};
    co_await RespondWithVerdict(exchange, key, verdict, metrics_);
    co_return;
  }
  const bool is_model = exchange.target() == kChatCompletionsPath;
  std::optional<ChatRequest> chat;
  std::string model;
  if (is_model) {
    chat = ParseChatRequest(exchange.request().body());
    model = chat ? chat->model : FindModelName(exchange.request().body());
  }
  const ServiceConfig* service = is_model ? FindModelService(*configuration, model)
                                          : FindPlainService(*configuration, exchange.target());
  if (service != nullptr) {
    metrics_.GetCounter("savoryglade_requests_total", {{"service", service->name.value()}}).Add();
  }
  if (service == nullptr || (is_model && !chat)) {
    const bool malformed = is_model && !chat && (service != nullptr || model.empty());
    const Verdict verdict{.reason =
                              malformed ? Reason::kMalformedRequest : Reason::kUnknownService};
    co_await RespondWithVerdict(exchange, key, verdict, metrics_);
    co_return;
  }
  const std::string method(exchange.request().method_string());
  AuthenticatedRequest request{.configuration = configuration,
                               .account = *account,
                               .service = *service,
                               .key = key,
                               .fingerprint = FingerprintOf({.account = account->name.value(),
                                                             .scope = service->name.value(),
                                                             .method = method,
                                                             .target = exchange.target(),
                                                             .body = exchange.request().body()}),
                               .has_idempotency_key = has_idempotency_key};
  if (is_model) {
    co_await HandleModelRequest(exchange, std::move(request), std::move(*chat),
                                MakeHandlerContext());
  } else {
    co_await HandlePlainRequest(exchange, std::move(request), MakeHandlerContext());
  }
}

}  // namespace savoryglade
