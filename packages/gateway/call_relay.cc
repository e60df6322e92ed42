#include "gateway/call_relay.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "core/boot_clock.h"
#include "core/prefix_hash.h"
#include "core/scoped_count.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// The gateway's deadline for a response precedes the caller's by this margin.
constexpr Duration kResponseMargin = 20ms;
constexpr Duration kRetryAfter = 1s;
constexpr Duration kMinAllowanceRetryAfter = 200ms;
// Short, because another daemon can answer as soon as the caller reconnects.
constexpr Duration kDrainingRetryAfter = 100ms;

// Time after its last event for which a stream that has lost its upstream waits for another one, as
// a multiple of the route's longest pause, and the interval at which it looks for one.
constexpr int kResumptionPauseMultiple = 3;
constexpr Duration kResumptionInterval = 50ms;

// Smallest factor on the retry delay that callers are told; see RetryJitterFactor.
constexpr double kMinRetryJitter = 0.75;

const Logger kLog("gateway");

unsigned HttpStatusOf(const Verdict& verdict) {
  switch (verdict.reason) {
    case Reason::kUnknownKey:
      return 401;
    case Reason::kUnknownService:
      return 404;
    case Reason::kMalformedRequest:
      return 400;
    case Reason::kAllowanceExhausted:
      return 429;
    case Reason::kDeadlineExceeded:
      return verdict.run_state == RunState::kNotRun ? 503 : 504;
    default:
      return verdict.run_state == RunState::kNotRun ? 503 : 502;
  }
}

// Returns a factor for the retry delay, so that callers rejected together do not retry together.
double RetryJitterFactor(const std::string& attempt_id) {
  constexpr std::uint64_t kSteps = 64;
  constexpr double kJitterRange = 0.5;
  return kMinRetryJitter +
         kJitterRange * static_cast<double>(Fnv1aHash(attempt_id) % kSteps) / kSteps;
}

// Returns the shorter one of the caller's time and the route's.
Duration TimeoutOf(const Call& call) {
  return std::min(call.metadata.caller_timeout.value_or(call.route->timeout), call.route->timeout);
}

// Returns what the call takes from its account's allowance.
double UnitsOf(const Call& call) {
  return call.account->counts_tokens
             ? call.metadata.declared_tokens.value_or(call.account->default_tokens)
             : 1;
}

}  // namespace

Result<void> CallRelay::MatchRequest(Call& call, Verdict& verdict) {
  const auto reject = [&verdict](Reason reason, std::string message,
                                 Duration retry_after = Duration::zero()) -> Result<void> {
    verdict = Verdict{.reason = reason, .retry_after = retry_after};
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = std::move(message)});
  };
  const TimePoint now = BootNow();
  call.received = now;
  const Result<RequestMetadata> metadata = codec_.DecodeRequest(call.exchange.request());
  call.routes = fleet_.routes;
  if (call.routes == nullptr || !fleet_.crash_records_known) {
    return reject(Reason::kNotReady, "The routes or crash records have not been loaded yet.",
                  kRetryAfter);
  }
  if (!metadata) {
    return reject(Reason::kMalformedRequest, metadata.error().message);
  }
  call.metadata = *metadata;
  call.route = call.routes->Match(call.exchange.Header("Host"), call.exchange.target());
  if (call.route == nullptr || call.route->services.empty()) {
    return reject(Reason::kUnknownService, "No route matches the host and path.");
  }
  if (!fleet_.drain.Accepts(call.route->kind, TimeoutOf(call), now)) {
    return reject(Reason::kDraining, "The daemon is shutting down.", kDrainingRetryAfter);
  }
  if (!call.route->is_public && !call.routes->document().accounts.empty()) {
    call.account = call.routes->FindByKey(call.metadata.api_key);
    if (call.account == nullptr) {
      return reject(Reason::kUnknownKey, "The API key belongs to no account.");
    }
  }
  return {};
}

