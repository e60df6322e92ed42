#include "daemon/model_handler.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <exception>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "core/prefix_hash.h"
#include "daemon/model_attempt.h"
#include "daemon/placed_attempt.h"
#include "daemon/request_identity.h"
#include "daemon/response_writer.h"
#include "net/log_exception.h"
#include "net/peer_disconnect_monitor.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

constexpr double kPredictedSecondsPerToken = 0.02;
constexpr Duration kRetryAfter = 1s;

TimePoint Now() { return std::chrono::steady_clock::now(); }

// Runs the attempts of one model request and responds to its caller. A silent upstream may be sound
// and go on, so its attempt is given up only for another one whose first event has arrived, or if
// the upstream does not answer a health check either.
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
        interrupt_(std::make_shared<Interrupt>()),
        check_timer_(exchange.stream().get_executor()),
        change_(exchange.stream().get_executor(), TimePoint::max()) {}

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
    co_return co_await RunToEnd(Place(*upstream, 0, MakeAttemptInterrupt()), true);
  }

  // Waits for an upstream that the scheduler and the router select, and runs one attempt there.
  // Returns true if a response has been sent.
  asio::awaitable<bool> RunAttempt() {
    if (co_await RejectIfItCrashesUpstreams()) {
      co_return true;
    }
    const Ticket ticket = context_.dispatcher.NewTicket();
    const auto upstream =
        co_await AcquireUpstream(ticket, tried_upstreams_, *interrupt_, attempts_ > 0);
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
    context_.crashes.OnSent(request_.fingerprint, Now());
    co_return co_await RunToEnd(Place(*upstream, ticket, MakeAttemptInterrupt()), false);
  }

  // Returns an interrupt for an attempt, which looks for causes that end the request as well.
  std::shared_ptr<Interrupt> MakeAttemptInterrupt() {
    auto interrupt = std::make_shared<Interrupt>();
    interrupt->SetProbe([request_interrupt = interrupt_] { request_interrupt->Check(); });
    return interrupt;
  }

  std::shared_ptr<PlacedAttempt> Place(const UpstreamConfig& upstream, Ticket ticket,
                                       std::shared_ptr<Interrupt> interrupt) {
    return std::make_shared<PlacedAttempt>(context_, upstream, ticket, model_request_, writer_,
                                           std::move(interrupt));
  }

  // Runs an attempt and those that take over from it. Returns true if a response has been sent.
  asio::awaitable<bool> RunToEnd(std::shared_ptr<PlacedAttempt> placed, bool is_resumption) {
    current_ = placed;
    const InterruptScope scope(*interrupt_, [this] { InterruptAttempts(interrupt_->cause()); });
    bool has_begun = false;
    while (true) {
      ModelAttemptStatus status = ModelAttemptStatus::kFailed;
      std::exception_ptr exception;
      try {
        status = co_await RunCurrent(is_resumption, has_begun);
      } catch (...) {
        exception = std::current_exception();
      }
      const bool needs_backup = !exception && status == ModelAttemptStatus::kFailed &&
                                placed->attempt.verdict().reason != Reason::kDeadlineExceeded;
      std::shared_ptr<PlacedAttempt> backup = co_await FinishBackup(needs_backup);
      current_.reset();
      if (exception) {
        std::rethrow_exception(exception);
      }
      if (status == ModelAttemptStatus::kInterrupted) {
        // An attempt that nothing else has interrupted could not write to the caller.
        interrupt_->Raise(InterruptCause::kCallerGone);
      }
      if (!is_resumption) {
        RecordEnd(*placed, status);
        tried_upstreams_.push_back(placed->upstream.name);
      }
      if (backup == nullptr) {
        co_return co_await HandleAttemptStatus(status, placed->attempt.verdict(), placed->upstream,
                                               !is_resumption);
      }
      attempts_ += is_resumption ? 0 : 1;
      TakeOver(*placed, *backup);
      placed = std::move(backup);
      current_ = placed;
      is_resumption = false;
      has_begun = true;
    }
  }

  // Runs the current attempt, whose silence is watched.
  asio::awaitable<ModelAttemptStatus> RunCurrent(bool is_resumption, bool has_begun) {
    const std::shared_ptr<PlacedAttempt> placed = current_;
    placed->attempt.SetBytesCallback([this] { OnBytes(); });
    CheckAfter(context_.upstream_options.silence_timeout);
    std::optional<ModelAttemptStatus> end;
    if (is_resumption) {
      end = co_await placed->attempt.BeginResumption();
    } else if (!has_begun) {
      end = co_await placed->attempt.BeginGeneration();
    }
    if (!end) {
      end = co_await placed->attempt.Relay();
    }
    co_return *end;
  }

  // Prepares the request for an attempt that goes on in place of another one.
  void TakeOver(const PlacedAttempt& from, const PlacedAttempt& to) {
    run_state_ = RunState::kMayHaveRun;
    if (from.upstream.name != to.upstream.name) {
      CancelGeneration(context_, from.upstream, digests_.generation,
                       exchange_.stream().get_executor());
    }
    context_.streams.Put({.key_digest = digests_.key,
                          .content_digest = digests_.content,
                          .upstream = to.upstream.name,
                          .generation = digests_.generation});
    context_.request_metrics.continued_streams.Add(writer_.next_position() > 0 ? 1 : 0);
  }

  // Records the outcome of an attempt that has ended, and releases its slot.
  void RecordEnd(PlacedAttempt& placed, ModelAttemptStatus status) {
    const AttemptOutcome outcome = placed.attempt.outcome();
    if (status == ModelAttemptStatus::kComplete) {
      context_.crashes.OnAnswer(request_.fingerprint, Now());
    } else if (outcome.result == AttemptResult::kLost) {
      context_.crashes.OnLoss(request_.fingerprint, placed.upstream.name, Now());
    }
    if (placed.ticket != 0) {
      context_.dispatcher.Finish(placed.ticket, placed.upstream.name, outcome);
    }
  }

  void InterruptAttempts(InterruptCause cause) {
    if (current_ != nullptr) {
      current_->interrupt->Raise(cause);
    }
    CancelBackup(cause);
  }

  void OnBytes() {
    current_->is_silence_recorded = false;
    CancelBackup(InterruptCause::kSuperseded);
  }

  void CancelBackup(InterruptCause cause) {
    if (backup_interrupt_ != nullptr && !is_backup_at_hand_) {
      backup_interrupt_->Raise(cause);
    }
  }

  void CheckAfter(Duration time) {
    check_timer_.expires_after(std::max<Duration>(time, 1ms));
    check_timer_.async_wait(
        [this, weak = std::weak_ptr(current_)](boost::system::error_code error) {
          const std::shared_ptr<PlacedAttempt> watched = weak.lock();
          if (!error && watched != nullptr && watched == current_) {
            CheckSilence();
          }
        });
  }

  // Begins another attempt beside the current one if that is silent, and ends one that is silent as
  // well.
  void CheckSilence() {
    const Duration limit = context_.upstream_options.silence_timeout;
    Duration next_check = limit - current_->attempt.Silence();
    if (next_check <= Duration::zero()) {
      next_check = limit;
      if (backup_interrupt_ == nullptr) {
        RecordSilence(*current_);
        backup_interrupt_ = MakeAttemptInterrupt();
        asio::co_spawn(check_timer_.get_executor(), RunBackup(backup_interrupt_),
                       [this](const std::exception_ptr& exception) {
                         LogException("backup attempt")(exception);
                         backup_interrupt_.reset();
                         change_.cancel();
                       });
      }
    }
    if (backup_ != nullptr && !is_backup_at_hand_) {
      const Duration silence = backup_->attempt.Silence();
      if (silence >= limit) {
        RecordSilence(*backup_);
        backup_->interrupt->Raise(InterruptCause::kUpstreamSilent);
      } else {
        next_check = std::min(next_check, limit - silence);
      }
    }
    CheckAfter(next_check);
  }

  void RecordSilence(PlacedAttempt& placed) {
    if (!std::exchange(placed.is_silence_recorded, true)) {
      context_.request_metrics.silent_upstreams.Add();
    }
  }

  // Makes one attempt beside the current one, whose upstream is silent, until its first event has
  // arrived. Ends the current attempt then, or if its upstream does not answer a health check.
  asio::awaitable<void> RunBackup(std::shared_ptr<Interrupt> interrupt) {
    const bool is_sound = co_await AnswersHealthCheck(context_, current_->upstream, *interrupt);
    if (interrupt->raised()) {
      co_return;
    }
    if (!is_sound) {
      current_->interrupt->Raise(InterruptCause::kUpstreamSilent);
      co_return;
    }
    if (!ConsumeBackup()) {
      co_return;
    }
    const std::shared_ptr<PlacedAttempt> backup = co_await PlaceBackup(interrupt);
    if (interrupt->raised()) {
      if (backup->ticket != 0) {
        context_.dispatcher.Finish(backup->ticket, backup->upstream.name,
                                   {.result = AttemptResult::kCancelled});
      }
      co_return;
    }
    backup_ = backup;
    context_.request_metrics.retries.Add();
    context_.crashes.OnSent(request_.fingerprint, Now());
    const std::optional<ModelAttemptStatus> end = co_await backup->attempt.BeginGeneration();
    if (!end && !interrupt->raised()) {
      is_backup_at_hand_ = true;
      current_->interrupt->Raise(InterruptCause::kUpstreamSilent);
      co_return;
    }
    EndBackup(end ? *end : backup->attempt.Withdraw());
  }

  // Records the end of an attempt beside the current one that does not take over.
  void EndBackup(ModelAttemptStatus status) {
    const std::shared_ptr<PlacedAttempt> backup = std::exchange(backup_, nullptr);
    RecordEnd(*backup, status);
    attempts_ += status == ModelAttemptStatus::kInterrupted ? 0 : 1;
    // At the same upstream, the cancellation would also end the current attempt.
    if (backup->upstream.name == current_->upstream.name) {
      return;
    }
    tried_upstreams_.push_back(backup->upstream.name);
    if (backup->attempt.verdict().run_state == RunState::kMayHaveRun) {
      CancelGeneration(context_, backup->upstream, digests_.generation,
                       exchange_.stream().get_executor());
    }
  }

  // Returns true if one more attempt is allowed, which is charged to the budget.
  bool ConsumeBackup() {
    return context_.crashes.RemainingRefusal(request_.fingerprint, Now()) == Duration::zero() &&
           std::holds_alternative<Retry>(
               DecideRetry({.run_state = RunState::kMayHaveRun, .reason = Reason::kUpstreamLost},
                           attempts_ + 1));
  }

  // Waits for a slot at another upstream. Without one, the attempt joins the generation at the
  // current upstream, whose connection alone may be silent.
  asio::awaitable<std::shared_ptr<PlacedAttempt>> PlaceBackup(
      std::shared_ptr<Interrupt> interrupt) {
    const Ticket ticket = context_.dispatcher.NewTicket();
    std::vector<UpstreamId> excluded = tried_upstreams_;
    excluded.push_back(current_->upstream.name);
    asio::steady_timer queue_timer(co_await asio::this_coro::executor,
                                   context_.upstream_options.silence_timeout);
    queue_timer.async_wait(
        [&dispatcher = context_.dispatcher, ticket](boost::system::error_code error) {
          if (!error) {
            dispatcher.Cancel(ticket, {.reason = Reason::kNoUpstream});
          }
        });
    const auto upstream = co_await AcquireUpstream(ticket, std::move(excluded), *interrupt, true);
    if (!upstream) {
      co_return Place(current_->upstream, 0, std::move(interrupt));
    }
    co_return Place(*upstream, ticket, std::move(interrupt));
  }

  // Ends the watch of the current attempt, which has ended. Awaits an attempt beside it if that is
  // needed and has been placed, and returns it if its first event has arrived.
  asio::awaitable<std::shared_ptr<PlacedAttempt>> FinishBackup(bool is_needed) {
    if (!is_needed || backup_ == nullptr) {
      CancelBackup(InterruptCause::kSuperseded);
    }
    while (backup_interrupt_ != nullptr) {
      co_await change_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    check_timer_.cancel();
    if (!std::exchange(is_backup_at_hand_, false)) {
      backup_.reset();
      co_return nullptr;
    }
    if (!is_needed || interrupt_->raised()) {
      EndBackup(backup_->attempt.Withdraw());
    }
    co_return std::exchange(backup_, nullptr);
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

  asio::awaitable<tl::expected<UpstreamConfig, Verdict>> AcquireUpstream(
      Ticket ticket, std::vector<UpstreamId> excluded, Interrupt& interrupt, bool is_retry) {
    const QueuedRequest queued{.ticket = ticket,
                               .account = request_.account.name,
                               .service = request_.service.name,
                               .predicted_cost = kPredictedSecondsPerToken * chat_.max_tokens,
                               .enqueued = Now(),
                               .deadline = deadline_,
                               .request_bytes = chat_.prompt.size(),
                               .max_tokens = chat_.max_tokens,
                               .is_retry = is_retry,
                               .run_state = run_state_};
    RouteRequest route{.service = request_.service.name,
                       .predicted_cost = queued.predicted_cost,
                       .prefix_hashes = PrefixHashes(chat_.prompt),
                       .excluded = std::move(excluded),
                       .attempt = ticket,
                       .repeatable = true};
    const InterruptScope scope(interrupt, [this, ticket] {
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

  // Returns whether the request may be sent again after a number of attempts.
  RetryDecision DecideRetry(const Verdict& verdict, int attempts) {
    const FailedAttempt failure{.account = request_.account.name,
                                .service = request_.service.name,
                                .run_state = verdict.run_state,
                                .reason = verdict.reason,
                                .dispatched = verdict.run_state != RunState::kNotRun,
                                .repeatable = true,
                                .attempts = attempts,
                                .deadline = deadline_};
    return context_.retries.Decide(failure, Now());
  }

  // Waits for the delay of a retry if the retry strategy allows one, else fails the request.
  // Returns true if a response has been sent.
  asio::awaitable<bool> RetryOrFail(const Verdict& verdict) {
    last_verdict_ = verdict;
    const RetryDecision decision = DecideRetry(verdict, std::max(attempts_, 1));
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
  std::shared_ptr<PlacedAttempt> current_;
  // Attempt beside the current one, from its placement on.
  std::shared_ptr<PlacedAttempt> backup_;
  // Not null while RunBackup runs.
  std::shared_ptr<Interrupt> backup_interrupt_;
  bool is_backup_at_hand_ = false;
  asio::steady_timer check_timer_;
  // Never expires; cancelled when RunBackup ends.
  asio::steady_timer change_;
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
