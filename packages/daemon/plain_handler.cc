#include "daemon/plain_handler.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "daemon/request_identity.h"
#include "net/peer_disconnect_monitor.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr double kPredictedSeconds = 0.05;
constexpr Duration kRetryAfter = 1s;
constexpr std::size_t kResponseLimit = 16 * 1024 * 1024;

// Headers that belong to one connection, or that the receiver of the copy sets itself.
constexpr std::array<std::string_view, 11> kHopByHop = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "upgrade",    "transfer-encoding",  "content-length",      "host",
    "expect"};

TimePoint Now() { return std::chrono::steady_clock::now(); }

bool IsHopByHop(boost::beast::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), [name](std::string_view known) {
    return boost::beast::iequals(name, boost::beast::string_view(known.data(), known.size()));
  });
}

bool IsRepeatable(http::verb method) {
  switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::options:
    case http::verb::put:
    case http::verb::delete_:
      return true;
    default:
      return false;
  }
}

// Copies a request for an upstream, without the caller's bearer key and hop-by-hop headers.
HttpRequest MakeUpstreamRequest(const HttpRequest& request, const std::string& key) {
  HttpRequest copy(request.method(), request.target(), 11);
  for (const auto& field : request) {
    if (!IsHopByHop(field.name_string()) && field.name() != http::field::authorization) {
      copy.insert(field.name_string(), field.value());
    }
  }
  copy.set("Idempotency-Key", key);
  copy.body() = request.body();
  copy.prepare_payload();
  return copy;
}

// How an attempt ended: with a response, or with what may be concluded without one.
struct PlainAttempt {
  std::optional<HttpResponse> response;
  Verdict verdict;
  AttemptResult result = AttemptResult::kCompleted;
};

// Carries one request through its claim and its attempts.
class PlainSession {
 public:
  PlainSession(HttpExchange& exchange, const AuthenticatedRequest& request,
               const RequestHandlerContext& services)
      : exchange_(exchange),
        request_(request),
        services_(services),
        deadline_(Now() + request.service.deadline),
        rule_(FindMayNotRepeatRule(request.service, Method(), exchange.target())),
        repeatable_(rule_ == nullptr && IsRepeatable(exchange.request().method())),
        interrupt_(std::make_shared<Interrupt>()) {}

  asio::awaitable<void> Run() {
    std::string key = request_.key.value();
    if (rule_ != nullptr) {
      claim_key_ =
          FindClaimKey(*rule_, exchange_.Header("Idempotency-Key"), exchange_.request().body());
      if (claim_key_.empty()) {
        co_await Refuse({.reason = Reason::kIdempotencyKeyRequired});
        co_return;
      }
      key = claim_key_;
    }
    const auto executor = co_await asio::this_coro::executor;
    const ActiveRequests::Registration registration(services_.active_requests, executor,
                                                    interrupt_);
    PeerDisconnectMonitor watch(exchange_.stream());
    watch.OnDisconnect([interrupt = interrupt_] { interrupt->Raise(InterruptCause::kCallerGone); });
    services_.retries.OnRequest(request_.account.name, request_.service.name);
    upstream_request_ = MakeUpstreamRequest(exchange_.request(), key);
    while (!co_await TryOnce()) {
    }
  }

 private:
  std::string_view Method() const {
    const auto method = exchange_.request().method_string();
    return {method.data(), method.size()};
  }

  // Runs one attempt. Returns true if the request has been answered.
  asio::awaitable<bool> TryOnce() {
    const Ticket ticket = services_.dispatcher.NewTicket();
    const auto upstream = co_await AcquireUpstream(ticket);
    if (interrupt_->raised()) {
      if (upstream) {
        services_.dispatcher.Finish(ticket, upstream->name, {.result = AttemptResult::kCancelled});
      }
      services_.request_metrics.callers_gone_queued.Add(
          interrupt_->cause() == InterruptCause::kCallerGone ? 1 : 0);
      co_await End({.reason = Reason::kDraining, .retry_after = kRetryAfter});
      co_return true;
    }
    if (!upstream) {
      if (upstream.error().reason == Reason::kNoUpstream && !tried_.empty()) {
        tried_.clear();
        co_return co_await PrepareRetry(last_verdict_);
      }
      co_await End(upstream.error());
      co_return true;
    }
    if (rule_ != nullptr && claim_ == 0 && !co_await Claim()) {
      services_.dispatcher.Finish(ticket, upstream->name, {.result = AttemptResult::kCancelled});
      co_return true;
    }
    const TimePoint start = Now();
    PlainAttempt attempt = co_await Send(*upstream);
    services_.dispatcher.Finish(ticket, upstream->name,
                                {.result = attempt.result, .total = Now() - start});
    tried_.push_back(upstream->name);
    if (attempt.response) {
      co_await Respond(std::move(*attempt.response));
      co_return true;
    }
    const bool may_retry = repeatable_ || attempt.verdict.run_state == RunState::kNotRun;
    if (!may_retry || interrupt_->raised() || claim_is_void_ ||
        attempt.verdict.reason == Reason::kDeadlineExceeded) {
      co_await End(attempt.verdict);
      co_return true;
    }
    co_return co_await PrepareRetry(attempt.verdict);
  }

