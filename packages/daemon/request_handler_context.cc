#include "daemon/request_handler_context.h"

#include <fmt/format.h>

#include <array>
#include <cstddef>

namespace savoryglade {
namespace {

struct ReasonStatus {
  Reason reason;
  unsigned status;
};

constexpr unsigned kUnavailableStatus = 503;

constexpr std::array kStatuses = {
    ReasonStatus{Reason::kUnknownKey, 401},
    ReasonStatus{Reason::kUnknownService, 404},
    ReasonStatus{Reason::kMalformedRequest, 400},
    ReasonStatus{Reason::kRequestTooLarge, 413},
    ReasonStatus{Reason::kIdempotencyKeyRequired, 400},
    ReasonStatus{Reason::kIdempotencyKeyReused, 422},
    ReasonStatus{Reason::kQueueFull, 503},
    ReasonStatus{Reason::kAccountQueueFull, 429},
    ReasonStatus{Reason::kDeadlineExceeded, 504},
    ReasonStatus{Reason::kClaimedElsewhere, 409},
    ReasonStatus{Reason::kAnswerNotKept, 409},
    ReasonStatus{Reason::kRequestCrashesUpstreams, 422},
    ReasonStatus{Reason::kUpstreamLost, 502},
    ReasonStatus{Reason::kUpstreamError, 502},
};

}  // namespace

unsigned HttpStatusOf(Reason reason) {
  for (const ReasonStatus& entry : kStatuses) {
    if (entry.reason == reason) {
      return entry.status;
    }
  }
  return kUnavailableStatus;
}

boost::asio::awaitable<void> RespondWithVerdict(HttpExchange& exchange, const RequestKey& key,
                                                const Verdict& verdict, MetricRegistry& metrics) {
  const std::string reason(ToString(verdict.reason));
  const std::string state(ToString(verdict.run_state));
  metrics.GetCounter("savoryglade_refusals_total", {{"reason", reason}, {"verdict", state}}).Add();
  HttpHeaders headers = {{"Content-Type", "application/json"},
                         {"Savoryglade-Request", key.value()},
                         {"Savoryglade-Verdict", state},
                         {"Savoryglade-Reason", reason}};
  if (verdict.retry_after > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(verdict.retry_after).count();
    headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  co_await exchange.Respond(
      HttpStatusOf(verdict.reason), std::move(headers),
      fmt::format(R"({{"error":{{"reason":"{}","verdict":"{}","request":"{}"}}}})", reason, state,
                  key.value()));
}

}  // namespace savoryglade
