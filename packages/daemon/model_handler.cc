#include "daemon/model_handler.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "core/prefix_hash.h"
#include "daemon/model_attempt.h"
#include "daemon/request_identity.h"
#include "daemon/response_writer.h"
#include "net/peer_disconnect_monitor.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

constexpr double kPredictedSecondsPerToken = 0.02;
constexpr Duration kRetryAfter = 1s;

TimePoint Now() { return std::chrono::steady_clock::now(); }

// Runs the attempts of one model request and responds to its caller.
class ModelRequestHandler {
 public:
  ModelRequestHandler(HttpExchange& exchange, const AuthenticatedRequest& request,
                      const ChatRequest& chat, const RequestDigests& digests,
                      std::int64_t first_position, const RequestHandlerContext& context)
      : exchange_(exchange),
        request_(request),
        chat_(chat),
        digests_(digests),
        context_(context),
        deadline_(Now() + request.service.deadline),
        model_request_{.chat = chat, .digests = digests, .deadline = deadline_},
        writer_(exchange, request.key, chat, first_position),
        interrupt_(std::make_shared<Interrupt>()) {}

  asio::awaitable<void> Run() {
    const auto executor = co_await asio::this_coro::executor;
    const ActiveRequests::Registration registration(context_.active_requests, executor, interrupt_);
    PeerDisconnectMonitor disconnect_monitor(exchange_.stream());
    disconnect_monitor.OnDisconnect(
        [interrupt = interrupt_] { interrupt->Raise(InterruptCause::kCallerGone); });
    interrupt_->SetProbe([&disconnect_monitor] { disconnect_monitor.Check(); });
    context_.retries.OnRequest(request_.account.name, request_.service.name);
    bool finished = false;
    if (request_.has_idempotency_key) {
      finished = co_await ResumeStream();
    }
    while (!finished) {
      finished = co_await RunAttempt();
    }
  }

 private:
  // Resumes the stream that this or another daemon has started for the same request. Returns true
  // if a response has been sent.
  asio::awaitable<bool> ResumeStream() {
    const std::optional<StreamRecord> record = co_await context_.streams.Find(digests_.key);
    if (!record) {
      co_return false;
    }
    if (record->content_digest != digests_.content) {
      co_await FailRequest({.reason = Reason::kIdempotencyKeyReused});
      co_return true;
    }
    const UpstreamConfig* upstream = request_.configuration->FindUpstream(record->upstream);
    if (upstream == nullptr || upstream->service != request_.service.name) {
      co_return false;
    }
    ModelAttempt attempt(context_, *upstream, model_request_, writer_, *interrupt_);
    const ModelAttemptStatus status = co_await attempt.Resume();
    co_return co_await HandleAttemptStatus(status, attempt.verdict(), *upstream, false);
  }

