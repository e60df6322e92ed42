#include "soak/upstream.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <utility>
#include <vector>

#include "core/prefix_hash.h"
#include "net/peer_disconnect_monitor.h"
#include "net/sleep.h"

namespace savoryglade::soak {
namespace {

// One request of this many is rejected as not run.
constexpr std::uint64_t kRequestsPerRejection = 40;

}  // namespace

Upstream::Upstream(UpstreamOptions options, History& history)
    : options_(std::move(options)), history_(history), worker_(options_.id) {
  worker_.SetEventInterval(options_.event_interval);
  worker_.SetVersion(options_.version);
  pool_ = std::make_unique<WorkerPool>(1);
  server_ = std::make_unique<HttpServer>(
      *pool_, HttpLimits{}, [this](HttpExchange& exchange) { return Handle(exchange); });
  link_ = std::make_unique<EmulatedLink>(*server_->Listen({.address = "127.0.0.1", .port = 0}));
  endpoint_ = link_->endpoint();
}

void Upstream::Break() {
  history_.AddBreak(options_.id);
  Close();
}

void Upstream::Close() {
  if (pool_ == nullptr) {
    return;
  }
  link_.reset();
  pool_->Stop();
  server_.reset();
  pool_.reset();
}

void Upstream::SetRateLimit(std::optional<double> rate) {
  worker_.SetRateLimits(rate ? std::vector{fmt::format("{:.1f}", *rate)}
                             : std::vector<std::string>());
  history_.AddRateLimit(options_.id, rate);
}

void Upstream::SayLeaving() {
  worker_.SetSignals({{"Server-Leaving", "1"}});
  leaving_ = true;
}

boost::asio::awaitable<void> Upstream::Reject(HttpExchange& exchange, const std::string& attempt) {
  HttpHeaders headers;
  headers.emplace_back("Attempt-Id", attempt);
  headers.emplace_back("Not-Executed", "1");
  if (leaving_) {
    headers.emplace_back("Server-Leaving", "1");
  }
  const TimePoint wait_end = rejects_until_;
  if (const Duration wait = wait_end - Now(); wait > Duration::zero()) {
    headers.emplace_back("Retry-After", fmt::format("{:.3f}", ToSeconds(wait)));
    history_.AddWish(options_.id, attempt, wait_end);
  }
  co_await exchange.Respond(503, std::move(headers), {});
}

std::string Upstream::Registration(bool leaving) const {
  return fmt::format(
      R"({{"service":"s","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{}"}})",
      ToString(endpoint_), options_.failure_domain, options_.version, options_.slots,
      leaving ? "draining" : "ready");
}

Duration Upstream::ServiceTime(const std::string& attempt) const {
  constexpr std::uint64_t kSteps = 1000;
  const double share = static_cast<double>(Fnv1aHash(attempt) % kSteps) / kSteps;
  return options_.min_service_time +
         FromSeconds(ToSeconds(options_.max_service_time - options_.min_service_time) * share);
}

boost::asio::awaitable<bool> Upstream::Serve(HttpExchange& exchange, Duration service_time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, service_time);
  PeerDisconnectMonitor daemon(exchange.stream());
  daemon.OnDisconnect([&timer] { timer.cancel(); });
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return !daemon.disconnected();
}

boost::asio::awaitable<void> Upstream::Handle(HttpExchange& exchange) {
  const std::string attempt(exchange.Header("Attempt-Id"));
  const std::string expected(exchange.Header("Expect-Instance"));
  if (attempt.empty() || expected != options_.id) {
    co_await worker_.Handle(exchange);
    co_return;
  }
  history_.AddArrival(options_.id, attempt);
  if (Now() < rejects_until_.load() || running_ >= options_.slots ||
      Fnv1aHash(attempt + options_.id) % kRequestsPerRejection == 0) {
    co_await Reject(exchange, attempt);
    co_return;
  }
  const std::string last_event(exchange.Header("Last-Event-Id"));
  const int events_before = last_event.empty() ? 0 : std::stoi(last_event);
  const bool is_stream = exchange.target().find("/stream/") != std::string_view::npos;
  const Duration stream_time =
      options_.event_interval * (WorkerService::kEventsPerStream - 1 - events_before);
  const std::size_t run = history_.BeginRun(
      attempt, {.upstream = options_.id,
                .version = options_.version,
                .events_before = events_before,
                .ended_at = std::nullopt,
                .length = ServiceTime(attempt) + (is_stream ? stream_time : Duration::zero())});
  ++running_;
  if (exchange.target().find(kCrashingName) != std::string_view::npos) {
    co_await Sleep(ServiceTime(attempt));
    options_.on_crash();
    // Nothing is answered any more.
    while (true) {
      co_await Sleep(1s);
    }
  }
  if (co_await Serve(exchange, ServiceTime(attempt))) {
    if (leaving_) {
      history_.AddWish(options_.id, attempt, std::nullopt);
    }
    co_await worker_.Handle(exchange);
  } else {
    exchange.Abort();
  }
  --running_;
  history_.EndRun(attempt, run);
}

}  // namespace savoryglade::soak
