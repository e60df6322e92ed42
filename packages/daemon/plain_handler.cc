#include "daemon/plain_handler.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr double kPredictedSeconds = 0.05;

// Copies a request for an upstream, without the caller's key and without hop-by-hop headers.
HttpRequest MakeUpstreamRequest(const HttpRequest& request, const RequestKey& key) {
  HttpRequest copy = request;
  copy.erase(http::field::authorization);
  copy.erase(http::field::connection);
  copy.erase(http::field::transfer_encoding);
  copy.set("Idempotency-Key", key.value());
  return copy;
}

}  // namespace

asio::awaitable<void> HandlePlainRequest(HttpExchange& exchange, CallerRequest request,
                                         CallerServices services) {
  const TimePoint now = std::chrono::steady_clock::now();
  const QueuedRequest queued{.ticket = services.dispatcher.NewTicket(),
                             .account = request.account.name,
                             .service = request.service.name,
                             .predicted_cost = kPredictedSeconds,
                             .enqueued = now,
                             .deadline = now + request.service.deadline};
  const RouteRequest route{.service = request.service.name, .predicted_cost = kPredictedSeconds};
  const auto upstream = co_await services.dispatcher.Acquire(queued, route);
  if (!upstream) {
    co_await RespondWithVerdict(exchange, request.key, upstream.error(), services.metrics);
    co_return;
  }
  const TimePoint start = std::chrono::steady_clock::now();
  const Endpoint endpoint{.address = upstream->address, .port = upstream->port};
  const auto response = co_await FetchOnce(
      endpoint, MakeUpstreamRequest(exchange.request(), request.key), queued.deadline - start);
  services.dispatcher.Finish(queued.ticket, upstream->name,
                             {.result = response ? AttemptResult::kCompleted : AttemptResult::kLost,
                              .total = std::chrono::steady_clock::now() - start});
  if (!response) {
    const Verdict lost{
        .run_state = RunState::kMayHaveRun, .reason = Reason::kUpstreamLost, .retry_after = 1s};
    co_await RespondWithVerdict(exchange, request.key, lost, services.metrics);
    co_return;
  }
  HttpHeaders headers = {{"Savoryglade-Request", request.key.value()},
                         {"Savoryglade-Verdict", "ran"}};
  if (const auto type = response->find(http::field::content_type); type != response->end()) {
    headers.emplace_back("Content-Type", std::string(type->value()));
  }
  co_await exchange.Respond(response->result_int(), std::move(headers), response->body());
}

}  // namespace savoryglade
