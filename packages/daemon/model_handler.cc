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

constexpr double kSecondsPerToken = 0.02;
constexpr Duration kRetryAfter = 1s;

TimePoint Now() { return std::chrono::steady_clock::now(); }

// Carries one request through its attempts.
class ModelSession {
 public:
  ModelSession(HttpExchange& exchange, const AuthenticatedRequest& request, const ChatRequest& chat,
               const RequestDigests& digests, std::int64_t first_position,
               const RequestHandlerContext& services)
      : exchange_(exchange),
        request_(request),
        chat_(chat),
        digests_(digests),
        services_(services),
        deadline_(Now() + request.service.deadline),
        model_request_{.chat = chat, .digests = digests, .deadline = deadline_},
        writer_(exchange, request.key, chat, first_position),
        interrupt_(std::make_shared<Interrupt>()) {}

  asio::awaitable<void> Run() {
    const auto executor = co_await asio::this_coro::executor;
    const ActiveRequests::Registration registration(services_.active_requests, executor,
                                                    interrupt_);
    PeerDisconnectMonitor watch(exchange_.stream());
    watch.OnDisconnect([interrupt = interrupt_] { interrupt->Raise(InterruptCause::kCallerGone); });
    services_.retries.OnRequest(request_.account.name, request_.service.name);
    bool finished = false;
    if (request_.has_idempotency_key) {
      finished = co_await TryResume();
    }
    while (!finished) {
      finished = co_await TryOnce();
    }
  }

 private:
  // Takes up the stream that this or another daemon has started for the same request. Returns true
  // if the request has been answered.
  asio::awaitable<bool> TryResume() {
    const std::optional<StreamRecord> record = co_await services_.streams.Find(digests_.key);
    if (!record) {
      co_return false;
    }
    if (record->content_digest != digests_.content) {
      co_await Refuse({.reason = Reason::kIdempotencyKeyReused});
      co_return true;
    }
    const UpstreamConfig* upstream = request_.configuration->FindUpstream(record->upstream);
    if (upstream == nullptr || upstream->service != request_.service.name) {
      co_return false;
    }
    ModelAttempt attempt(services_, *upstream, model_request_, writer_, *interrupt_);
    const ModelAttemptStatus end = co_await attempt.Resume();
    co_return co_await TakeEnd(end, attempt.verdict(), *upstream, false);
  }

  // Runs one attempt at an upstream of the scheduler's and router's choice. Returns true if the
  // request has been answered.
  asio::awaitable<bool> TryOnce() {
    const Ticket ticket = services_.dispatcher.NewTicket();
    const auto upstream = co_await AcquireUpstream(ticket);
    if (interrupt_->raised()) {
      if (upstream) {
        services_.dispatcher.Finish(ticket, upstream->name, {.result = AttemptResult::kCancelled});
      }
      services_.request_metrics.callers_gone_queued.Add(
          interrupt_->cause() == InterruptCause::kCallerGone ? 1 : 0);
      co_await AnswerInterrupted(
          {.run_state = state_, .reason = Reason::kDraining, .retry_after = kRetryAfter});
      co_return true;
    }
    if (!upstream) {
      if (upstream.error().reason == Reason::kNoUpstream && !tried_.empty()) {
        // All others are in use or unusable, so those that failed may be tried again.
        tried_.clear();
        co_return co_await PrepareRetry(last_verdict_);
      }
      Verdict verdict = upstream.error();
      verdict.run_state = state_;
      co_await Refuse(verdict);
      co_return true;
    }
    if (abandoned_ && abandoned_->name == upstream->name) {
      // The attempt takes up what the upstream still holds.
      abandoned_.reset();
    }
    CancelAbandoned();
    services_.streams.Put({.key_digest = digests_.key,
                           .content_digest = digests_.content,
                           .upstream = upstream->name,
                           .generation = digests_.generation});
    ModelAttempt attempt(services_, *upstream, model_request_, writer_, *interrupt_);
    const ModelAttemptStatus end = co_await attempt.Generate();
    services_.dispatcher.Finish(ticket, upstream->name, attempt.outcome());
    tried_.push_back(upstream->name);
    co_return co_await TakeEnd(end, attempt.verdict(), *upstream, true);
  }

  asio::awaitable<tl::expected<UpstreamConfig, Verdict>> AcquireUpstream(Ticket ticket) {
    const QueuedRequest queued{.ticket = ticket,
                               .account = request_.account.name,
                               .service = request_.service.name,
                               .predicted_cost = kSecondsPerToken * chat_.max_tokens,
                               .enqueued = Now(),
                               .deadline = deadline_,
                               .request_bytes = chat_.prompt.size(),
                               .max_tokens = chat_.max_tokens,
                               .is_retry = attempts_ > 0,
                               .run_state = state_};
    RouteRequest route{.service = request_.service.name,
                       .predicted_cost = queued.predicted_cost,
                       .prefix_hashes = PrefixHashes(chat_.prompt),
                       .excluded = tried_,
                       .attempt = ticket,
                       .repeatable = true};
    const InterruptScope scope(*interrupt_, [this, ticket] {
      services_.dispatcher.Cancel(ticket, {.reason = Reason::kCallerGone});
    });
    co_return co_await services_.dispatcher.Acquire(queued, std::move(route));
  }

