#include "daemon/daemon.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>

#include "config/account_keys.h"
#include "daemon/caller_context.h"
#include "daemon/model_handler.h"
#include "daemon/plain_handler.h"
#include "logging/logger.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = 10ms;
constexpr Duration kDrainPoll = 10ms;
constexpr std::string_view kModelPath = "/v1/chat/completions";
constexpr std::size_t kLongestIdempotencyKey = 256;

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

// Finds the plain service with the longest path prefix that covers whole segments of the target.
const ServiceConfig* FindPlainService(const Configuration& configuration, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const ServiceConfig* found = nullptr;
  for (const ServiceConfig& service : configuration.services) {
    const std::string& prefix = service.path_prefix;
    if (service.kind != ServiceKind::kPlain || path.substr(0, prefix.size()) != prefix) {
      continue;
    }
    const bool whole =
        path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
    if (whole && (found == nullptr || prefix.size() > found->path_prefix.size())) {
      found = &service;
    }
  }
  return found;
}

// Finds the model service that the body names. The handler parses the body in full.
const ServiceConfig* FindModelService(const Configuration& configuration, const std::string& body) {
  boost::json::error_code error;
  const boost::json::value document = boost::json::parse(body, error);
  const boost::json::object* object = error ? nullptr : document.if_object();
  const boost::json::value* model = object == nullptr ? nullptr : object->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return nullptr;
  }
  const ServiceConfig* service =
      configuration.FindService(ServiceId(std::string(model->get_string())));
  return service != nullptr && service->kind == ServiceKind::kModel ? service : nullptr;
}

}  // namespace

Daemon::Daemon(Settings settings)
    : settings_(std::move(settings)),
      dispatcher_(SchedulerOptions{}, std::hash<std::string>()(settings_.daemon.value()), metrics_),
      pool_(static_cast<std::size_t>(settings_.worker_threads)),
      platform_(pool_.context(0), settings_, metrics_, configuration_),
      administration_handler_(platform_, configuration_, metrics_),
      callers_(pool_, HttpLimits{}, [this](HttpExchange& e) { return HandleCaller(e); }),
      administration_(pool_, HttpLimits{},
                      [this](HttpExchange& e) { return administration_handler_.Handle(e); }) {
  configuration_.Subscribe(
      [this](const ConfigHolder::Snapshot& snapshot) { dispatcher_.Configure(*snapshot); });
}

Daemon::~Daemon() { pool_.Stop(); }

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
              .message = "administration_address is beyond loopback, so operator_key_file must "
                         "name a file with a key."});
  }
  if (settings_.platform_kind == PlatformKind::kEmbedded) {
    kLog.Warning("The embedded platform keeps nothing: all state is lost when the daemon stops.");
  }
  std::optional<Configuration> first;
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
    first = std::move(*configuration);
  }
  const Result<Endpoint> peers_bound = platform_.Start(std::move(first), fleet_key);
  if (!peers_bound) {
    return tl::make_unexpected(peers_bound.error());
  }
  peers_endpoint_ = *peers_bound;
  const Result<Endpoint> callers_bound = callers_.Listen(*callers);
  const Result<Endpoint> administration_bound = administration_.Listen(*administration);
  if (!callers_bound || !administration_bound) {
    return tl::make_unexpected(callers_bound ? administration_bound.error()
                                             : callers_bound.error());
  }
  callers_endpoint_ = *callers_bound;
  administration_endpoint_ = *administration_bound;
  asio::co_spawn(pool_.context(0), TickLoop(), asio::detached);
  kLog.Info("Listening.", {{"daemon", settings_.daemon.value()},
                           {"failure_domain", settings_.failure_domain.value()},
                           {"callers", ToString(callers_endpoint_)},
                           {"administration", ToString(administration_endpoint_)},
                           {"peers", ToString(peers_endpoint_)},
                           {"configuration", configuration_.Get()->version}});
  return {};
}

void Daemon::Drain() {
  draining_ = true;
  kLog.Info("Draining.", {{"in_flight", callers_.active_exchanges()}});
  while (callers_.active_exchanges() > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  callers_.StopAccepting();
  administration_.StopAccepting();
  pool_.Stop();
  kLog.Info("Stopped.");
}

asio::awaitable<void> Daemon::TickLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
    dispatcher_.Tick();
  }
}

RequestKey Daemon::MakeKey(const HttpExchange& exchange) {
  const std::string_view key = exchange.Header("Idempotency-Key");
  if (!key.empty() && key.size() <= kLongestIdempotencyKey) {
    return RequestKey(std::string(key));
  }
  const auto start = std::chrono::system_clock::now().time_since_epoch().count();
  return RequestKey(
      fmt::format("{}-{:x}-{:x}", settings_.daemon.value(), start, next_key_.fetch_add(1)));
}

asio::awaitable<void> Daemon::HandleCaller(HttpExchange& exchange) {
  if (exchange.target() == "/healthz" || exchange.target() == "/readyz") {
    const bool ready = !draining_ && platform_.ready();
    const char* text = draining_ ? "draining\n" : ready ? "ready\n" : "starting\n";
    co_await exchange.Respond(ready ? 200 : 503, ContentType("text/plain"), text);
    co_return;
  }
  const RequestKey key = MakeKey(exchange);
  if (!platform_.ready()) {
    const Verdict verdict{.reason = Reason::kNotReady, .retry_after = 1s};
    co_await RespondWithVerdict(exchange, key, verdict, metrics_);
    co_return;
  }
  if (draining_) {
    const Verdict verdict{.reason = Reason::kDraining, .retry_after = 1s};
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
  const bool is_model = exchange.target() == kModelPath;
  const ServiceConfig* service = is_model
                                     ? FindModelService(*configuration, exchange.request().body())
                                     : FindPlainService(*configuration, exchange.target());
  if (service == nullptr) {
    const Verdict verdict{.reason = Reason::kUnknownService};
    co_await RespondWithVerdict(exchange, key, verdict, metrics_);
    co_return;
  }
  metrics_.GetCounter("savoryglade_requests_total", {{"service", service->name.value()}}).Add();
  const CallerRequest request{configuration, *account, *service, key};
  const CallerServices services{configuration_, dispatcher_, metrics_};
  if (is_model) {
    co_await HandleModelRequest(exchange, request, services);
  } else {
    co_await HandlePlainRequest(exchange, request, services);
  }
}

}  // namespace savoryglade
