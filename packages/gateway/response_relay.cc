#include "gateway/response_relay.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <optional>
#include <string>
#include <utility>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "net/memory_budget.h"
#include "routing/software_version.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Largest response that is buffered until it is complete, so that an incomplete one can be retried.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
// Buffered also while memory is short.
constexpr std::size_t kMinBufferedBytes = 16 * 1024;
// Late responses to earlier requests that are discarded on one connection.
constexpr int kMaxStaleResponses = 2;
// Bytes of one such response that are read.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
// Interim responses (status 1xx) that are read before a final one.
constexpr int kMaxInterimResponses = 16;
// Largest event of a stream.
constexpr std::size_t kMaxEventBytes = 256 * 1024;
// Silence in a stream, as a multiple of the route's longest pause, after which another upstream is
// asked to go on with it.
constexpr int kStallPauseMultiple = 3;
// Silence before a response, or the first event of a stream, as a multiple of the route's
// objective, after which another upstream is asked as well.
constexpr int kRetryObjectiveMultiple = 3;
// Added to that for the first event of a stream, as a multiple of its predicted time. A second
// attempt at a loaded service waits as long again.
constexpr int kRetryPredictionMultiple = 2;
constexpr unsigned kFirstServerErrorStatus = 500;

const Logger kLog("gateway");

// Returns the longest time that a call may wait for another process.
Duration WaitLimit(const Call& call) {
  return std::max(call.RemainingTime(BootNow()), Duration(1ms));
}

// Returns true if the response is relayed event by event.
bool IsEventStream(const Call& call, const Attempt& attempt) {
  return attempt.status >= 200 && attempt.status < 300 && call.route->kind == CallKind::kStream;
}

// Tells the observer that a part of the answer is about to be passed on.
void BeforeRelay(const Attempt& attempt) {
  if (attempt.observer != nullptr) {
    attempt.observer->OnRelay();
  }
}

}  // namespace

std::size_t ResponseRelay::MaxIdleConnections(const Call& call) const {
  const RoutedService* service = call.routes->FindService(call.service);
  return UpstreamConnectionPool::MaxIdleConnections(
      service == nullptr ? 0 : service->max_connections, fleet_.groups.daemons());
}

void ResponseRelay::ReleaseConnection(Call& call, Attempt& attempt) {
  attempt.has_framed_end = !attempt.connection->ends_with_connection();
  attempt.registration.reset();
  if (!attempt.peer.empty()) {
    // The peer ends the tunnel after this response.
    attempt.connection.reset();
    return;
  }
  connections_.Release(attempt.placement.upstream.id, std::move(attempt.connection),
                       attempt.response.idle_timeout, MaxIdleConnections(call));
}

void ResponseRelay::RecordResponse(Call& call, const Attempt& attempt) {
  call.end = CallEnd::kAnswered;
  const Duration total = BootNow() - call.received;
  fleet_.metrics.GetTiming("savoryglade_gateway_answer_seconds", {{"route", call.route->name}})
      .Record(total);
  kLog.Info("A request has its answer.", {{"request", call.metadata.attempt_id},
                                          {"route", call.route->name},
                                          {"account", call.account_id().value()},
                                          {"upstream", attempt.placement.upstream.id.value()},
                                          {"version", attempt.placement.upstream.software_version},
                                          {"peer", attempt.peer.value()},
                                          {"status", attempt.status},
                                          {"sent", call.sends},
                                          {"prompt_tokens", call.metadata.work.prompt_tokens},
                                          {"uncached_tokens", attempt.placement.uncached_tokens},
                                          {"expected_ms", attempt.placement.expected / 1ms},
                                          {"waited_ms", call.admission_wait / 1ms},
                                          {"first_event_ms", call.time_to_first_event / 1ms},
                                          {"longest_pause_ms", call.longest_event_gap / 1ms},
                                          {"ms", total / 1ms}});
}

Duration ResponseRelay::SilenceLimit(const Call& call, const Attempt& attempt,
                                     TimePoint now) const {
  if (call.route->kind != CallKind::kStream) {
    return kRetryObjectiveMultiple * call.route->latency_objective;
  }
  if (attempt.first_byte) {
    return kStallPauseMultiple * call.route->longest_pause;
  }
  const Duration predicted = std::max(
      attempt.placement.expected,
      fleet_.load_balancer.PredictFirstEvent(call.service, attempt.placement.uncached_tokens, now));
  return kRetryObjectiveMultiple * call.route->latency_objective +
         kRetryPredictionMultiple * predicted;
}