  // Acts on the end of an attempt. Returns true if the request has been answered.
  asio::awaitable<bool> TakeEnd(ModelAttemptStatus end, const Verdict& verdict,
                                const UpstreamConfig& upstream, bool counts) {
    if (end == ModelAttemptStatus::kComplete) {
      services_.streams.Put({.key_digest = digests_.key,
                             .content_digest = digests_.content,
                             .upstream = upstream.name,
                             .generation = digests_.generation,
                             .ended = true});
      co_return true;
    }
    if (verdict.run_state == RunState::kMayHaveRun) {
      state_ = RunState::kMayHaveRun;
    }
    const auto executor = co_await asio::this_coro::executor;
    if (end == ModelAttemptStatus::kInterrupted) {
      const bool gone = interrupt_->cause() == InterruptCause::kCallerGone;
      services_.request_metrics.callers_gone_running.Add(gone ? 1 : 0);
      // A caller that chose its key can resume, so the engine keeps its stream for a while.
      if (gone && !request_.has_idempotency_key) {
        CancelGeneration(services_, upstream, digests_.generation, executor);
      }
      co_await AnswerInterrupted(
          {.run_state = state_, .reason = Reason::kDraining, .retry_after = kRetryAfter});
      co_return true;
    }
    if (end == ModelAttemptStatus::kUnknownGeneration && !counts) {
      co_return false;
    }
    if (verdict.run_state == RunState::kMayHaveRun) {
      abandoned_ = upstream;
    }
    if (verdict.reason == Reason::kDeadlineExceeded) {
      co_await Refuse(verdict);
      co_return true;
    }
    attempts_ += counts ? 1 : 0;
    if (!counts) {
      co_return false;
    }
    co_return co_await PrepareRetry(verdict);
  }

  // Waits for the next attempt if the budget allows one, else answers. Returns true if the request
  // has been answered.
  asio::awaitable<bool> PrepareRetry(const Verdict& verdict) {
    last_verdict_ = verdict;
    const FailedAttempt failure{.account = request_.account.name,
                                .service = request_.service.name,
                                .run_state = verdict.run_state,
                                .reason = verdict.reason,
                                .dispatched = verdict.run_state != RunState::kNotRun,
                                .repeatable = true,
                                .attempts = std::max(attempts_, 1),
                                .deadline = deadline_};
    const RetryDecision decision = services_.retries.Decide(failure, Now());
    const Retry* retry = std::get_if<Retry>(&decision);
    if (retry == nullptr) {
      Verdict last = std::get<GiveUp>(decision).verdict;
      last.run_state = state_;
      co_await Refuse(last);
      co_return true;
    }
    services_.request_metrics.retries.Add();
    services_.request_metrics.continued_streams.Add(writer_.next_position() > 0 ? 1 : 0);
    asio::steady_timer timer(co_await asio::this_coro::executor, retry->delay);
    const InterruptScope scope(*interrupt_, [&timer] { timer.cancel(); });
    if (!interrupt_->raised()) {
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return false;
  }

  // Answers a request that was ended from outside.
  asio::awaitable<void> AnswerInterrupted(const Verdict& verdict) {
    if (interrupt_->cause() == InterruptCause::kCallerGone) {
      exchange_.Abort();
      co_return;
    }
    if (!writer_.started()) {
      co_await Refuse(verdict);
      co_return;
    }
    co_await services_.streams.Confirm(digests_.key);
    services_.request_metrics.resume_events.Add();
    co_await writer_.FinishWithResume();
  }

  // Cancels the generation of a failed attempt. This waits until the upstream of the next attempt
  // is known, because at the same upstream it would cancel that attempt as well.
  void CancelAbandoned() {
    if (abandoned_) {
      CancelGeneration(services_, *abandoned_, digests_.generation,
                       exchange_.stream().get_executor());
      abandoned_.reset();
    }
  }

  // Answers a request that gets no whole answer.
  asio::awaitable<void> Refuse(const Verdict& verdict) {
    CancelAbandoned();
    if (writer_.started()) {
      services_.metrics
          .GetCounter("savoryglade_streams_ended_early_total",
                      {{"reason", std::string(ToString(verdict.reason))}})
          .Add();
      co_await writer_.FinishWithVerdict(verdict);
      co_return;
    }
    co_await RespondWithVerdict(exchange_, request_.key, verdict, services_.metrics);
  }

  HttpExchange& exchange_;
  const AuthenticatedRequest& request_;
  const ChatRequest& chat_;
  const RequestDigests& digests_;
  const RequestHandlerContext& services_;
  const TimePoint deadline_;
  const ModelRequest model_request_;
  ResponseWriter writer_;
  std::shared_ptr<Interrupt> interrupt_;
  std::vector<UpstreamId> tried_;
  // Upstream that may still generate for an attempt that failed.
  std::optional<UpstreamConfig> abandoned_;
  int attempts_ = 0;
  // The least that can be promised after all attempts so far.
  RunState state_ = RunState::kNotRun;
  Verdict last_verdict_;
};

}  // namespace

asio::awaitable<void> HandleModelRequest(HttpExchange& exchange, AuthenticatedRequest request,
                                         ChatRequest chat, RequestHandlerContext services) {
  const std::optional<std::int64_t> position =
      chat.stream ? ParseResumePosition(exchange.Header("Last-Event-ID"), request.key) : 0;
  if (!position) {
    const Verdict malformed{.reason = Reason::kMalformedRequest};
    co_await RespondWithVerdict(exchange, request.key, malformed, services.metrics);
    co_return;
  }
  const RequestDigests digests =
      MakeDigests(request.account.name, request.service.name, request.key, chat);
  // Its prompt is in the chat request; the rest is not needed while the answer runs.
  exchange.TakeBody();
  ModelSession session(exchange, request, chat, digests, *position, services);
  co_await session.Run();
}

}  // namespace savoryglade
