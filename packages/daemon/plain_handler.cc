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
constexpr unsigned kFirstServerErrorStatus = 500;
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;

// Headers that apply to one connection only, or that are set anew for the forwarded message.
constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "upgrade",    "transfer-encoding",  "content-length",      "host",
    "expect"};

TimePoint Now() { return std::chrono::steady_clock::now(); }

bool IsHopByHopHeader(boost::beast::string_view name) {
  return std::any_of(
      kHopByHopHeaders.begin(), kHopByHopHeaders.end(), [name](std::string_view known) {
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

// Returns a copy of a request for an upstream, with the given idempotency key and without the
// caller's bearer key and hop-by-hop headers.
HttpRequest MakeUpstreamRequest(const HttpRequest& request, const std::string& idempotency_key) {
  HttpRequest copy(request.method(), request.target(), 11);
  // Methods that the HTTP library does not list are known by their text alone.
  copy.method_string(request.method_string());
  for (const auto& field : request) {
    if (!IsHopByHopHeader(field.name_string()) && field.name() != http::field::authorization) {
      copy.insert(field.name_string(), field.value());
    }
  }
  copy.set("Idempotency-Key", idempotency_key);
  return copy;
}

// Result of one attempt: a response, or a verdict if there is none.
struct PlainAttemptResult {
  std::optional<HttpResponse> response;
  Verdict verdict;
  AttemptResult result = AttemptResult::kCompleted;
};

// Claims one plain request if it is may-not-repeat, runs its attempts and responds to its caller.
class PlainRequestHandler {
 public:
  PlainRequestHandler(HttpExchange& exchange, const AuthenticatedRequest& request,
                      const RequestHandlerContext& context)
      : exchange_(exchange),
        request_(request),
        context_(context),
        deadline_(Now() + request.service.deadline),
        may_not_repeat_rule_(FindMayNotRepeatRule(request.service, Method(), exchange.target())),
        repeatable_(may_not_repeat_rule_ == nullptr && IsRepeatable(exchange.request().method())),
        interrupt_(std::make_shared<Interrupt>()) {}

  asio::awaitable<void> Run() {
    std::string idempotency_key = request_.key.value();
    if (may_not_repeat_rule_ != nullptr) {
      claim_key_ = FindClaimKey(*may_not_repeat_rule_, exchange_.Header("Idempotency-Key"),
                                exchange_.request().body());
      if (claim_key_.empty()) {
        co_await RespondWithFailure({.reason = Reason::kIdempotencyKeyRequired});
        co_return;
      }
      idempotency_key = claim_key_;
    }
    const auto executor = co_await asio::this_coro::executor;
    const ActiveRequests::Registration registration(context_.active_requests, executor, interrupt_);
    PeerDisconnectMonitor disconnect_monitor(exchange_.stream());
    disconnect_monitor.OnDisconnect(
        [interrupt = interrupt_] { interrupt->Raise(InterruptCause::kCallerGone); });
    interrupt_->SetProbe([&disconnect_monitor] { disconnect_monitor.Check(); });
    context_.retries.OnRequest(request_.account.name, request_.service.name);
    upstream_request_ = MakeUpstreamRequest(exchange_.request(), idempotency_key);
    upstream_request_.body() = exchange_.TakeBody();
    upstream_request_.prepare_payload();
    while (!co_await RunAttempt()) {
    }
  }

 private:
  std::string_view Method() const {
    const auto method = exchange_.request().method_string();
    return {method.data(), method.size()};
  }

  // Waits for an upstream and runs one attempt there. Returns true if a response has been sent.
  asio::awaitable<bool> RunAttempt() {
    if (co_await RejectIfItCrashesUpstreams()) {
      co_return true;
    }
    const Ticket ticket = context_.dispatcher.NewTicket();
    const auto upstream = co_await AcquireUpstream(ticket);
    if (interrupt_->raised()) {
      if (upstream) {
        context_.dispatcher.Finish(ticket, upstream->name, {.result = AttemptResult::kCancelled});
      }
      context_.request_metrics.callers_gone_queued.Add(
          interrupt_->cause() == InterruptCause::kCallerGone ? 1 : 0);
      co_await FailRequest({.reason = Reason::kDraining, .retry_after = kRetryAfter});
      co_return true;
    }
    if (!upstream) {
      if (upstream.error().reason == Reason::kNoUpstream && !tried_upstreams_.empty()) {
        tried_upstreams_.clear();
        co_return co_await RetryOrFail(last_verdict_);
      }
      co_await FailRequest(upstream.error());
      co_return true;
    }
    // The request may have been refused while it was queued.
    if (co_await RejectIfItCrashesUpstreams()) {
      context_.dispatcher.Finish(ticket, upstream->name, {.result = AttemptResult::kCancelled});
      co_return true;
    }
    if (may_not_repeat_rule_ != nullptr && claim_submission_id_ == 0 && !co_await Claim()) {
      context_.dispatcher.Finish(ticket, upstream->name, {.result = AttemptResult::kCancelled});
      co_return true;
    }
    const TimePoint start = Now();
    context_.crashes.OnSent(request_.fingerprint, start);
    PlainAttemptResult attempt = co_await Send(*upstream);
    if (attempt.result == AttemptResult::kLost) {
      context_.crashes.OnLoss(request_.fingerprint, upstream->name, Now());
    } else if (attempt.response && attempt.response->result_int() < kFirstServerErrorStatus) {
      context_.crashes.OnAnswer(request_.fingerprint, Now());
    }
    context_.dispatcher.Finish(ticket, upstream->name,
                               {.result = attempt.result, .total = Now() - start});
    tried_upstreams_.push_back(upstream->name);
    if (attempt.response) {
      co_await Respond(std::move(*attempt.response));
      co_return true;
    }
    const bool may_retry = repeatable_ || attempt.verdict.run_state == RunState::kNotRun;
    if (!may_retry || interrupt_->raised() || claim_voided_ ||
        attempt.verdict.reason == Reason::kDeadlineExceeded) {
      co_await FailRequest(attempt.verdict);
      co_return true;
    }
    co_return co_await RetryOrFail(attempt.verdict);
  }

  // Rejects the request while it is refused. Returns true if a response has been sent.
  asio::awaitable<bool> RejectIfItCrashesUpstreams() {
    const Duration refusal = context_.crashes.RemainingRefusal(request_.fingerprint, Now());
    if (refusal == Duration::zero()) {
      co_return false;
    }
    co_await FailRequest({.reason = Reason::kRequestCrashesUpstreams, .retry_after = refusal});
    co_return true;
  }

  asio::awaitable<tl::expected<UpstreamConfig, Verdict>> AcquireUpstream(Ticket ticket) {
    const QueuedRequest queued{.ticket = ticket,
                               .account = request_.account.name,
                               .service = request_.service.name,
                               .predicted_cost = kPredictedSeconds,
                               .enqueued = Now(),
                               .deadline = deadline_};
    RouteRequest route{.service = request_.service.name,
                       .predicted_cost = kPredictedSeconds,
                       .excluded = tried_upstreams_};
    const InterruptScope scope(*interrupt_, [this, ticket] {
      context_.dispatcher.Cancel(ticket, {.reason = Reason::kCallerGone});
    });
    co_return co_await context_.dispatcher.Acquire(queued, std::move(route));
  }

  // Claims a may-not-repeat request. Returns false if the claim was not granted and a response has
  // been sent: the verdict, or the stored response of an earlier submission.
  asio::awaitable<bool> Claim() {
    ClaimSubmission submission{.identity = {.account = request_.account.name,
                                            .service = request_.service.name,
                                            .key = claim_key_},
                               .body = ComputeSha256(upstream_request_.body()),
                               .resend = exchange_.Header("Savoryglade-Resend") == "true"};
    ClaimResult claim_result = co_await context_.claims.Claim(std::move(submission), Now());
    if (claim_result.kind == ClaimResult::Kind::kGranted) {
      claim_submission_id_ = claim_result.submission_id;
      co_return true;
    }
    if (claim_result.kind == ClaimResult::Kind::kRefused) {
      co_await RespondWithFailure(claim_result.verdict);
      co_return false;
    }
    HttpHeaders headers = {{"Savoryglade-Request", request_.key.value()},
                           {"Savoryglade-Verdict", "ran"},
                           {"Savoryglade-Replayed", "true"}};
    if (!claim_result.response.content_type.empty()) {
      headers.emplace_back("Content-Type", claim_result.response.content_type);
    }
    co_await exchange_.Respond(claim_result.response.status, std::move(headers),
                               std::move(claim_result.response.body));
    co_return false;
  }

  asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Connect(const Endpoint& endpoint) {
    if (repeatable_) {
      co_return co_await context_.connections.Acquire(endpoint,
                                                      context_.upstream_options.connect_timeout);
    }
    // The upstream could close an idle connection while the request is sent, which would leave the
    // outcome unknown, so other requests get a new connection.
    co_return co_await HttpConnection::Connect(endpoint, context_.upstream_options.connect_timeout);
  }

  asio::awaitable<PlainAttemptResult> Send(const UpstreamConfig& upstream) {
    const Endpoint endpoint{.address = upstream.address, .port = upstream.port};
    auto connection = co_await Connect(endpoint);
    if (!connection || interrupt_->Check()) {
      co_return PlainAttemptResult{
          .verdict = {.run_state = RunState::kNotRun,
                      .reason = connection ? Reason::kDraining : Reason::kUpstreamLost,
                      .retry_after = kRetryAfter},
          .result = connection ? AttemptResult::kCancelled : AttemptResult::kConnectFailed};
    }
    upstream_request_.set(http::field::host, ToString(endpoint));
    if (may_not_repeat_rule_ != nullptr &&
        !context_.claims.BeginDispatch(claim_submission_id_, Now())) {
      claim_voided_ = true;
      co_return PlainAttemptResult{.verdict = {.run_state = RunState::kNotRun,
                                               .reason = Reason::kPlatformUnavailable,
                                               .retry_after = kRetryAfter},
                                   .result = AttemptResult::kCancelled};
    }
    claim_dispatched_ = may_not_repeat_rule_ != nullptr;
    co_return co_await SendAndReceive(std::move(*connection));
  }

  asio::awaitable<PlainAttemptResult> SendAndReceive(std::unique_ptr<HttpConnection> connection) {
    // A disconnected caller ends only a repeatable request. The outcome of any other request must
    // be recorded even if no caller waits for it.
    const InterruptScope scope(*interrupt_, [this, &connection] {
      if (repeatable_ || interrupt_->cause() == InterruptCause::kDrainLimit) {
        connection->Close();
      }
    });
    const auto remaining = [this] { return std::max<Duration>(deadline_ - Now(), 1ms); };
    const auto sent = co_await connection->Send(upstream_request_, remaining());
    Result<HttpResponse> response = tl::make_unexpected(Error{});
    if (sent) {
      response = co_await connection->ReadResponse(kMaxResponseBytes, remaining());
    }
    if (!response) {
      const bool deadline_passed = Now() >= deadline_;
      PlainAttemptResult attempt;
      attempt.result = deadline_passed ? AttemptResult::kTimedOut : AttemptResult::kLost;
      attempt.verdict = {
          .run_state = RunState::kMayHaveRun,
          .reason = deadline_passed ? Reason::kDeadlineExceeded : Reason::kUpstreamLost,
          .retry_after = kRetryAfter};
      if (interrupt_->raised()) {
        attempt.result = AttemptResult::kCancelled;
        attempt.verdict.reason = Reason::kDraining;
      }
      co_return attempt;
    }
    context_.connections.Release(std::move(connection));
    const auto verdict = response->find("Savoryglade-Verdict");
    if (verdict != response->end() && verdict->value() == "not_run") {
      co_return PlainAttemptResult{.verdict = {.run_state = RunState::kNotRun,
                                               .reason = Reason::kUpstreamError,
                                               .retry_after = kRetryAfter},
                                   .result = AttemptResult::kRefused};
    }
    co_return PlainAttemptResult{.response = std::move(*response)};
  }

  // Waits for the delay of a retry if the retry strategy allows one, else fails the request.
  // Returns true if a response has been sent.
  asio::awaitable<bool> RetryOrFail(const Verdict& verdict) {
    ++attempts_;
    last_verdict_ = verdict;
    may_have_run_ = may_have_run_ || verdict.run_state == RunState::kMayHaveRun;
    const FailedAttempt failure{.account = request_.account.name,
                                .service = request_.service.name,
                                .run_state = verdict.run_state,
                                .reason = verdict.reason,
                                .dispatched = verdict.run_state != RunState::kNotRun,
                                .may_not_repeat = may_not_repeat_rule_ != nullptr,
                                .repeatable = repeatable_,
                                .attempts = attempts_,
                                .deadline = deadline_};
    const RetryDecision decision = context_.retries.Decide(failure, Now());
    const Retry* retry = std::get_if<Retry>(&decision);
    if (retry == nullptr) {
      co_await FailRequest(std::get<GiveUp>(decision).verdict);
      co_return true;
    }
    context_.request_metrics.retries.Add();
    if (claim_dispatched_) {
      // The upstream has reported that it did not run the request. A claim allows one dispatch, so
      // the next attempt needs a new claim.
      context_.claims.Release(claim_submission_id_);
      claim_submission_id_ = 0;
      claim_dispatched_ = false;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, retry->delay);
    const InterruptScope scope(*interrupt_, [&timer] { timer.cancel(); });
    if (!interrupt_->raised()) {
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return false;
  }

  // Stores the response of a request that ran in its claim and relays it to the caller.
  asio::awaitable<void> Respond(HttpResponse response) {
    const auto type = response.find(http::field::content_type);
    if (claim_submission_id_ != 0) {
      context_.claims.Complete(
          claim_submission_id_,
          {.status = response.result_int(),
           .content_type = type == response.end() ? "" : std::string(type->value()),
           .body = response.body()});
    }
    if (interrupt_->cause() == InterruptCause::kCallerGone) {
      context_.request_metrics.callers_gone_running.Add();
      exchange_.Abort();
      co_return;
    }
    HttpHeaders headers;
    for (const auto& field : response) {
      if (!IsHopByHopHeader(field.name_string())) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
      }
    }
    headers.emplace_back("Savoryglade-Request", request_.key.value());
    headers.emplace_back("Savoryglade-Verdict", "ran");
    co_await exchange_.Respond(response.result_int(), std::move(headers),
                               std::move(response.body()));
  }

  // Ends the claim of a request that got no response and sends the verdict.
  asio::awaitable<void> FailRequest(Verdict verdict) {
    if (may_have_run_) {
      verdict.run_state = RunState::kMayHaveRun;
    }
    if (claim_submission_id_ != 0) {
      if (!claim_dispatched_) {
        verdict = context_.claims.GiveUp(claim_submission_id_, verdict);
      } else if (verdict.run_state == RunState::kNotRun) {
        context_.claims.Release(claim_submission_id_);
      } else {
        context_.claims.MarkOutcomeUnknown(claim_submission_id_);
      }
    }
    co_await RespondWithFailure(verdict);
  }

  // Sends a verdict, or closes the connection if the caller has disconnected.
  asio::awaitable<void> RespondWithFailure(const Verdict& verdict) {
    if (interrupt_->cause() == InterruptCause::kCallerGone) {
      exchange_.Abort();
      co_return;
    }
    co_await RespondWithVerdict(exchange_, request_.key, verdict, context_.metrics);
  }

  HttpExchange& exchange_;
  const AuthenticatedRequest& request_;
  const RequestHandlerContext& context_;
  const TimePoint deadline_;
  const MayNotRepeatRule* may_not_repeat_rule_;
  const bool repeatable_;
  std::shared_ptr<Interrupt> interrupt_;
  HttpRequest upstream_request_;
  std::string claim_key_;
  // Zero while the request holds no claim.
  ClaimSubmissionId claim_submission_id_ = 0;
  bool claim_dispatched_ = false;
  // Set if the dispatch was denied; the request must then never be dispatched.
  bool claim_voided_ = false;
  bool may_have_run_ = false;
  int attempts_ = 0;
  std::vector<UpstreamId> tried_upstreams_;
  Verdict last_verdict_;
};

}  // namespace

asio::awaitable<void> HandlePlainRequest(HttpExchange& exchange, AuthenticatedRequest request,
                                         RequestHandlerContext context) {
  PlainRequestHandler handler(exchange, request, context);
  co_await handler.Run();
}

}  // namespace savoryglade
