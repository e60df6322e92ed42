#include "gateway/answer_relay.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <optional>
#include <string>
#include <utility>

#include "core/boot_clock.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Largest answer that is held back until it is whole, so that a broken one can be repeated.
constexpr std::size_t kLargestWhole = 256 * 1024;
// Late answers to earlier requests that are read over on one connection.
constexpr int kMaxForeignAnswers = 2;
// Wait for a stream that has stopped, as a multiple of the longest pause, before it is resumed at
// another upstream.
constexpr int kStalledPauses = 3;
// Wait for the answer of an idempotent call, as a multiple of the objective, before it is repeated.
constexpr int kRepeatObjectives = 3;

const Logger kLog("gateway");

}  // namespace

std::size_t AnswerRelay::MostIdle(const Call& call) const {
  const RoutedService* service = call.routes->FindService(call.service);
  return UpstreamConnections::MostIdle(service == nullptr ? 0 : service->max_connections,
                                       fleet_.groups.daemons());
}

void AnswerRelay::NoteAnswered(const Call& call, const Attempt& attempt, unsigned status) {
  const Duration total = BootNow() - call.received;
  fleet_.metrics.GetTiming("savoryglade_gateway_answer_seconds", {{"route", call.route->name}})
      .Record(total);
  kLog.Info("A request has its answer.", {{"request", call.facts.attempt},
                                          {"route", call.route->name},
                                          {"account", call.account_id().value()},
                                          {"upstream", attempt.placement.upstream.id.value()},
                                          {"status", status},
                                          {"sent", call.sent},
                                          {"prompt_tokens", call.facts.work.prompt_tokens},
                                          {"uncached_tokens", attempt.placement.uncached_tokens},
                                          {"expected_ms", attempt.placement.expected / 1ms},
                                          {"first_event_ms", call.first_event / 1ms},
                                          {"longest_pause_ms", call.longest_pause / 1ms},
                                          {"ms", total / 1ms}});
}

Duration AnswerRelay::AnswerTimeout(const Call& call, const Attempt& attempt, TimePoint now) const {
  const Duration left = std::max(call.Left(now), Duration(1ms));
  if (call.runs + 1 >= call.route->max_attempts || !call.route->Repeatable()) {
    return left;
  }
  if (call.route->kind == CallKind::kStream) {
    const Duration pause = kStalledPauses * call.route->longest_pause;
    return std::min(left, attempt.first_byte ? pause
                                             : kRepeatObjectives * call.route->latency_objective +
                                                   attempt.placement.expected);
  }
  return std::min(left, kRepeatObjectives * call.route->latency_objective);
}

asio::awaitable<unsigned> AnswerRelay::ReadHeader(Call& call, Attempt& attempt) {
  HttpConnection& connection = *attempt.connection;
  std::string dropped;
  for (int foreign = 0; foreign <= kMaxForeignAnswers;) {
    const TimePoint now = BootNow();
    const Result<unsigned> status =
        co_await connection.ReadHeader(AnswerTimeout(call, attempt, now));
    if (!status) {
      co_return 0;
    }
    if (*status < 200) {
      continue;
    }
    attempt.answer = codec_.DecodeAnswer(call.facts.attempt, *status, connection.response_header());
    if (attempt.answer.owner != AnswerOwner::kOther) {
      co_return *status;
    }
    // A late answer to an earlier request of this connection: ours follows it.
    ++foreign;
    for (bool more = true; more;) {
      dropped.clear();
      const Result<bool> part =
          co_await connection.ReadSome(dropped, AnswerTimeout(call, attempt, BootNow()));
      if (!part) {
        co_return 0;
      }
      more = *part;
    }
  }
  co_return 0;
}

