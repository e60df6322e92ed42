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
#include "routing/software_version.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Shortest time before the deadline with which a request is still sent to an upstream.
constexpr Duration kMinRemainingTime = 10ms;
// The gateway's deadline for a response precedes the caller's by this margin.
constexpr Duration kResponseMargin = 20ms;
constexpr int kMaxConnectionAttempts = 4;
// Time after an upstream's notice was learned in which a request that was chosen before is still
// sent, as a fraction of the upstream's own. A view may be 0.45 of that time old.
constexpr double kSendGraceFraction = 0.4;
// Upstreams that may reject a request as not run before the gateway rejects it.
constexpr int kMaxSends = 3;
// Idle time after which a connection is not reused for a request that must not be retried.
constexpr Duration kMaxIdleTimeNoRetry = 1s;
constexpr Duration kMaxIdleTime = 60s;
constexpr Duration kRetryAfter = 1s;
// Short, because another daemon can answer as soon as the caller reconnects.
constexpr Duration kDrainingRetryAfter = 100ms;

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

}  // namespace

Result<void> CallRelay::AdmitRequest(Call& call, Verdict& verdict) {
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
  const Duration timeout =
      std::min(call.metadata.caller_timeout.value_or(call.route->timeout), call.route->timeout);
  if (!fleet_.drain.Accepts(call.route->kind, timeout, now)) {
    return reject(Reason::kDraining, "The daemon is shutting down.", kDrainingRetryAfter);
  }
  if (!call.route->is_public && !call.routes->document().accounts.empty()) {
    call.account = call.routes->FindByKey(call.metadata.api_key);
    if (call.account == nullptr) {
      return reject(Reason::kUnknownKey, "The API key belongs to no account.");
    }
  }
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
    call.units = call.account->counts_tokens
                     ? call.metadata.declared_tokens.value_or(call.account->default_tokens)
                     : 1;
    if (!fleet_.rate_limiter.TryAcquire(call.account->name, call.units, now)) {
      const Duration wait =
          fleet_.rate_limiter.TimeUntilAvailable(call.account->name, call.units, now);
      const AllowanceState state = fleet_.rate_limiter.StateOf(call.account->name, now);
      call.rejection_detail = fmt::format(
          "{:.0f} units of {:.0f} at {:.0f}/s, own {}", call.units, state.level, state.rate,
          state.local_level ? fmt::format("{:.0f}", *state.local_level) : std::string("free"));
      call.units = 0;
      return reject(Reason::kAllowanceExhausted, "The account has exhausted its allowance.",
                    std::max(wait, Duration(200ms)));
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

asio::awaitable<void> CallRelay::Handle(HttpExchange& exchange) {
  const ScopedCount active(fleet_.active_requests);
  Call call(exchange);
  Verdict verdict;
  const Result<void> admitted = AdmitRequest(call, verdict);
  if (!admitted) {
    co_await Reject(call, verdict);
    co_return;
  }
  co_await SendUntilAnswered(call);
  if (!call.answered && call.caller.disconnected()) {
    RecordCallerLeft(call);
    // Requests behind this one must not be served.
    exchange.Abort();
  }
  if (call.account != nullptr && call.unrejected_sends == 0) {
    fleet_.rate_limiter.Refund(call.account->name, call.units);
  }
}

void CallRelay::ReleaseReturn(Call& call) {
  if (std::exchange(call.return_reserved, false)) {
    fleet_.retry_budget.Refund(call.service, 1);
  }
}

bool CallRelay::CanRetry(const Call& call) const {
  return call.route->Repeatable() && call.possible_runs < call.route->max_attempts &&
         !crash_detector_.IsSuspected(call);
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

std::string_view CallRelay::OutcomeName(RelayOutcome outcome) {
  static constexpr std::array<std::string_view, 5> kNames = {"finished", "not_run", "lost",
                                                             "failed", "moved"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

std::optional<Placement> CallRelay::SelectUpstream(Call& call, TimePoint now) {
  if (call.migration_target) {
    // The target already holds the KV cache of the prompt.
    return Placement{.upstream = *call.migration_target, .uncached_tokens = 1};
  }
  if (call.connection_attempts >= kMaxConnectionAttempts || call.sends >= kMaxSends) {
    return std::nullopt;
  }
  return fleet_.load_balancer.Choose(call.metadata.work, call.tried_upstreams, now);
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
    if (!placement) {
      co_await Reject(call, NoUpstreamVerdict(call, now));
      co_return;
    }
    const bool moved = call.migration_target.has_value();
    if (!moved && call.sends > 0 && !fleet_.retry_budget.TryConsume(call.service, now)) {
      co_await Reject(call, {.run_state = call.run_state,
                             .reason = Reason::kRetryBudgetExhausted,
                             .retry_after = kRetryAfter});
      co_return;
    }
    crash_detector_.OnSent(call, now);
    const RelayOutcome outcome = co_await TryUpstream(call, *placement);
    if (outcome == RelayOutcome::kFinished) {
      co_return;
    }
    if (outcome == RelayOutcome::kMigrated) {
      // The upstream that stopped the stream has run it.
      call.run_state = RunState::kMayHaveRun;
      continue;
    }
    if (moved && outcome == RelayOutcome::kNotRun && call.migration_source) {
      // The engine that stopped the request still holds its KV cache.
      call.return_reserved = false;
      call.migration_target = std::exchange(call.migration_source, std::nullopt);
      continue;
    }
    ReleaseReturn(call);
    call.migration_target.reset();
    call.kv_copy.reset();
    call.tried_upstreams.push_back(placement->upstream.id);
    fleet_.metrics
        .GetCounter("savoryglade_gateway_lost_attempts_total",
                    {{"reason", std::string(OutcomeName(outcome))}})
        .Add();
    // A migrated request has run at its source, even if the target states that it did not run it.
    if (outcome != RelayOutcome::kNotRun || moved) {
      ++call.possible_runs;
      call.run_state = outcome == RelayOutcome::kFailed ? RunState::kRan : RunState::kMayHaveRun;
      if (!fleet_.drain.interrupted() && !CanRetry(call)) {
        co_await Reject(call, {.run_state = call.run_state,
                               .reason = call.RemainingTime(BootNow()) < kMinRemainingTime
                                             ? Reason::kDeadlineExceeded
                                             : Reason::kUpstreamLost});
        co_return;
      }
    }
  }
}

asio::awaitable<RelayOutcome> CallRelay::TryUpstream(Call& call, const Placement& placement) {
  Attempt attempt{.placement = placement, .sent_at = BootNow()};
  const UpstreamId id = placement.upstream.id;
  call.last_upstream = id;
  fleet_.load_balancer.OnSent(id, call.metadata.work, placement.uncached_tokens, attempt.sent_at);
  const RelayOutcome outcome = co_await SendAttempt(call, attempt);
  const bool closed_by_this_daemon = fleet_.drain.interrupted() || attempt.undelivered;
  if (closed_by_this_daemon && outcome != RelayOutcome::kFinished) {
    // The upstream has not failed.
    attempt.end = AttemptEnd::kCancelled;
  } else if (outcome == RelayOutcome::kResponseLost &&
             call.RemainingTime(BootNow()) > kMinRemainingTime) {
    crash_detector_.OnAttemptLost(call, attempt, BootNow());
  } else if (outcome == RelayOutcome::kFinished && attempt.end == AttemptEnd::kCancelled &&
             attempt.registration) {
    crash_detector_.OnCallerDisconnected(call, attempt, BootNow());
  }
  fleet_.load_balancer.OnEnd(id, placement.uncached_tokens, attempt.first_byte, attempt.end,
                             BootNow());
  if (outcome != RelayOutcome::kFinished) {
    kLog.Info("An attempt ended without its answer.",
              {{"request", call.metadata.attempt_id},
               {"route", call.route->name},
               {"upstream", id.value()},
               {"version", attempt.placement.upstream.software_version},
               {"peer", attempt.peer.value()},
               {"outcome", OutcomeName(outcome)},
               {"end", static_cast<int>(attempt.end)},
               {"first_byte", attempt.first_byte},
               {"failure", attempt.failure},
               {"ms", (BootNow() - attempt.sent_at) / 1ms}});
  }
  call.caller.OnDisconnect({});
  co_return outcome;
}

asio::awaitable<RelayOutcome> CallRelay::SendAttempt(Call& call, Attempt& attempt) {
  const bool at_most_once = !call.route->Repeatable();
  ++call.connection_attempts;
  auto connected = co_await connector_.Connect(attempt.placement.upstream,
                                               at_most_once ? kMaxIdleTimeNoRetry : kMaxIdleTime,
                                               call.RemainingTime(BootNow()));
  if (!connected) {
    attempt.failure = connected.error().message;
    const bool is_lost = fleet_.upstream_paths.IsServiceLost(call.service, BootNow());
    attempt.end = is_lost ? AttemptEnd::kNoPath : AttemptEnd::kUnreachable;
    if (connected.error().code != ErrorCode::kTimeout) {
      crash_detector_.OnUpstreamEnded(attempt.placement.upstream, BootNow());
    }
    co_return RelayOutcome::kNotRun;
  }
  attempt.connection = std::move(connected->connection);
  attempt.peer = std::move(connected->peer);
  if (call.caller.Check()) {
    attempt.end = AttemptEnd::kCancelled;
    co_return RelayOutcome::kFinished;
  }
  if (fleet_.drain.interrupted()) {
    attempt.failure = "The daemon interrupts its requests.";
    attempt.end = AttemptEnd::kCancelled;
    co_return RelayOutcome::kNotRun;
  }
  const Duration grace =
      FromSeconds(ToSeconds(fleet_.settings.bounds.upstream_drain) * kSendGraceFraction);
  if (!fleet_.notices.MayReceive(attempt.placement.upstream.id, grace, BootNow())) {
    attempt.failure = "The upstream's notice is too old for another request.";
    attempt.end = AttemptEnd::kCancelled;
    co_return RelayOutcome::kNotRun;
  }
  // Only the engine that stopped a stream can continue it once its target has not.
  const bool returns_to_source = call.migration_target && !call.migration_source;
  if (!returns_to_source &&
      fleet_.load_balancer.signals().WaitEnd(
          FleetLoadBalancer::ProcessKeyOf(attempt.placement.upstream), BootNow())) {
    attempt.failure = "The upstream wants no requests since it was chosen.";
    attempt.end = AttemptEnd::kCancelled;
    co_return RelayOutcome::kNotRun;
  }
  if (const UpstreamRecord* const record = fleet_.load_balancer.Find(attempt.placement.upstream.id);
      record != nullptr) {
    // The upstream may have started again since it was chosen.
    attempt.placement.upstream.software_version = record->software_version;
    const std::optional<std::uint64_t> required = call.metadata.work.required_version;
    if (required && *required != SoftwareVersionKey(record->software_version)) {
      attempt.failure = "The upstream has another version than the stream.";
      attempt.end = AttemptEnd::kCancelled;
      co_return RelayOutcome::kNotRun;
    }
  }
  HttpConnection* const connection = attempt.connection.get();
  attempt.registration.emplace(open_attempts_, attempt.placement.upstream.id, *connection);
  call.caller.OnDisconnect([connection] { connection->Close(); });
  const TimePoint now = BootNow();
  const ForwardMetadata metadata{.upstream = attempt.placement.upstream.id,
                                 .account = call.account_id(),
                                 .remaining = std::max(call.RemainingTime(now), Duration(1ms)),
                                 .engine_priority = std::clamp(call.rank(), 0, 9),
                                 .last_event_id = call.sse_splitter.last_id().empty()
                                                      ? call.metadata.last_event_id
                                                      : call.sse_splitter.last_id(),
                                 .kv_copy = call.kv_copy};
  signals_.OnSend(attempt.placement.upstream, call.metadata.attempt_id);
  ++call.sends;
  ++call.unrejected_sends;
  call.last_sent_at = now;
  if (!call.kv_copy) {
    fleet_.work.Add(call.service, fleet_.load_balancer.WorkSeconds(
                                      call.metadata.work, attempt.placement.uncached_tokens));
  }
  const Result<void> sent = co_await connection->Send(
      codec_.EncodeUpstreamRequest(call.exchange.request(), metadata), call.RemainingTime(now));
  if (!call.counted_window && call.route->kind != CallKind::kStream) {
    RecordUsage(call, now);
  }
  if (!sent) {
    attempt.failure = sent.error().message;
  }
  // On a relayed connection, the peer acknowledges the request.
  if (sent && attempt.peer.empty()) {
    attempt.registration->AwaitAnswer(call.route->Repeatable(), BootNow());
  }
  const unsigned status = sent ? co_await response_relay_.ReadHeader(call, attempt) : 0;
  attempt.undelivered = attempt.registration->OnAnswer();
  if (call.caller.disconnected()) {
    attempt.end = AttemptEnd::kCancelled;
    co_return RelayOutcome::kFinished;
  }
  if (status == 0) {
    co_return RelayOutcome::kResponseLost;
  }
  RecordFirstByte(call, attempt);
  if (attempt.response.not_run && attempt.response.owner != ResponseOwner::kThisAttempt) {
    // A rejection that an upstream repeats may be that of an earlier request.
    attempt.response_rejected = true;
    attempt.failure = "The rejection does not name the request.";
    co_return RelayOutcome::kResponseLost;
  }
  if (attempt.response.not_run) {
    attempt.end = AttemptEnd::kRefused;
    --call.unrejected_sends;
    if (call.counted_window && call.possible_runs == 0 && call.account != nullptr) {
      fleet_.usage.OnNotRun(*call.counted_window, call.account->name);
      call.counted_window.reset();
    }
    co_return RelayOutcome::kNotRun;
  }
  ReleaseReturn(call);
  if (status >= 200 && status < 300 && call.route->kind == CallKind::kStream) {
    co_return co_await response_relay_.RelayStream(call, attempt, status);
  }
  co_return co_await response_relay_.RelayBuffered(call, attempt, status);
}

void CallRelay::RecordFirstByte(Call& call, Attempt& attempt) {
  const TimePoint now = BootNow();
  const UpstreamId& id = attempt.placement.upstream.id;
  attempt.first_byte = true;
  fleet_.load_balancer.OnFirstByte(id, attempt.placement.uncached_tokens, now);
  fleet_.AdmissionQueueOf(call.service)
      .OnServed(call.metadata.work.IsGeneration() ? attempt.placement.uncached_tokens : 1, now);
  if (!call.counted_window && !attempt.response.not_run) {
    RecordUsage(call, now);
  }
}

void CallRelay::RecordUsage(Call& call, TimePoint now) {
  if (call.account == nullptr || fleet_.settings.bounds.usage_window == Duration::zero()) {
    return;
  }
  call.counted_window = fleet_.WindowAt(now);
  fleet_.usage.OnRequestStarted(*call.counted_window, call.account->name);
}

void CallRelay::RecordCallerLeft(const Call& call) {
  const char* const stage = call.sends == 0       ? "before_send"
                            : call.stream_started ? "in_stream"
                                                  : "at_upstream";
  fleet_.metrics.GetCounter("savoryglade_gateway_callers_left_total", {{"stage", stage}}).Add();
  const TimePoint now = BootNow();
  kLog.Info("A caller left before its answer.",
            {{"request", call.metadata.attempt_id},
             {"route", call.route->name},
             {"stage", stage},
             {"upstream", call.last_upstream ? call.last_upstream->value() : std::string("-")},
             {"sent", call.sends},
             {"ms_since_send", call.sends == 0 ? 0 : (now - call.last_sent_at) / 1ms},
             {"ms", (now - call.received) / 1ms}});
}

asio::awaitable<void> CallRelay::Reject(Call& call, Verdict verdict) {
  call.answered = true;
  const std::string reason(ToString(verdict.reason));
  fleet_.metrics.GetCounter("savoryglade_gateway_refusals_total", {{"reason", reason}}).Add();
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
  if (call.stream_started) {
    call.exchange.Abort();
    co_return;
  }
  if (fleet_.drain.has_begun()) {
    call.exchange.CloseAfterResponse();
  }
  if (call.failed_response) {
    co_await call.exchange.Respond(call.failed_response->status,
                                   std::move(call.failed_response->headers),
                                   std::move(call.failed_response->body));
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
  co_await call.exchange.Respond(status, std::move(headers), std::move(body));
}

}  // namespace savoryglade::gateway