Result<void> CallRelay::AdmitRequest(Call& call, Verdict& verdict) {
  const auto reject = [&verdict](Reason reason, std::string message,
                                 Duration retry_after = Duration::zero()) -> Result<void> {
    verdict = Verdict{.reason = reason, .retry_after = retry_after};
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = std::move(message)});
  };
  if (Result<void> matched = MatchRequest(call, verdict); !matched) {
    return matched;
  }
  const TimePoint now = call.received;
  const Duration timeout = TimeoutOf(call);
  // A resumed stream stays with the service that began it where a route leads to several.
  const std::string& seed = call.resumes_stream() && !call.metadata.resumed_attempt.empty()
                                ? call.metadata.resumed_attempt
                                : call.metadata.attempt_id;
  call.service = RouteTable::ChooseService(*call.route, Fnv1aHash(seed));
  call.metadata.work.service = call.service;
  call.deadline = now + timeout - kResponseMargin;
  CrashDetector::Identify(call);
  if (const Duration refusal = crash_detector_.RemainingRefusal(call, now);
      refusal > Duration::zero()) {
    return reject(Reason::kRequestCrashesUpstreams, "The request has crashed several upstreams.",
                  refusal);
  }
  if (const Reason reason = BindToStreamVersion(call, now); reason != Reason::kNone) {
    return reject(reason, "The stream can't continue at the version that began it.", kRetryAfter);
  }
  if (call.account != nullptr) {
    call.units = UnitsOf(call);
    if (!fleet_.rate_limiter.TryAcquire(call.account->name, call.units, now)) {
      const Duration wait =
          fleet_.rate_limiter.TimeUntilAvailable(call.account->name, call.units, now);
      const AllowanceState state = fleet_.rate_limiter.StateOf(call.account->name, now);
      call.rejection_detail = fmt::format(
          "{:.0f} units of {:.0f} at {:.0f}/s, own {}", call.units, state.level, state.rate,
          state.local_level ? fmt::format("{:.0f}", *state.local_level) : std::string("free"));
      call.units = 0;
      return reject(Reason::kAllowanceExhausted, "The account has exhausted its allowance.",
                    std::max(wait, kMinAllowanceRetryAfter));
    }
  }
  fleet_.retry_budget.OnRequest(call.service, now);
  return {};
}

Reason CallRelay::BindToStreamVersion(Call& call, TimePoint now) {
  if (!call.resumes_stream()) {
    return Reason::kNone;
  }
  const StreamOrigin origin =
      fleet_.stream_versions.Find(call.metadata.resumed_attempt, call.service, now);
  Reason reason = Reason::kStreamVersionUnknown;
  std::string wanted = "unknown";
  if (origin.known()) {
    wanted = fmt::format("{:016x}", origin.version);
    call.metadata.work.required_version = origin.version;
    reason = fleet_.load_balancer.HasVersion(call.service, origin.version)
                 ? Reason::kNone
                 : Reason::kStreamVersionUnavailable;
  }
  if (reason != Reason::kNone) {
    call.rejection_detail =
        fmt::format("resumes {}, version {}", call.metadata.resumed_attempt, wanted);
  }
  kLog.Info("A caller resumes a stream.", {{"request", call.metadata.attempt_id},
                                           {"route", call.route->name},
                                           {"resumes", call.metadata.resumed_attempt},
                                           {"last_event", call.metadata.last_event_id},
                                           {"version_key", wanted},
                                           {"refused", reason != Reason::kNone}});
  return reason;
}

CallRelay::Registration::Registration(const CallRelay& relay, Call& call)
    : calls_(relay.calls_), call_(call) {
  calls_->insert(&call_);
}

CallRelay::Registration::~Registration() { calls_->erase(&call_); }

asio::awaitable<bool> CallRelay::RefuseByHead(HttpExchange& exchange) {
  Call call(exchange);
  const Registration registration(*this, call);
  Verdict verdict;
  if (MatchRequest(call, verdict)) {
    if (call.account == nullptr) {
      co_return false;
    }
    // Nothing is charged before the whole request has arrived.
    const Duration wait =
        fleet_.rate_limiter.TimeUntilAvailable(call.account->name, UnitsOf(call), call.received);
    if (wait <= Duration::zero()) {
      co_return false;
    }
    verdict = {.reason = Reason::kAllowanceExhausted,
               .retry_after = std::max(wait, kMinAllowanceRetryAfter)};
  }
  co_await Reject(call, verdict);
  RecordEnd(call);
  co_return true;
}