  // Waits for an upstream that the scheduler and the router select, and runs one attempt there.
  // Returns true if a response has been sent.
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
      co_await RespondToInterrupt(
          {.run_state = run_state_, .reason = Reason::kDraining, .retry_after = kRetryAfter});
      co_return true;
    }
    if (!upstream) {
      if (upstream.error().reason == Reason::kNoUpstream && !tried_upstreams_.empty()) {
        // No other upstream is available, so the ones that failed become eligible again.
        tried_upstreams_.clear();
        co_return co_await RetryOrFail(last_verdict_);
      }
      Verdict verdict = upstream.error();
      verdict.run_state = run_state_;
      co_await FailRequest(verdict);
      co_return true;
    }
    // The request may have been refused while it was queued.
    if (co_await RejectIfItCrashesUpstreams()) {
      context_.dispatcher.Finish(ticket, upstream->name, {.result = AttemptResult::kCancelled});
      co_return true;
    }
    if (upstream_to_cancel_ && upstream_to_cancel_->name == upstream->name) {
      // The new attempt attaches to the generation that the upstream still holds.
      upstream_to_cancel_.reset();
    }
    CancelFailedGeneration();
    context_.streams.Put({.key_digest = digests_.key,
                          .content_digest = digests_.content,
                          .upstream = upstream->name,
                          .generation = digests_.generation});
    ModelAttempt attempt(context_, *upstream, model_request_, writer_, *interrupt_);
    context_.crashes.OnSent(request_.fingerprint, Now());
    const ModelAttemptStatus status = co_await attempt.Generate();
    if (status == ModelAttemptStatus::kComplete) {
      context_.crashes.OnAnswer(request_.fingerprint, Now());
    } else if (attempt.outcome().result == AttemptResult::kLost) {
      context_.crashes.OnLoss(request_.fingerprint, upstream->name, Now());
    }
    context_.dispatcher.Finish(ticket, upstream->name, attempt.outcome());
    tried_upstreams_.push_back(upstream->name);
    co_return co_await HandleAttemptStatus(status, attempt.verdict(), *upstream, true);
  }

  // Rejects the request while it is refused. Returns true if a response has been sent.
  asio::awaitable<bool> RejectIfItCrashesUpstreams() {
    const Duration refusal = context_.crashes.RemainingRefusal(request_.fingerprint, Now());
    if (refusal == Duration::zero()) {
      co_return false;
    }
    co_await FailRequest({.run_state = run_state_,
                          .reason = Reason::kRequestCrashesUpstreams,
                          .retry_after = refusal});
    co_return true;
  }

  asio::awaitable<tl::expected<UpstreamConfig, Verdict>> AcquireUpstream(Ticket ticket) {
    const QueuedRequest queued{.ticket = ticket,
                               .account = request_.account.name,
                               .service = request_.service.name,
                               .predicted_cost = kPredictedSecondsPerToken * chat_.max_tokens,
                               .enqueued = Now(),
                               .deadline = deadline_,
                               .request_bytes = chat_.prompt.size(),
                               .max_tokens = chat_.max_tokens,
                               .is_retry = attempts_ > 0,
                               .run_state = run_state_};
    RouteRequest route{.service = request_.service.name,
                       .predicted_cost = queued.predicted_cost,
                       .prefix_hashes = PrefixHashes(chat_.prompt),
                       .excluded = tried_upstreams_,
                       .attempt = ticket,
                       .repeatable = true};
    const InterruptScope scope(*interrupt_, [this, ticket] {
      context_.dispatcher.Cancel(ticket, {.reason = Reason::kCallerGone});
    });
    co_return co_await context_.dispatcher.Acquire(queued, std::move(route));
  }

  // Updates the state of the request after an attempt, and responds or prepares a retry. An attempt
  // that only resumes a stream is not counted. Returns true if a response has been sent.
  asio::awaitable<bool> HandleAttemptStatus(ModelAttemptStatus status, const Verdict& verdict,
                                            const UpstreamConfig& upstream, bool is_counted) {
    if (status == ModelAttemptStatus::kComplete) {
      context_.streams.Put({.key_digest = digests_.key,
                            .content_digest = digests_.content,
                            .upstream = upstream.name,
                            .generation = digests_.generation,
                            .ended = true});
      co_return true;
    }
    if (verdict.run_state == RunState::kMayHaveRun) {
      run_state_ = RunState::kMayHaveRun;
    }
    const auto executor = co_await asio::this_coro::executor;
    if (status == ModelAttemptStatus::kInterrupted) {
      const bool disconnected = interrupt_->cause() == InterruptCause::kCallerGone;
      context_.request_metrics.callers_gone_running.Add(disconnected ? 1 : 0);
      // A caller that sent an idempotency key can resume, so its generation is kept for a while.
      if (disconnected && !request_.has_idempotency_key) {
        CancelGeneration(context_, upstream, digests_.generation, executor);
      }
      co_await RespondToInterrupt(
          {.run_state = run_state_, .reason = Reason::kDraining, .retry_after = kRetryAfter});
      co_return true;
    }
    if (status == ModelAttemptStatus::kUnknownGeneration && !is_counted) {
      co_return false;
    }
    if (verdict.run_state == RunState::kMayHaveRun) {
      upstream_to_cancel_ = upstream;
    }
    if (verdict.reason == Reason::kDeadlineExceeded) {
      co_await FailRequest(verdict);
      co_return true;
    }
    attempts_ += is_counted ? 1 : 0;
    if (!is_counted) {
      co_return false;
    }
    co_return co_await RetryOrFail(verdict);
  }

  // Waits for the delay of a retry if the retry strategy allows one, else fails the request.
  // Returns true if a response has been sent.
  asio::awaitable<bool> RetryOrFail(const Verdict& verdict) {
    last_verdict_ = verdict;
    const FailedAttempt failure{.account = request_.account.name,
                                .service = request_.service.name,
                                .run_state = verdict.run_state,
                                .reason = verdict.reason,
                                .dispatched = verdict.run_state != RunState::kNotRun,
                                .repeatable = true,
                                .attempts = std::max(attempts_, 1),
                                .deadline = deadline_};
    const RetryDecision decision = context_.retries.Decide(failure, Now());
    const Retry* retry = std::get_if<Retry>(&decision);
    if (retry == nullptr) {
      Verdict final_verdict = std::get<GiveUp>(decision).verdict;
      final_verdict.run_state = run_state_;
      co_await FailRequest(final_verdict);
      co_return true;
    }
    context_.request_metrics.retries.Add();
    context_.request_metrics.continued_streams.Add(writer_.next_position() > 0 ? 1 : 0);
    asio::steady_timer timer(co_await asio::this_coro::executor, retry->delay);
    const InterruptScope scope(*interrupt_, [&timer] { timer.cancel(); });
    if (!interrupt_->raised()) {
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return false;
  }

  // Ends a request that was interrupted: closes the connection if the caller has disconnected, else
  // sends the verdict or, in a started stream, a resume event.
  asio::awaitable<void> RespondToInterrupt(const Verdict& verdict) {
    if (interrupt_->cause() == InterruptCause::kCallerGone) {
      exchange_.Abort();
      co_return;
    }
    if (!writer_.started()) {
      co_await FailRequest(verdict);
      co_return;
    }
    co_await context_.streams.Confirm(digests_.key);
    context_.request_metrics.resume_events.Add();
    co_await writer_.FinishWithResume();
  }

  // Cancels the generation of a failed attempt. To be called once the upstream of the next attempt
  // is known: at the same upstream, the cancellation would also end the next attempt, which has the
  // same generation id.
  void CancelFailedGeneration() {
    if (upstream_to_cancel_) {
      CancelGeneration(context_, *upstream_to_cancel_, digests_.generation,
                       exchange_.stream().get_executor());
      upstream_to_cancel_.reset();
    }
  }

  // Sends the verdict of a request that gets no complete response, as an event if its stream has
  // started.
  asio::awaitable<void> FailRequest(const Verdict& verdict) {
    CancelFailedGeneration();
    if (writer_.started()) {
      context_.metrics
          .GetCounter("savoryglade_streams_ended_early_total",
                      {{"reason", std::string(ToString(verdict.reason))}})
          .Add();
      co_await writer_.FinishWithVerdict(verdict);
      co_return;
    }
    co_await RespondWithVerdict(exchange_, request_.key, verdict, context_.metrics);
  }

  HttpExchange& exchange_;
  const AuthenticatedRequest& request_;
  const ChatRequest& chat_;
  const RequestDigests& digests_;
  const RequestHandlerContext& context_;
  const TimePoint deadline_;
  const ModelRequest model_request_;
  ResponseWriter writer_;
  std::shared_ptr<Interrupt> interrupt_;
  std::vector<UpstreamId> tried_upstreams_;
  // Upstream of a failed attempt whose generation may still run, until it is cancelled or reused.
  std::optional<UpstreamConfig> upstream_to_cancel_;
  int attempts_ = 0;
  // kMayHaveRun once any attempt may have run.
  RunState run_state_ = RunState::kNotRun;
  Verdict last_verdict_;
};

}  // namespace

asio::awaitable<void> HandleModelRequest(HttpExchange& exchange, AuthenticatedRequest request,
                                         ChatRequest chat, RequestHandlerContext context) {
  const std::optional<std::int64_t> position =
      chat.stream ? ParseResumePosition(exchange.Header("Last-Event-ID"), request.key) : 0;
  if (!position) {
    const Verdict malformed{.reason = Reason::kMalformedRequest};
    co_await RespondWithVerdict(exchange, request.key, malformed, context.metrics);
    co_return;
  }
  const RequestDigests digests =
      ComputeDigests(request.account.name, request.service.name, request.key, chat);
  // Frees the body: the chat request holds the prompt, and nothing else of the body is needed.
  exchange.TakeBody();
  ModelRequestHandler handler(exchange, request, chat, digests, *position, context);
  co_await handler.Run();
}

}  // namespace savoryglade