asio::awaitable<Step> AnswerRelay::RelayWhole(Call& call, Attempt& attempt, unsigned status) {
  HttpConnection& connection = *attempt.connection;
  const bool success = status >= 200 && status < 300;
  const bool usable = attempt.answer.owner == AnswerOwner::kThis && !attempt.answer.encoded &&
                      (!success || attempt.answer.sealed) && !IsPromise(status);
  if (!usable || (call.streaming && !success)) {
    co_return Step::kLost;
  }
  BufferedAnswer answer{.status = status,
                        .headers = codec_.CallerHeaders(connection.response_header())};
  while (true) {
    const Result<bool> part =
        co_await connection.ReadSome(answer.body, AnswerTimeout(call, attempt, BootNow()));
    if (call.caller.gone()) {
      attempt.end = AttemptEnd::kCancelled;
      co_return Step::kFinished;
    }
    if (!part) {
      co_return Step::kLost;
    }
    fleet_.board.OnBytes(attempt.placement.upstream.id, BootNow());
    if (!*part) {
      break;
    }
    if (answer.body.size() >= kLargestWhole) {
      break;
    }
  }
  attempt.end = status >= 500 ? AttemptEnd::kFailed : AttemptEnd::kAnswered;
  if (answer.body.size() >= kLargestWhole) {
    if (fleet_.draining) {
      call.exchange.CloseAfterResponse();
    }
    bool open = co_await call.exchange.StartStream(status, std::move(answer.headers), answer.body);
    while (open) {
      answer.body.clear();
      const Result<bool> part =
          co_await connection.ReadSome(answer.body, std::max(call.Left(BootNow()), Duration(1ms)));
      if (!part) {
        call.exchange.Abort();
        co_return Step::kFinished;
      }
      if (!*part) {
        open = co_await call.exchange.EndStream();
        break;
      }
      open = co_await call.exchange.WriteChunk(answer.body);
    }
    co_return Step::kFinished;
  }
  connections_.Release(attempt.placement.upstream.id, std::move(attempt.connection),
                       attempt.answer.idle_timeout, MostIdle(call));
  call.caller.OnGone({});
  if (status >= 500 && call.route->kind == CallKind::kIdempotent && call.runs == 0 &&
      call.route->max_attempts > 1) {
    call.failure = std::move(answer);
    co_return Step::kFailed;
  }
  fleet_.crashes.OnCompleted(call.fingerprint);
  if (fleet_.draining) {
    call.exchange.CloseAfterResponse();
  }
  co_await call.exchange.Respond(status, std::move(answer.headers), std::move(answer.body));
  ++call.runs;
  NoteAnswered(call, attempt, status);
  co_return Step::kFinished;
}

asio::awaitable<Step> AnswerRelay::RelayStream(Call& call, Attempt& attempt, unsigned status) {
  if (attempt.answer.owner != AnswerOwner::kThis || !attempt.answer.sealed ||
      attempt.answer.encoded) {
    co_return Step::kLost;
  }
  attempt.run = mover_.Watch(call.facts.attempt, attempt.placement.upstream, call.facts.work);
  const Step step = co_await RelayEvents(call, attempt, status);
  mover_.Forget(attempt.run);
  if (step != Step::kLost || !co_await mover_.Settle(attempt.run)) {
    co_return step;
  }
  // It did not fail: it was told to stop.
  attempt.end = AttemptEnd::kCancelled;
  call.copy = attempt.run->copy();
  call.moved_to = attempt.run->next();
  call.moved_from = attempt.run->state() == StreamRun::State::kMoved
                        ? std::optional(attempt.run->from())
                        : std::nullopt;
  co_return Step::kMoved;
}

asio::awaitable<Step> AnswerRelay::RelayEvents(Call& call, Attempt& attempt, unsigned status) {
  HttpConnection& connection = *attempt.connection;
  const HttpHeaders headers = codec_.CallerHeaders(connection.response_header());
  call.events.Reset();
  std::string received;
  bool more = true;
  while (more) {
    received.clear();
    const Result<bool> part =
        co_await connection.ReadSome(received, AnswerTimeout(call, attempt, BootNow()));
    if (call.caller.gone()) {
      attempt.end = AttemptEnd::kCancelled;
      call.exchange.Abort();
      co_return Step::kFinished;
    }
    if (!part) {
      co_return Step::kLost;
    }
    more = *part;
    fleet_.board.OnBytes(attempt.placement.upstream.id, BootNow());
    const std::string events = call.events.Take(received);
    if (events.empty()) {
      continue;
    }
    call.OnEvents(BootNow());
    bool open = true;
    if (!call.streaming) {
      call.streaming = true;
      if (fleet_.draining) {
        call.exchange.CloseAfterResponse();
      }
      open = co_await call.exchange.StartStream(status, headers, events);
    } else {
      open = co_await call.exchange.WriteChunk(events);
    }
    if (!open) {
      attempt.end = AttemptEnd::kCancelled;
      co_return Step::kFinished;
    }
  }
  if (!call.events.rest().empty() || co_await mover_.Settle(attempt.run)) {
    // The stream ended in the middle of an event, or was told to stop.
    co_return Step::kLost;
  }
  attempt.end = AttemptEnd::kAnswered;
  connections_.Release(attempt.placement.upstream.id, std::move(attempt.connection),
                       attempt.answer.idle_timeout, MostIdle(call));
  call.caller.OnGone({});
  fleet_.crashes.OnCompleted(call.fingerprint);
  if (!call.streaming) {
    call.streaming = true;
    co_await call.exchange.StartStream(status, headers);
  }
  co_await call.exchange.EndStream();
  ++call.runs;
  NoteAnswered(call, attempt, status);
  co_return Step::kFinished;
}

}  // namespace savoryglade::gateway