asio::awaitable<Result<bool>> ResponseRelay::ReadBody(const Call& call, Attempt& attempt,
                                                      std::string& bytes) {
  if (call.RemainingTime(BootNow()) <= Duration::zero()) {
    co_return tl::make_unexpected(
        Error{.code = ErrorCode::kTimeout, .message = "The response did not end in time."});
  }
  Result<bool> has_more = co_await attempt.connection->ReadSome(bytes, WaitLimit(call));
  if (has_more && attempt.observer != nullptr) {
    attempt.observer->OnBytes();
  }
  co_return has_more;
}

AttemptOutcome ResponseRelay::OutcomeOfFailure(const Call& call, Attempt& attempt,
                                               const Error& error) {
  attempt.failure = error.message;
  if (const std::optional<AttemptOutcome> closed = attempt.closed_because()) {
    return *closed;
  }
  // An upstream may end its work at the deadline, too.
  const bool is_due = call.RemainingTime(BootNow()) <= kMinRemainingTime;
  if (error.code == ErrorCode::kInvalid) {
    return AttemptOutcome::kUnusable;
  }
  if (error.code == ErrorCode::kTimeout || is_due) {
    return AttemptOutcome::kTimedOut;
  }
  return attempt.peer.empty() ? AttemptOutcome::kBrokenOff : AttemptOutcome::kRelayLost;
}

asio::awaitable<std::optional<AttemptOutcome>> ResponseRelay::DiscardBody(const Call& call,
                                                                          Attempt& attempt) {
  std::string discarded;
  for (std::size_t size = 0; size <= kMaxDiscardedBytes; size += discarded.size()) {
    discarded.clear();
    const Result<bool> has_more = co_await ReadBody(call, attempt, discarded);
    if (!has_more) {
      co_return OutcomeOfFailure(call, attempt, has_more.error());
    }
    if (!*has_more) {
      co_return std::nullopt;
    }
  }
  attempt.failure = "A response to another request did not end.";
  co_return AttemptOutcome::kUnusable;
}

asio::awaitable<std::optional<AttemptOutcome>> ResponseRelay::ReadHeader(Call& call,
                                                                         Attempt& attempt) {
  HttpConnection& connection = *attempt.connection;
  int interim_responses = 0;
  int stale_responses = 0;
  while (interim_responses <= kMaxInterimResponses && stale_responses <= kMaxStaleResponses) {
    const Result<unsigned> status = co_await connection.ReadHeader(WaitLimit(call));
    if (!status) {
      co_return OutcomeOfFailure(call, attempt, status.error());
    }
    if (const std::optional<AttemptOutcome> closed = attempt.closed_because()) {
      co_return closed;
    }
    if (attempt.observer != nullptr) {
      attempt.observer->OnBytes();
    }
    if (*status < 200) {
      ++interim_responses;
      continue;
    }
    attempt.response =
        codec_.DecodeResponse(call.metadata.attempt_id, *status, connection.response_header());
    signals_.OnAnswer(attempt.placement.upstream, call.metadata.attempt_id, attempt.response,
                      attempt.sent_at);
    if (attempt.response.owner != ResponseOwner::kOtherAttempt) {
      attempt.status = *status;
      co_return std::nullopt;
    }
    // This is a late response to an earlier request on the connection; discard it and read on.
    ++stale_responses;
    const std::optional<AttemptOutcome> result = co_await DiscardBody(call, attempt);
    if (result) {
      co_return result;
    }
  }
  attempt.failure = "The connection carried too many responses that do not answer the request.";
  co_return AttemptOutcome::kUnusable;
}

asio::awaitable<AttemptOutcome> ResponseRelay::Relay(Call& call, Attempt& attempt) {
  if (IsEventStream(call, attempt)) {
    co_return co_await RelayStream(call, attempt);
  }
  co_return co_await RelayBuffered(call, attempt);
}