  asio::awaitable<tl::expected<UpstreamConfig, Verdict>> AcquireUpstream(Ticket ticket) {
    const QueuedRequest queued{.ticket = ticket,
                               .account = request_.account.name,
                               .service = request_.service.name,
                               .predicted_cost = kPredictedSeconds,
                               .enqueued = Now(),
                               .deadline = deadline_};
    RouteRequest route{
        .service = request_.service.name, .predicted_cost = kPredictedSeconds, .excluded = tried_};
    const InterruptScope scope(*interrupt_, [this, ticket] {
      services_.dispatcher.Cancel(ticket, {.reason = Reason::kCallerGone});
    });
    co_return co_await services_.dispatcher.Acquire(queued, std::move(route));
  }

  // Claims a may-not-repeat request. Returns false if it has been answered instead.
  asio::awaitable<bool> Claim() {
    ClaimSubmission sending{.identity = {.account = request_.account.name,
                                         .service = request_.service.name,
                                         .key = claim_key_},
                            .body = ComputeSha256(exchange_.request().body()),
                            .resend = exchange_.Header("Savoryglade-Resend") == "true"};
    ClaimResult answer = co_await services_.claims.Claim(std::move(sending), Now());
    if (answer.kind == ClaimResult::Kind::kGranted) {
      claim_ = answer.token;
      co_return true;
    }
    if (answer.kind == ClaimResult::Kind::kRefused) {
      co_await Refuse(answer.verdict);
      co_return false;
    }
    HttpHeaders headers = {{"Savoryglade-Request", request_.key.value()},
                           {"Savoryglade-Verdict", "ran"},
                           {"Savoryglade-Replayed", "true"}};
    if (!answer.response.content_type.empty()) {
      headers.emplace_back("Content-Type", answer.response.content_type);
    }
    co_await exchange_.Respond(answer.response.status, std::move(headers),
                               std::move(answer.response.body));
    co_return false;
  }

  asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Connect(const Endpoint& endpoint) {
    if (repeatable_) {
      co_return co_await services_.connections.Acquire(endpoint,
                                                       services_.upstream_options.connect_timeout);
    }
    // An idle connection could be closed under the request, which would leave its outcome unknown.
    co_return co_await HttpConnection::Connect(endpoint,
                                               services_.upstream_options.connect_timeout);
  }

  asio::awaitable<PlainAttempt> Send(const UpstreamConfig& upstream) {
    const Endpoint endpoint{.address = upstream.address, .port = upstream.port};
    auto connection = co_await Connect(endpoint);
    if (!connection || interrupt_->raised()) {
      co_return PlainAttempt{
          .verdict = {.run_state = RunState::kNotRun,
                      .reason = connection ? Reason::kDraining : Reason::kUpstreamLost,
                      .retry_after = kRetryAfter},
          .result = connection ? AttemptResult::kCancelled : AttemptResult::kConnectFailed};
    }
    upstream_request_.set(http::field::host, ToString(endpoint));
    if (rule_ != nullptr && !services_.claims.BeginDispatch(claim_, Now())) {
      claim_is_void_ = true;
      co_return PlainAttempt{.verdict = {.run_state = RunState::kNotRun,
                                         .reason = Reason::kPlatformUnavailable,
                                         .retry_after = kRetryAfter},
                             .result = AttemptResult::kCancelled};
    }
    claim_dispatched_ = rule_ != nullptr;
    co_return co_await Exchange(std::move(*connection));
  }

  asio::awaitable<PlainAttempt> Exchange(std::unique_ptr<HttpConnection> connection) {
    // Only a repeatable request ends with its caller: the outcome of any other one matters even if
    // nobody waits for it.
    const InterruptScope scope(*interrupt_, [this, &connection] {
      if (repeatable_ || interrupt_->cause() == InterruptCause::kDrainLimit) {
        connection->Close();
      }
    });
    const auto left = [this] { return std::max<Duration>(deadline_ - Now(), 1ms); };
    const auto sent = co_await connection->Send(upstream_request_, left());
    Result<HttpResponse> response = tl::make_unexpected(Error{});
    if (sent) {
      response = co_await connection->ReadResponse(kResponseLimit, left());
    }
    if (!response) {
      const bool late = Now() >= deadline_;
      PlainAttempt attempt;
      attempt.result = late ? AttemptResult::kTimedOut : AttemptResult::kLost;
      attempt.verdict = {.run_state = RunState::kMayHaveRun,
                         .reason = late ? Reason::kDeadlineExceeded : Reason::kUpstreamLost,
                         .retry_after = kRetryAfter};
      if (interrupt_->raised()) {
        attempt.result = AttemptResult::kCancelled;
        attempt.verdict.reason = Reason::kDraining;
      }
      co_return attempt;
    }
    services_.connections.Release(std::move(connection));
    const auto verdict = response->find("Savoryglade-Verdict");
    if (verdict != response->end() && verdict->value() == "not_run") {
      co_return PlainAttempt{.verdict = {.run_state = RunState::kNotRun,
                                         .reason = Reason::kUpstreamError,
                                         .retry_after = kRetryAfter},
                             .result = AttemptResult::kRefused};
    }
    co_return PlainAttempt{.response = std::move(*response)};
  }

