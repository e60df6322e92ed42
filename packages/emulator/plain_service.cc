#include "emulator/plain_service.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <string>

#include "net/peer_disconnect_monitor.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

struct FaultName {
  std::string_view name;
  PlainFault fault;
};

constexpr std::array kFaultNames = {
    FaultName{"delay", PlainFault::kDelay},
    FaultName{"fail", PlainFault::kFail},
    FaultName{"refuse", PlainFault::kRefuse},
    FaultName{"close_before", PlainFault::kCloseBefore},
    FaultName{"close_after", PlainFault::kCloseAfter},
    FaultName{"silent", PlainFault::kSilent},
};

}  // namespace

PlainFault ParsePlainFault(std::string_view name) {
  for (const FaultName& entry : kFaultNames) {
    if (entry.name == name) {
      return entry.fault;
    }
  }
  return PlainFault::kNone;
}

void PlainService::SetFault(PlainFault fault, int count, Duration delay) {
  const std::lock_guard lock(mutex_);
  fault_ = fault;
  remaining_fault_count_ = count;
  delay_ = delay;
}

std::uint64_t PlainService::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::uint64_t PlainService::RunCount(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = runs_by_key_.find(key);
  return found == runs_by_key_.end() ? 0 : found->second;
}

asio::awaitable<void> PlainService::Handle(HttpExchange& exchange) {
  if (exchange.target() == "/health") {
    HttpHeaders headers = ContentType("text/plain");
    co_await exchange.Respond(200, std::move(headers), "ok\n");
    co_return;
  }
  if (exchange.target() == "/fault") {
    co_await HandleFault(exchange);
    co_return;
  }
  PlainFault fault = PlainFault::kNone;
  Duration delay = Duration::zero();
  {
    const std::lock_guard lock(mutex_);
    if (remaining_fault_count_ > 0) {
      --remaining_fault_count_;
      fault = fault_;
      delay = delay_;
    }
  }
  if (fault == PlainFault::kCloseBefore) {
    exchange.Abort();
    co_return;
  }
  if (fault == PlainFault::kRefuse) {
    HttpHeaders headers = ContentType("text/plain");
    headers.emplace_back("Savoryglade-Verdict", "not_run");
    co_await exchange.Respond(503, std::move(headers), "refused\n");
    co_return;
  }
  co_await Run(exchange, fault, delay);
}

asio::awaitable<void> PlainService::HandleFault(HttpExchange& exchange) {
  json::error_code error;
  const json::value document = json::parse(exchange.request().body(), error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* kind = object == nullptr ? nullptr : object->if_contains("kind");
  HttpHeaders headers = ContentType("text/plain");
  if (kind == nullptr || !kind->is_string()) {
    co_await exchange.Respond(400, std::move(headers), "expected kind, count and delay_ms\n");
    co_return;
  }
  const json::value* count = object->if_contains("count");
  const json::value* delay = object->if_contains("delay_ms");
  SetFault(
      ParsePlainFault(std::string_view(kind->get_string())),
      count != nullptr && count->is_int64() ? static_cast<int>(count->get_int64()) : 1,
      std::chrono::milliseconds(delay != nullptr && delay->is_int64() ? delay->get_int64() : 0));
  co_await exchange.Respond(200, std::move(headers), "ok\n");
}

// Waits until an instant or until the peer closes the connection.
asio::awaitable<void> PlainService::WaitUntilOrDisconnect(HttpExchange& exchange, TimePoint until) {
  asio::steady_timer timer(co_await asio::this_coro::executor, until);
  PeerDisconnectMonitor monitor(exchange.stream());
  monitor.OnDisconnect([&timer] { timer.cancel(); });
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> PlainService::Run(HttpExchange& exchange, PlainFault fault, Duration delay) {
  json::object response = {{"method", std::string(exchange.request().method_string())},
                           {"path", std::string(exchange.target())},
                           {"body", exchange.request().body()}};
  {
    const std::lock_guard lock(mutex_);
    response["runs"] = ++runs_;
    const std::string key(exchange.Header("Idempotency-Key"));
    if (!key.empty()) {
      ++runs_by_key_[key];
    }
  }
  if (fault == PlainFault::kCloseAfter) {
    exchange.Abort();
    co_return;
  }
  if (fault == PlainFault::kSilent) {
    co_await WaitUntilOrDisconnect(exchange, TimePoint::max());
    exchange.Abort();
    co_return;
  }
  if (fault == PlainFault::kDelay) {
    co_await WaitUntilOrDisconnect(exchange, std::chrono::steady_clock::now() + delay);
  }
  HttpHeaders headers = ContentType("application/json");
  co_await exchange.Respond(fault == PlainFault::kFail ? 500 : 200, std::move(headers),
                            json::serialize(response) + "\n");
}

}  // namespace savoryglade
