#include "gateway/attempt_runner.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <string>
#include <utility>

#include "core/boot_clock.h"
#include "core/prefix_hash.h"
#include "logging/logger.h"
#include "routing/software_version.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Time after an upstream's notice was learned in which a request that was chosen before is still
// sent, as a fraction of the upstream's own. A view may be 0.45 of that time old.
constexpr double kSendGraceFraction = 0.4;
// Idle time after which a connection is not reused for a request that must not be retried.
constexpr Duration kMaxIdleTimeNoRetry = 1s;
constexpr Duration kMaxIdleTime = 60s;

const Logger kLog("gateway");

}  // namespace

std::shared_ptr<Attempt> AttemptRunner::Begin(Call& call, const Placement& placement,
                                              bool is_move) {
  auto attempt = std::make_shared<Attempt>();
  attempt->placement = placement;
  attempt->sent_at = BootNow();
  attempt->is_move = is_move;
  call.last_upstream = placement.upstream.id;
  call.attempts.push_back(attempt.get());
  ++call.connection_attempts;
  crash_detector_.OnSent(call, attempt->sent_at);
  fleet_.load_balancer.OnSent(placement.upstream.id, call.metadata.work, placement.uncached_tokens,
                              attempt->sent_at);
  return attempt;
}

std::optional<AttemptOutcome> AttemptRunner::ReasonNotToSend(Call& call, Attempt& attempt) {
  if (attempt.withdrawn) {
    return attempt.withdrawn;
  }
  if (call.caller.Check()) {
    return AttemptOutcome::kCallerLeft;
  }
  if (fleet_.drain.interrupted()) {
    attempt.failure = "The daemon interrupts its requests.";
    return AttemptOutcome::kNotSent;
  }
  const Duration grace =
      FromSeconds(ToSeconds(fleet_.settings.bounds.upstream_drain) * kSendGraceFraction);
  if (!fleet_.notices.MayReceive(attempt.placement.upstream.id, grace, BootNow())) {
    attempt.failure = "The upstream's notice is too old for another request.";
    return AttemptOutcome::kNotSent;
  }
  if (!fleet_.load_balancer.MayReceive(attempt.placement.upstream.id, BootNow())) {
    attempt.failure = "The upstream's version gets no requests since it was chosen.";
    return AttemptOutcome::kNotSent;
  }
  // Only the engine that stopped a stream can continue it once its target has not.
  const bool returns_to_source = attempt.is_move && !call.migration_source;
  if (!returns_to_source &&
      fleet_.load_balancer.signals().WaitEnd(
          FleetLoadBalancer::ProcessKeyOf(attempt.placement.upstream), BootNow())) {
    attempt.failure = "The upstream wants no requests since it was chosen.";
    return AttemptOutcome::kNotSent;
  }
  if (const UpstreamRecord* const record = fleet_.load_balancer.Find(attempt.placement.upstream.id);
      record != nullptr) {
    // The upstream may have started again since it was chosen.
    attempt.placement.upstream.software_version = record->software_version;
    const std::optional<std::uint64_t> required = call.metadata.work.required_version;
    if (required && *required != SoftwareVersionKey(record->software_version)) {
      attempt.failure = "The upstream has another version than the stream.";
      return AttemptOutcome::kNotSent;
    }
  }
  return std::nullopt;
}