  // Waits for the next attempt if the budget allows one, else answers. Returns true if the request
  // has been answered.
  asio::awaitable<bool> PrepareRetry(const Verdict& verdict) {
    ++attempts_;
    last_verdict_ = verdict;
    may_have_run_ = may_have_run_ || verdict.run_state == RunState::kMayHaveRun;
    const FailedAttempt failure{.account = request_.account.name,
                                .service = request_.service.name,
                                .run_state = verdict.run_state,
                                .reason = verdict.reason,
                                .dispatched = verdict.run_state != RunState::kNotRun,
                                .may_not_repeat = rule_ != nullptr,
                                .repeatable = repeatable_,
                                .attempts = attempts_,
                                .deadline = deadline_};
    const RetryDecision decision = services_.retries.Decide(failure, Now());
    const Retry* retry = std::get_if<Retry>(&decision);
    if (retry == nullptr) {
      co_await End(std::get<GiveUp>(decision).verdict);
      co_return true;
    }
    services_.request_metrics.retries.Add();
    if (claim_dispatched_) {
      // The upstream has stated that it did not run the request. A claim is dispatched once, so the
      // next attempt needs another one.
      services_.claims.Release(claim_);
      claim_ = 0;
      claim_dispatched_ = false;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, retry->delay);
    const InterruptScope scope(*interrupt_, [&timer] { timer.cancel(); });
    if (!interrupt_->raised()) {
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return false;
  }

  // Relays the response of a request that ran.
  asio::awaitable<void> Respond(HttpResponse response) {
    const auto type = response.find(http::field::content_type);
    if (claim_ != 0) {
      services_.claims.Complete(
          claim_, {.status = response.result_int(),
                   .content_type = type == response.end() ? "" : std::string(type->value()),
                   .body = response.body()});
    }
    if (interrupt_->cause() == InterruptCause::kCallerGone) {
      services_.request_metrics.callers_gone_running.Add();
      exchange_.Abort();
      co_return;
    }
    HttpHeaders headers;
    for (const auto& field : response) {
      if (!IsHopByHop(field.name_string())) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
      }
    }
    headers.emplace_back("Savoryglade-Request", request_.key.value());
    headers.emplace_back("Savoryglade-Verdict", "ran");
    co_await exchange_.Respond(response.result_int(), std::move(headers),
                               std::move(response.body()));
  }

  // Ends a request that got no response, and its claim.
  asio::awaitable<void> End(Verdict verdict) {
    if (may_have_run_) {
      verdict.run_state = RunState::kMayHaveRun;
    }
    if (claim_ != 0) {
      if (!claim_dispatched_) {
        verdict = services_.claims.GiveUp(claim_, verdict);
      } else if (verdict.run_state == RunState::kNotRun) {
        services_.claims.Release(claim_);
      } else {
        services_.claims.MarkOutcomeUnknown(claim_);
      }
    }
    co_await Refuse(verdict);
  }

  asio::awaitable<void> Refuse(const Verdict& verdict) {
    if (interrupt_->cause() == InterruptCause::kCallerGone) {
      exchange_.Abort();
      co_return;
    }
    co_await RespondWithVerdict(exchange_, request_.key, verdict, services_.metrics);
  }

  HttpExchange& exchange_;
  const AuthenticatedRequest& request_;
  const RequestHandlerContext& services_;
  const TimePoint deadline_;
  const MayNotRepeatRule* rule_;
  const bool repeatable_;
  std::shared_ptr<Interrupt> interrupt_;
  HttpRequest upstream_request_;
  std::string claim_key_;
  ClaimSubmissionId claim_ = 0;
  bool claim_dispatched_ = false;
  bool claim_is_void_ = false;
  bool may_have_run_ = false;
  int attempts_ = 0;
  std::vector<UpstreamId> tried_;
  Verdict last_verdict_;
};

}  // namespace

asio::awaitable<void> HandlePlainRequest(HttpExchange& exchange, AuthenticatedRequest request,
                                         RequestHandlerContext services) {
  PlainSession session(exchange, request, services);
  co_await session.Run();
}

}  // namespace savoryglade