asio::awaitable<void> CallRelay::Handle(HttpExchange& exchange) {
  const ScopedCount active(fleet_.active_requests);
  Call call(exchange);
  const Registration registration(*this, call);
  Verdict verdict;
  const Result<void> admitted = AdmitRequest(call, verdict);
  if (!admitted) {
    co_await Reject(call, verdict);
    RecordEnd(call);
    co_return;
  }
  call.caller.OnDisconnect([&call] {
    for (Attempt* const attempt : call.attempts) {
      if (attempt->registration) {
        attempt->registration->Close(AttemptOutcome::kCallerLeft);
      }
    }
  });
  co_await SendUntilAnswered(call);
  RecordEnd(call);
  if (call.account != nullptr && call.unrejected_sends == 0) {
    fleet_.rate_limiter.Refund(call.account->name, call.units);
  }
}

void CallRelay::RecordEnd(Call& call) {
  if (call.end != CallEnd::kOpen) {
    return;
  }
  // A write that timed out has closed the connection.
  const bool is_open = call.exchange.stream().socket().is_open();
  if (call.caller.disconnected() || (is_open && call.caller.Check())) {
    RecordCallerLeft(call);
  } else {
    LogCutOff(call, {.run_state = call.run_state, .reason = Reason::kNone}, "write_failed");
  }
  // Requests behind this one must not be served.
  call.exchange.Abort();
}

void CallRelay::LogUnfinished() {
  for (Call* const call : *calls_) {
    if (call->end == CallEnd::kOpen) {
      call->end = CallEnd::kCutOff;
      LogCutOff(*call, {.run_state = call->run_state, .reason = Reason::kDraining}, "exit");
    }
  }
}

void CallRelay::LogCutOff(const Call& call, const Verdict& verdict, std::string_view cause) const {
  fleet_.metrics.GetCounter(kCutOffMetric, {{"cause", std::string(cause)}}).Add();
  const TimePoint now = BootNow();
  const bool has_events = call.last_event_at != TimePoint{};
  kLog.Essential("A request was cut off without its whole answer.",
                 {{"request", call.metadata.attempt_id},
                  {"route", call.route == nullptr ? std::string("-") : call.route->name},
                  {"cause", cause},
                  {"reason", ToString(verdict.reason)},
                  {"detail", call.rejection_detail},
                  {"verdict", ToString(verdict.run_state)},
                  {"upstream", call.last_upstream ? call.last_upstream->value() : std::string("-")},
                  {"sent", call.sends},
                  {"possible_runs", call.possible_runs},
                  {"ms_since_event", has_events ? (now - call.last_event_at) / 1ms : -1},
                  {"longest_pause_ms", call.longest_event_gap / 1ms},
                  {"remaining_ms", call.RemainingTime(now) / 1ms},
                  {"drain_ms", fleet_.drain.has_begun() ? fleet_.drain.Elapsed(now) / 1ms : -1},
                  {"ms", (now - call.received) / 1ms}});
}

void CallRelay::ReleaseReturn(Call& call) {
  if (const auto consumed_at = std::exchange(call.return_consumed_at, std::nullopt)) {
    fleet_.retry_budget.Refund(call.service, 1, *consumed_at, BootNow());
  }
}

bool CallRelay::CanRetry(const Call& call) const {
  // Only a stream goes on behind what the caller has of it.
  const bool can_go_on = !call.stream_started || CanGoOn(call);
  return call.route->Repeatable() && can_go_on && call.possible_runs < call.route->max_attempts &&
         !crash_detector_.IsSuspected(call);
}

bool CallRelay::CanGoOn(const Call& call) {
  return call.route->IsResumableStream() && call.last_event_at != TimePoint{};
}