asio::awaitable<std::optional<AttemptOutcome>> AttemptRunner::Send(Call& call, Attempt& attempt) {
  const bool at_most_once = !call.route->Repeatable();
  auto connected = co_await connector_.Connect(attempt.placement.upstream,
                                               at_most_once ? kMaxIdleTimeNoRetry : kMaxIdleTime,
                                               call.RemainingTime(BootNow()));
  if (!connected) {
    attempt.failure = connected.error().message;
    if (connected.error().code != ErrorCode::kTimeout) {
      crash_detector_.OnUpstreamEnded(attempt.placement.upstream, BootNow());
    }
    const bool is_lost = fleet_.upstream_paths.IsServiceLost(call.service, BootNow());
    co_return is_lost ? AttemptOutcome::kNoPath : AttemptOutcome::kUnreachable;
  }
  attempt.connection = std::move(connected->connection);
  attempt.peer = std::move(connected->peer);
  if (const auto reason = ReasonNotToSend(call, attempt)) {
    co_return reason;
  }
  HttpConnection& connection = *attempt.connection;
  attempt.registration.emplace(open_attempts_, attempt.placement.upstream.id, connection);
  const TimePoint now = BootNow();
  const ForwardMetadata metadata{.upstream = attempt.placement.upstream.id,
                                 .account = call.account_id(),
                                 .remaining = std::max(call.RemainingTime(now), Duration(1ms)),
                                 .engine_priority = std::clamp(call.rank(), 0, 9),
                                 .last_event_id = call.sse_splitter.last_id().empty()
                                                      ? call.metadata.last_event_id
                                                      : call.sse_splitter.last_id(),
                                 .kv_copy = attempt.is_move ? call.kv_copy : std::nullopt};
  signals_.OnSend(attempt.placement.upstream, call.metadata.attempt_id);
  attempt.sent = true;
  TrackResponse(call, attempt, now);
  ++call.sends;
  ++call.unrejected_sends;
  call.last_sent_at = now;
  if (!attempt.is_move) {
    fleet_.work.Add(call.service, fleet_.load_balancer.WorkSeconds(
                                      call.metadata.work, attempt.placement.uncached_tokens));
  }
  const Result<void> sent =
      co_await connection.Send(codec_.EncodeUpstreamRequest(call.exchange.request(), metadata),
                               call.exchange.request().body(), call.RemainingTime(now));
  if (!call.counted_window && call.route->kind != CallKind::kStream) {
    RecordUsage(call, now);
  }
  if (!sent) {
    co_return response_relay_.OutcomeOfFailure(call, attempt, sent.error());
  }
  // On a relayed connection, the peer acknowledges the request.
  if (attempt.peer.empty()) {
    attempt.registration->AwaitAnswer(call.route->Repeatable(), BootNow());
  }
  if (attempt.observer != nullptr) {
    attempt.observer->OnSent();
  }
  const auto result = co_await response_relay_.ReadHeader(call, attempt);
  attempt.registration->OnAnswer();
  if (result) {
    co_return result;
  }
  RecordFirstByte(call, attempt);
  if (!attempt.response.not_run) {
    if (attempt.observer != nullptr) {
      attempt.observer->OnBytes();
    }
    co_return std::nullopt;
  }
  if (attempt.response.owner != ResponseOwner::kThisAttempt) {
    // A rejection that an upstream repeats may be that of an earlier request.
    attempt.failure = "The rejection does not name the request.";
    co_return AttemptOutcome::kUnusable;
  }
  RecordRejection(call);
  co_return AttemptOutcome::kRejected;
}

asio::awaitable<AttemptOutcome> AttemptRunner::CauseOfEnd(const Call& call, const Attempt& attempt,
                                                          AttemptOutcome seen) {
  if (seen != AttemptOutcome::kBrokenOff || !attempt.peer.empty()) {
    co_return seen;
  }
  const bool is_lost =
      co_await connector_.IsPathLost(attempt.placement.upstream, call.RemainingTime(BootNow()));
  co_return is_lost ? AttemptOutcome::kPathLost : seen;
}

void AttemptRunner::TrackResponse(const Call& call, const Attempt& attempt, TimePoint now) {
  if (!fleet_.rollouts.enabled()) {
    return;
  }
  const std::uint64_t route = Fnv1aHash(call.route->name);
  if (call.sends == 0) {
    fleet_.rollouts.OnRequest(call.service, route);
  }
  fleet_.rollout_responses.OnSent(
      &attempt,
      {.service = call.service,
       .route = route,
       .version = SoftwareVersionKey(attempt.placement.upstream.software_version),
       .upstream = attempt.placement.upstream.id},
      now);
}