asio::awaitable<std::optional<AttemptOutcome>> ResponseRelay::Prefetch(Call& call,
                                                                       Attempt& attempt) {
  if (!IsEventStream(call, attempt)) {
    std::optional<AttemptOutcome> result = co_await ReadBuffered(call, attempt);
    if (!result && attempt.status >= kFirstServerErrorStatus) {
      // The caller gets it unless another attempt is answered.
      call.failed_response = std::move(attempt.buffered);
      result = AttemptOutcome::kFailed;
    }
    co_return result;
  }
  if (const auto unusable = CheckStreamHeader(call, attempt)) {
    co_return unusable;
  }
  SseSplitter splitter;
  std::string received;
  bool more = true;
  bool has_event = false;
  while (more && !has_event) {
    received.clear();
    const Result<bool> has_more = co_await ReadBody(call, attempt, received);
    if (!has_more) {
      co_return OutcomeOfFailure(call, attempt, has_more.error());
    }
    if (const std::optional<AttemptOutcome> closed = attempt.closed_because()) {
      co_return closed;
    }
    more = *has_more;
    fleet_.load_balancer.OnBytes(attempt.placement.upstream.id, BootNow());
    attempt.prefetched += received;
    has_event = HoldsEvent(splitter.Append(received));
    if (splitter.partial_event().size() > kMaxEventBytes) {
      attempt.failure = "An event of the stream exceeds the maximum size.";
      co_return AttemptOutcome::kUnusable;
    }
  }
  if (!has_event && !splitter.partial_event().empty()) {
    attempt.failure = "The stream ended within an event.";
    co_return AttemptOutcome::kBrokenOff;
  }
  if (!has_event) {
    attempt.failure = "The stream ended without an event.";
    co_return attempt.connection->ends_with_connection() ? AttemptOutcome::kBrokenOff
                                                         : AttemptOutcome::kUnusable;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<AttemptOutcome>> ResponseRelay::ReadBuffered(Call& call,
                                                                           Attempt& attempt) {
  const unsigned status = attempt.status;
  const bool success = status >= 200 && status < 300;
  const bool usable = attempt.response.owner == ResponseOwner::kThisAttempt &&
                      !attempt.response.content_encoded &&
                      (!success || attempt.response.has_seal) && !ImpliesNotRun(status);
  if (!usable || (call.stream_started && !success)) {
    attempt.failure = fmt::format("The response with status {} can't be relayed.", status);
    co_return AttemptOutcome::kUnusable;
  }
  attempt.buffered = BufferedResponse{
      .status = status,
      .headers = codec_.CallerResponseHeaders(attempt.connection->response_header()),
      .body = {}};
  // Without memory, the response is relayed as it arrives, as fast as the caller reads it.
  const auto may_buffer = [&call](std::size_t size) {
    return size < kMinBufferedBytes ||
           (size < kMaxBufferedBytes && call.exchange.TryLease(MemoryPurpose::kResponse, 2 * size));
  };
  while (!attempt.is_buffered_whole && may_buffer(attempt.buffered->body.size())) {
    const Result<bool> has_more = co_await ReadBody(call, attempt, attempt.buffered->body);
    if (!has_more) {
      co_return OutcomeOfFailure(call, attempt, has_more.error());
    }
    if (const std::optional<AttemptOutcome> closed = attempt.closed_because()) {
      co_return closed;
    }
    fleet_.load_balancer.OnBytes(attempt.placement.upstream.id, BootNow());
    attempt.is_buffered_whole = !*has_more;
  }
  co_return std::nullopt;
}

asio::awaitable<AttemptOutcome> ResponseRelay::RelayBuffered(Call& call, Attempt& attempt) {
  if (!attempt.buffered) {
    const std::optional<AttemptOutcome> result = co_await ReadBuffered(call, attempt);
    if (result) {
      co_return *result;
    }
  }
  if (!attempt.is_buffered_whole) {
    co_return co_await RelayLargeBody(call, attempt);
  }
  ReleaseConnection(call, attempt);
  BufferedResponse& response = *attempt.buffered;
  if (response.status >= kFirstServerErrorStatus && call.route->kind == CallKind::kIdempotent &&
      call.possible_runs == 0 && call.route->max_attempts > 1) {
    call.failed_response = std::move(response);
    co_return AttemptOutcome::kFailed;
  }
  BeforeRelay(attempt);
  crash_detector_.OnAnswer(call, attempt, response.status, BootNow());
  if (fleet_.drain.has_begun()) {
    call.exchange.CloseAfterResponse();
  }
  if (co_await call.exchange.Respond(response.status, std::move(response.headers),
                                     std::move(response.body))) {
    RecordResponse(call, attempt);
  }
  co_return AttemptOutcome::kAnswered;
}

asio::awaitable<AttemptOutcome> ResponseRelay::RelayLargeBody(Call& call, Attempt& attempt) {
  BufferedResponse& response = *attempt.buffered;
  BeforeRelay(attempt);
  if (fleet_.drain.has_begun()) {
    call.exchange.CloseAfterResponse();
  }
  call.stream_started = true;
  bool open = co_await call.exchange.StartStream(attempt.status, std::move(response.headers),
                                                 response.body);
  while (open) {
    response.body.clear();
    const Result<bool> has_more = co_await ReadBody(call, attempt, response.body);
    if (!has_more) {
      co_return OutcomeOfFailure(call, attempt, has_more.error());
    }
    if (!*has_more) {
      attempt.has_framed_end = !attempt.connection->ends_with_connection();
      crash_detector_.OnAnswer(call, attempt, attempt.status, BootNow());
      if (co_await call.exchange.EndStream()) {
        RecordResponse(call, attempt);
      }
      co_return AttemptOutcome::kAnswered;
    }
    open = co_await call.exchange.WriteChunk(response.body);
  }
  co_return AttemptOutcome::kCallerLeft;
}

std::optional<AttemptOutcome> ResponseRelay::CheckStreamHeader(const Call& call, Attempt& attempt) {
  if (attempt.response.owner != ResponseOwner::kThisAttempt || !attempt.response.has_seal ||
      attempt.response.content_encoded) {
    attempt.failure = "The stream's header has no seal, or not this request's id.";
    return AttemptOutcome::kUnusable;
  }
  if (call.stream_started && !attempt.response.is_event_stream) {
    attempt.failure = "The response does not continue the stream.";
    return AttemptOutcome::kUnusable;
  }
  return std::nullopt;
}

asio::awaitable<AttemptOutcome> ResponseRelay::RelayStream(Call& call, Attempt& attempt) {
  if (const auto unusable = CheckStreamHeader(call, attempt)) {
    co_return *unusable;
  }
  attempt.stream =
      migrator_.Track(call.metadata.attempt_id, attempt.placement.upstream, call.metadata.work);
  const AttemptOutcome result = co_await RelayEvents(call, attempt);
  migrator_.Untrack(attempt.stream);
  // Only an end for which nobody else is known to be the cause may be that of a stopped stream.
  if (result != AttemptOutcome::kBrokenOff && result != AttemptOutcome::kRelayLost &&
      result != AttemptOutcome::kTimedOut && result != AttemptOutcome::kUnusable) {
    migrator_.Abandon(attempt.stream);
    co_return result;
  }
  const StopOutcome stop =
      co_await StreamMigrator::AwaitStopOutcome(attempt.stream, WaitLimit(call));
  switch (stop) {
    case StopOutcome::kNotStopped:
      co_return result;
    case StopOutcome::kUnknown:
      // The stream may have ended at this daemon's request, so that its end shows no failure.
      co_return AttemptOutcome::kUnusable;
    case StopOutcome::kStopped:
      break;
  }
  call.kv_copy = attempt.stream->kv_copy();
  call.migration_target = attempt.stream->resume_upstream();
  call.migration_source = attempt.stream->state() == MigratableStream::State::kMigrated
                              ? std::optional(attempt.stream->source())
                              : std::nullopt;
  if (call.migration_source) {
    call.return_consumed_at = attempt.stream->resumptions_consumed_at();
  } else {
    call.return_consumed_at.reset();
  }
  co_return AttemptOutcome::kMoved;
}

void ResponseRelay::OnFirstEvent(Call& call, const Attempt& attempt) {
  fleet_.rollout_responses.OnFirstEvent(&attempt, BootNow());
  if (!attempt.is_move) {
    const TimePoint now = BootNow();
    const Duration taken = now - attempt.sent_at;
    const Duration error = taken > attempt.placement.expected ? taken - attempt.placement.expected
                                                              : attempt.placement.expected - taken;
    fleet_.metrics.GetTiming("savoryglade_gateway_first_event_error_seconds").Record(error);
    fleet_.load_balancer.OnFirstEvent(call.service,
                                      {.own_tokens = attempt.placement.uncached_tokens,
                                       .tokens_ahead = attempt.placement.tokens_ahead},
                                      taken, now);
  }
  const std::uint64_t version = SoftwareVersionKey(attempt.placement.upstream.software_version);
  call.metadata.work.required_version = version;
  // Callers name the attempt that brought the first event, however often they resume the stream.
  const std::string& first_attempt =
      call.resumes_stream() ? call.metadata.resumed_attempt : call.metadata.attempt_id;
  if (!first_attempt.empty()) {
    fleet_.stream_versions.OnStreamBegan(first_attempt, call.service, version, BootNow());
  }
}

asio::awaitable<AttemptOutcome> ResponseRelay::RelayEvents(Call& call, Attempt& attempt) {
  HttpConnection& connection = *attempt.connection;
  const HttpHeaders headers = codec_.CallerResponseHeaders(connection.response_header());
  call.sse_splitter.Reset();
  bool has_event = false;
  bool more = true;
  while (more) {
    std::string received = std::exchange(attempt.prefetched, {});
    if (received.empty()) {
      const Result<bool> has_more = co_await ReadBody(call, attempt, received);
      if (!has_more) {
        co_return OutcomeOfFailure(call, attempt, has_more.error());
      }
      more = *has_more;
    }
    // What was read before an interruption is passed on; a read from the closed connection fails.
    if (const std::optional<AttemptOutcome> closed = attempt.closed_because();
        closed && *closed != AttemptOutcome::kInterrupted) {
      co_return *closed;
    }
    fleet_.load_balancer.OnBytes(attempt.placement.upstream.id, BootNow());
    const std::string events = call.sse_splitter.Append(received);
    if (call.sse_splitter.partial_event().size() > kMaxEventBytes) {
      attempt.failure = "An event of the stream exceeds the maximum size.";
      co_return AttemptOutcome::kUnusable;
    }
    if (events.empty()) {
      continue;
    }
    has_event = has_event || HoldsEvent(events);
    call.OnEvents(BootNow());
    attempt.pace.OnEvents(BootNow());
    BeforeRelay(attempt);
    bool open = true;
    if (!call.stream_started) {
      call.stream_started = true;
      OnFirstEvent(call, attempt);
      if (fleet_.drain.has_begun()) {
        call.exchange.CloseAfterResponse();
      }
      open = co_await call.exchange.StartStream(attempt.status, headers, events);
    } else {
      open = co_await call.exchange.WriteChunk(events);
    }
    if (!open) {
      co_return AttemptOutcome::kCallerLeft;
    }
    if (attempt.observer != nullptr) {
      attempt.observer->OnRelayed();
    }
  }
  if (!call.sse_splitter.partial_event().empty()) {
    attempt.failure = "The stream ended within an event.";
    co_return AttemptOutcome::kBrokenOff;
  }
  if (!has_event && connection.ends_with_connection()) {
    // An upstream that crashes before its first event looks like one that has no more.
    attempt.failure = "The connection ended before the first event.";
    co_return AttemptOutcome::kBrokenOff;
  }
  const StopOutcome stop =
      co_await StreamMigrator::AwaitStopOutcome(attempt.stream, WaitLimit(call));
  // The end of the connection may be that of a stopped run; a length or the last chunk may not.
  if (stop == StopOutcome::kStopped ||
      (stop == StopOutcome::kUnknown && connection.ends_with_connection())) {
    attempt.failure = "The stream was stopped to be moved, or may have been.";
    co_return AttemptOutcome::kUnusable;
  }
  BeforeRelay(attempt);
  fleet_.load_balancer.speeds().OnStream(
      FleetLoadBalancer::ProcessKeyOf(attempt.placement.upstream), attempt.pace.LowerQuartile(),
      call.route->longest_pause > Duration::zero() &&
          call.longest_event_gap > call.route->longest_pause);
  ReleaseConnection(call, attempt);
  crash_detector_.OnAnswer(call, attempt, attempt.status, BootNow());
  if (!call.stream_started) {
    call.stream_started = true;
    co_await call.exchange.StartStream(attempt.status, headers);
  }
  if (co_await call.exchange.EndStream()) {
    RecordResponse(call, attempt);
  }
  co_return AttemptOutcome::kAnswered;
}

}  // namespace savoryglade::gateway