int CallRelay::MaxSends(const Call& call) {
  // Second attempts that were rejected must not be the last ones of a stream that has begun.
  return call.stream_started ? kMaxSends + 1 : kMaxSends;
}

bool CallRelay::MayAwaitUpstream(const Call& call, TimePoint now) {
  return CanGoOn(call) && call.sends < MaxSends(call) &&
         call.connection_attempts < kMaxConnectionAttempts &&
         now - call.last_event_at < kResumptionPauseMultiple * call.route->longest_pause;
}

Verdict CallRelay::NoUpstreamVerdict(const Call& call, TimePoint now) const {
  const std::optional<std::uint64_t> required = call.metadata.work.required_version;
  if (const std::optional<TimePoint> wait_end =
          fleet_.load_balancer.NextWaitEnd(call.metadata.work, now)) {
    // Divided, so that no caller is told to return before the end.
    return Verdict{.run_state = call.run_state,
                   .reason = Reason::kQueueFull,
                   .retry_after = FromSeconds(ToSeconds(*wait_end - now) / kMinRetryJitter)};
  }
  Reason reason = Reason::kQueueFull;
  if (required && !fleet_.load_balancer.HasVersion(call.service, *required)) {
    reason = Reason::kStreamVersionUnavailable;
  } else if (fleet_.load_balancer.FreeSlots(call.service, now, required) > 0) {
    reason = Reason::kNoUpstream;
  }
  return Verdict{.run_state = call.run_state, .reason = reason, .retry_after = kRetryAfter};
}

std::optional<Placement> CallRelay::SelectUpstream(Call& call, TimePoint now) {
  if (call.migration_target) {
    // The target already holds the KV cache of the prompt.
    return Placement{.upstream = *call.migration_target, .uncached_tokens = 1};
  }
  if (call.connection_attempts >= kMaxConnectionAttempts || call.sends >= MaxSends(call)) {
    return std::nullopt;
  }
  if (std::optional<Placement> placement = SelectRolledOutVersion(call, now)) {
    return placement;
  }
  return fleet_.load_balancer.Choose(call.metadata.work, call.ExcludedUpstreams(), now);
}

std::optional<Placement> CallRelay::SelectRolledOutVersion(const Call& call, TimePoint now) {
  // Repeats go to the version that is known to be good.
  if (call.sends > 0 || call.metadata.work.required_version || !fleet_.rollouts.enabled() ||
      !fleet_.rollouts.Admits(call.service, Fnv1aHash(call.route->name),
                              Fnv1aHash(call.metadata.attempt_id), now)) {
    return std::nullopt;
  }
  WorkEstimate work = call.metadata.work;
  work.version_choice = VersionChoice::kLimited;
  return fleet_.load_balancer.Choose(work, call.ExcludedUpstreams(), now);
}

bool CallRelay::NeedsAdmission(const Call& call, bool has_placement, TimePoint now) const {
  // Work that was begun is continued, and a call that failed has used part of its time.
  if (call.connection_attempts > 0 || call.migration_target || call.resumes_stream()) {
    return false;
  }
  if (!has_placement) {
    if (admission_.WaitsAreTooLong(call, now)) {
      return false;
    }
    return NoUpstreamVerdict(call, now).reason == Reason::kQueueFull;
  }
  return !call.is_admitted;
}