void AttemptRunner::EndTracking(const Attempt& attempt, AttemptOutcome result, TimePoint now) {
  if (!fleet_.rollouts.enabled()) {
    return;
  }
  rollout::TrackedEnd end = rollout::TrackedEnd::kNone;
  switch (result) {
    case AttemptOutcome::kAnswered:
      end = attempt.status >= 500 ? rollout::TrackedEnd::kFailed : rollout::TrackedEnd::kAnswered;
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kUnusable:
    case AttemptOutcome::kTimedOut:
      end = rollout::TrackedEnd::kFailed;
      break;
    case AttemptOutcome::kBrokenOff:
      end = rollout::TrackedEnd::kBrokenOff;
      break;
    case AttemptOutcome::kUnreachable:
    case AttemptOutcome::kNoPath:
    case AttemptOutcome::kPathLost:
      fleet_.rollout_responses.OnUpstreamLost(attempt.placement.upstream.id, now);
      break;
    default:
      break;
  }
  fleet_.rollout_responses.OnEnd(&attempt, end, now);
}

void AttemptRunner::RecordRejection(Call& call) {
  --call.unrejected_sends;
  if (call.counted_window && call.unrejected_sends == 0 && call.account != nullptr) {
    fleet_.usage.OnNotRun(*call.counted_window, call.account->name);
    call.counted_window.reset();
  }
}

void AttemptRunner::RecordFirstByte(Call& call, Attempt& attempt) {
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

void AttemptRunner::RecordUsage(Call& call, TimePoint now) {
  if (call.account == nullptr || fleet_.settings.bounds.usage_window == Duration::zero()) {
    return;
  }
  call.counted_window = fleet_.WindowAt(now);
  fleet_.usage.OnRequestStarted(*call.counted_window, call.account->name);
}

void AttemptRunner::End(Call& call, Attempt& attempt, AttemptOutcome result) {
  const TimePoint now = BootNow();
  std::erase(call.attempts, &attempt);
  EndTracking(attempt, result, now);
  attempt.observer = nullptr;
  attempt.registration.reset();
  attempt.connection.reset();
  if (attempt.sent) {
    crash_detector_.OnAttemptEnded(call, attempt, result, now);
  }
  const AttemptOutcomeTraits& traits = TraitsOf(result);
  AttemptEnd end = traits.end;
  if (result == AttemptOutcome::kAnswered && attempt.status >= 500) {
    end = AttemptEnd::kFailed;
  } else if (result == AttemptOutcome::kTimedOut && attempt.is_silence_recorded) {
    // One silence is one failure.
    end = AttemptEnd::kCancelled;
  }
  fleet_.load_balancer.OnEnd(attempt.placement.upstream.id, attempt.placement.uncached_tokens,
                             attempt.first_byte, end, now);
  if (result == AttemptOutcome::kAnswered || result == AttemptOutcome::kCallerLeft) {
    return;
  }
  kLog.Info("An attempt ended without its answer.",
            {{"request", call.metadata.attempt_id},
             {"route", call.route->name},
             {"upstream", attempt.placement.upstream.id.value()},
             {"version", attempt.placement.upstream.software_version},
             {"peer", attempt.peer.value()},
             {"result", traits.name},
             {"sent", attempt.sent},
             {"status", attempt.status},
             {"events", call.stream_started},
             {"failure", attempt.failure},
             {"ms", (now - attempt.sent_at) / 1ms}});
  if (result == AttemptOutcome::kMoved) {
    // The upstream that stopped the stream has run it.
    call.run_state = RunState::kMayHaveRun;
    return;
  }
  if (attempt.is_move && !traits.may_have_run && call.migration_source) {
    // The stream returns to its source.
    return;
  }
  const bool may_have_run = attempt.is_move || (traits.may_have_run && attempt.sent);
  (may_have_run ? call.tried_upstreams : call.rejecting_upstreams)
      .push_back(attempt.placement.upstream.id);
  fleet_.metrics
      .GetCounter("savoryglade_gateway_lost_attempts_total", {{"reason", std::string(traits.name)}})
      .Add();
  // A moved request has run at its source, even if the target states that it did not run it.
  if (may_have_run) {
    RecordPossibleRun(call, result);
  }
}

void AttemptRunner::RecordPossibleRun(Call& call, AttemptOutcome result) {
  ++call.possible_runs;
  call.run_state = result == AttemptOutcome::kFailed ? RunState::kRan : RunState::kMayHaveRun;
}

}  // namespace savoryglade::gateway