asio::awaitable<void> CallRelay::SendUntilAnswered(Call& call) {
  while (!call.caller.Check()) {
    const TimePoint now = BootNow();
    if (fleet_.drain.interrupted()) {
      co_await Reject(call, {.run_state = call.run_state,
                             .reason = Reason::kDraining,
                             .retry_after = kDrainingRetryAfter});
      co_return;
    }
    if (call.RemainingTime(now) < kMinRemainingTime) {
      co_await Reject(call, {.run_state = call.run_state,
                             .reason = Reason::kDeadlineExceeded,
                             .retry_after = kRetryAfter});
      co_return;
    }
    // The registry may have changed since the request was admitted, by this call or another one.
    const Duration refusal =
        call.sends > 0 ? crash_detector_.RemainingRefusal(call, now) : Duration::zero();
    if (refusal > Duration::zero()) {
      co_await Reject(call, {.run_state = call.run_state,
                             .reason = Reason::kRequestCrashesUpstreams,
                             .retry_after = refusal});
      co_return;
    }
    const std::optional<Placement> placement = SelectUpstream(call, now);
    if (NeedsAdmission(call, placement.has_value(), now)) {
      const AdmissionGate::Result admission = co_await admission_.Admit(call, placement);
      if (admission.outcome == AdmissionGate::Outcome::kRefuse) {
        co_await Reject(call, admission.verdict);
        co_return;
      }
      call.is_admitted = true;
      if (admission.outcome == AdmissionGate::Outcome::kChooseAgain) {
        continue;
      }
    }
    const bool moved = call.migration_target.has_value();
    const bool is_retry = placement && !moved && call.sends > 0;
    const bool may_send =
        placement && (!is_retry || fleet_.retry_budget.TryConsume(call.service, now));
    if (!may_send && MayAwaitUpstream(call, now)) {
      co_await Sleep(kResumptionInterval);
      // They may have a place by then.
      call.rejecting_upstreams.clear();
      continue;
    }
    if (!placement) {
      co_await Reject(call, NoUpstreamVerdict(call, now));
      co_return;
    }
    if (!may_send) {
      co_await Reject(call, {.run_state = call.run_state,
                             .reason = Reason::kRetryBudgetExhausted,
                             .retry_after = kRetryAfter});
      co_return;
    }
    const AttemptOutcome result =
        co_await TryUpstream(call, *placement, is_retry ? std::optional(now) : std::nullopt);
    if (result == AttemptOutcome::kAnswered || result == AttemptOutcome::kCallerLeft) {
      co_return;
    }
    if (result == AttemptOutcome::kMoved) {
      continue;
    }
    const bool may_have_run = TraitsOf(result).may_have_run;
    const bool move_ended = moved && call.migration_target.has_value();
    if (move_ended && !may_have_run && call.migration_source) {
      // The engine that stopped the request still holds its KV cache.
      call.return_consumed_at.reset();
      call.migration_target = std::exchange(call.migration_source, std::nullopt);
      continue;
    }
    ReleaseReturn(call);
    call.migration_target.reset();
    call.kv_copy.reset();
    if ((may_have_run || move_ended) && !fleet_.drain.interrupted() && !CanRetry(call)) {
      co_await Reject(call, {.run_state = call.run_state,
                             .reason = call.RemainingTime(BootNow()) < kMinRemainingTime
                                           ? Reason::kDeadlineExceeded
                                           : Reason::kUpstreamLost});
      co_return;
    }
  }
}

BackupAttempt::Need CallRelay::NeedOfSecond(AttemptOutcome first) {
  switch (first) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kCallerLeft:
      return BackupAttempt::Need::kNone;
    case AttemptOutcome::kMoved:
      return BackupAttempt::Need::kIfAtHand;
    default:
      return BackupAttempt::Need::kAwait;
  }
}

asio::awaitable<AttemptOutcome> CallRelay::TryUpstream(Call& call, const Placement& placement,
                                                       std::optional<TimePoint> retry_consumed_at) {
  std::shared_ptr<Attempt> attempt =
      attempts_.Begin(call, placement, call.migration_target.has_value());
  while (true) {
    const auto backup = std::make_shared<BackupAttempt>(
        context_, fleet_, attempts_, response_relay_, crash_detector_, call, attempt);
    attempt->observer = backup.get();
    std::optional<AttemptOutcome> result;
    if (attempt->sent) {
      backup->OnSent();
    } else {
      result = co_await attempts_.Send(call, *attempt);
    }
    if (!result) {
      ReleaseReturn(call);
      result = co_await response_relay_.Relay(call, *attempt);
    }
    result = co_await attempts_.CauseOfEnd(call, *attempt, *result);
    attempts_.End(call, *attempt, *result);
    if (retry_consumed_at && !attempt->sent) {
      fleet_.retry_budget.Refund(call.service, 1, *retry_consumed_at, BootNow());
    }
    retry_consumed_at.reset();
    std::shared_ptr<Attempt> second = co_await backup->Finish(NeedOfSecond(*result));
    if (second == nullptr) {
      co_return *result;
    }
    if (*result == AttemptOutcome::kMoved) {
      // What was moved is not continued there, so its retries are returned.
      response_relay_.AbandonMove(attempt->stream);
      call.return_consumed_at.reset();
    }
    attempt = std::move(second);
    ReleaseReturn(call);
    call.migration_target.reset();
    call.migration_source.reset();
    call.kv_copy.reset();
  }
}

void CallRelay::RecordCallerLeft(const Call& call) {
  const char* const stage = call.sends == 0       ? "before_send"
                            : call.stream_started ? "in_stream"
                                                  : "at_upstream";
  fleet_.metrics.GetCounter("savoryglade_gateway_callers_left_total", {{"stage", stage}}).Add();
  const TimePoint now = BootNow();
  kLog.Info("A caller left before its answer.",
            {{"request", call.metadata.attempt_id},
             {"route", call.route == nullptr ? std::string("-") : call.route->name},
             {"stage", stage},
             {"upstream", call.last_upstream ? call.last_upstream->value() : std::string("-")},
             {"sent", call.sends},
             {"ms_since_send", call.sends == 0 ? 0 : (now - call.last_sent_at) / 1ms},
             {"ms", (now - call.received) / 1ms}});
}

asio::awaitable<void> CallRelay::Reject(Call& call, Verdict verdict) {
  const std::string reason(ToString(verdict.reason));
  fleet_.metrics.GetCounter("savoryglade_gateway_refusals_total", {{"reason", reason}}).Add();
  if (call.stream_started) {
    call.end = CallEnd::kCutOff;
    LogCutOff(call, verdict, "rejected");
    call.exchange.Abort();
    co_return;
  }
  const std::string run_state(ToString(verdict.run_state));
  kLog.Info("A request got no answer of an upstream.",
            {{"request", call.metadata.attempt_id},
             {"route", call.route == nullptr ? std::string("-") : call.route->name},
             {"account", call.account_id().value()},
             {"reason", reason},
             {"detail", call.rejection_detail},
             {"verdict", run_state},
             {"upstream", call.last_upstream ? call.last_upstream->value() : std::string("-")},
             {"connects", call.connection_attempts},
             {"sent", call.sends},
             {"routes_version", call.routes == nullptr ? 0 : call.routes->version()},
             {"ms", (BootNow() - call.received) / 1ms}});
  if (fleet_.drain.has_begun()) {
    call.exchange.CloseAfterResponse();
  }
  if (call.failed_response) {
    if (co_await call.exchange.Respond(call.failed_response->status,
                                       std::move(call.failed_response->headers),
                                       std::move(call.failed_response->body))) {
      call.end = CallEnd::kAnswered;
    }
    co_return;
  }
  const unsigned status = HttpStatusOf(verdict);
  HttpHeaders headers = codec_.GatewayResponseHeaders(call.metadata.attempt_id);
  headers.emplace_back("Content-Type", "application/json");
  headers.emplace_back("Savoryglade-Verdict", run_state);
  headers.emplace_back("Savoryglade-Reason", reason);
  if (ImpliesNotRun(status) && verdict.retry_after > Duration::zero()) {
    const double seconds =
        ToSeconds(verdict.retry_after) * RetryJitterFactor(call.metadata.attempt_id);
    headers.emplace_back("Retry-After", fmt::format("{:.2f}", seconds));
  }
  std::string body =
      fmt::format(R"({{"error":{{"reason":"{}","verdict":"{}"}}}})", reason, run_state);
  if (co_await call.exchange.Respond(status, std::move(headers), std::move(body))) {
    call.end = CallEnd::kRejected;
  }
}

}  // namespace savoryglade::gateway
