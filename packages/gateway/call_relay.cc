#include "gateway/call_relay.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "core/boot_clock.h"
#include "core/prefix_hash.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// A request is not sent to an upstream with less time than this left.
constexpr Duration kLeastTime = 10ms;
// The final answer leaves this long before the caller's deadline.
constexpr Duration kAnswerMargin = 20ms;
// Longest wait for a new connection; a lost packet of the handshake is sent again after a second,
// and another upstream answers sooner.
constexpr Duration kConnectTimeout = 300ms;
constexpr int kMaxConnects = 4;
// Upstreams that may turn a request away, stating that they did not run it, before it is refused.
constexpr int kMaxSent = 3;
// Idle time after which a connection is not used for a request that may run only once.
constexpr Duration kFreshIdle = 1s;
constexpr Duration kAnyIdle = 60s;
constexpr Duration kRetrySoon = 1s;
// A daemon that ends is left at once; another one answers.
constexpr Duration kElsewhereSoon = 100ms;

const Logger kLog("gateway");

unsigned StatusOf(const Verdict& verdict) {
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

// Factor by which callers that are refused together come back at different times.
double RetrySpread(const std::string& attempt) {
  constexpr std::uint64_t kSteps = 64;
  constexpr double kLeast = 0.75;
  constexpr double kRange = 0.5;
  return kLeast + kRange * static_cast<double>(StableHash(attempt) % kSteps) / kSteps;
}

std::uint64_t Fingerprint(const Call& call) {
  const HttpRequest& request = call.exchange.request();
  if (request.body().empty()) {
    return 0;
  }
  std::uint64_t hash = StableHash(call.account_id().value());
  hash = StableHash(call.exchange.target(), hash);
  return StableHash(request.body(), hash);
}

}  // namespace

Result<void> CallRelay::Prepare(Call& call, Verdict& refusal) {
  const auto refuse = [&refusal](Reason reason, std::string message,
                                 Duration retry_after = Duration::zero()) -> Result<void> {
    refusal = Verdict{.reason = reason, .retry_after = retry_after};
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = std::move(message)});
  };
  const TimePoint now = BootNow();
  call.received = now;
  const Result<CallFacts> facts = codec_.DecodeCall(call.exchange.request());
  call.routes = fleet_.routes;
  if (call.routes == nullptr) {
    return refuse(Reason::kNotReady, "No routes are known yet.", kRetrySoon);
  }
  if (!facts) {
    return refuse(Reason::kMalformedRequest, facts.error().message);
  }
  call.facts = *facts;
  call.route = call.routes->Match(call.exchange.Header("Host"), call.exchange.target());
  if (call.route == nullptr || call.route->services.empty()) {
    return refuse(Reason::kUnknownService, "No route matches host and path.");
  }
  if (fleet_.draining && !fleet_.drain.Accepts(call.route->kind, now - fleet_.drain_began)) {
    return refuse(Reason::kDraining, "The daemon ends.", kElsewhereSoon);
  }
  if (!call.route->is_public && !call.routes->document().accounts.empty()) {
    call.account = call.routes->FindByKey(call.facts.api_key);
    if (call.account == nullptr) {
      return refuse(Reason::kUnknownKey, "No account holds the key.");
    }
  }
  call.service = RouteTable::ChooseService(*call.route, StableHash(call.facts.attempt));
  call.facts.work.service = call.service;
  call.deadline = now +
                  std::min(call.facts.patience.value_or(call.route->timeout), call.route->timeout) -
                  kAnswerMargin;
  call.fingerprint = Fingerprint(call);
  if (call.fingerprint != 0 && fleet_.crashes.IsRefused(call.fingerprint, now)) {
    return refuse(Reason::kRequestCrashesUpstreams, "The request has crashed upstreams.");
  }
  if (call.account != nullptr) {
    call.units = call.account->counts_tokens
                     ? call.facts.stated_tokens.value_or(call.account->default_tokens)
                     : 1;
    if (!fleet_.allowance.Take(call.account->name, call.units, now)) {
      const Duration wait =
          fleet_.allowance.TimeUntilAvailable(call.account->name, call.units, now);
      const AllowanceState state = fleet_.allowance.StateOf(call.account->name, now);
      call.refusal = fmt::format(
          "{:.0f} units of {:.0f} at {:.0f}/s, own {}", call.units, state.level, state.rate,
          state.local_level ? fmt::format("{:.0f}", *state.local_level) : std::string("free"));
      call.units = 0;
      return refuse(Reason::kAllowanceExhausted, "The account's allowance is used up.",
                    std::max(wait, Duration(200ms)));
    }
  }
  fleet_.retries.OnRequest(call.service, now);
  return {};
}

asio::awaitable<void> CallRelay::Handle(HttpExchange& exchange) {
  ++fleet_.active;
  {
    Call call(exchange);
    Verdict refusal;
    const Result<void> prepared = Prepare(call, refusal);
    if (!prepared) {
      co_await Refuse(call, refusal);
    } else {
      co_await Run(call);
      if (call.account != nullptr && call.undeclined == 0) {
        fleet_.allowance.Refund(call.account->name, call.units);
      }
    }
  }
  --fleet_.active;
}

bool CallRelay::MayRepeat(const Call& call) const {
  return call.route->Repeatable() && call.runs < call.route->max_attempts;
}

Verdict CallRelay::NoUpstream(const Call& call, TimePoint now) const {
  return Verdict{.run_state = call.run_state,
                 .reason = fleet_.board.FreeSlots(call.service, now) > 0 ? Reason::kNoUpstream
                                                                         : Reason::kQueueFull,
                 .retry_after = kRetrySoon};
}

std::string_view CallRelay::NameOf(Step step) {
  static constexpr std::array<std::string_view, 5> kNames = {"finished", "not_run", "lost",
                                                             "failed", "moved"};
  return kNames.at(static_cast<std::size_t>(step));
}

std::optional<Placement> CallRelay::NextPlacement(Call& call, TimePoint now) {
  if (call.moved_to) {
    // What runs already needs no reading.
    return Placement{.upstream = *call.moved_to, .uncached_tokens = 1};
  }
  if (call.connects >= kMaxConnects || call.sent >= kMaxSent) {
    return std::nullopt;
  }
  return fleet_.board.Choose(call.facts.work, call.tried, now);
}

asio::awaitable<void> CallRelay::Run(Call& call) {
  while (!call.caller.gone()) {
    const TimePoint now = BootNow();
    if (call.Left(now) < kLeastTime) {
      co_await Refuse(call, {.run_state = call.run_state,
                             .reason = Reason::kDeadlineExceeded,
                             .retry_after = kRetrySoon});
      co_return;
    }
    const std::optional<Placement> placement = NextPlacement(call, now);
    if (!placement) {
      co_await Refuse(call, NoUpstream(call, now));
      co_return;
    }
    const bool moved = call.moved_to.has_value();
    if (!moved && call.sent > 0 && !fleet_.retries.Take(call.service, now)) {
      co_await Refuse(call, {.run_state = call.run_state,
                             .reason = Reason::kRetryBudgetExhausted,
                             .retry_after = kRetrySoon});
      co_return;
    }
    const Step step = co_await TryUpstream(call, *placement);
    if (step == Step::kFinished) {
      co_return;
    }
    if (step == Step::kMoved) {
      continue;
    }
    if (moved && step == Step::kNotRun && call.moved_from) {
      // The engine that stopped the run still has its memory.
      call.moved_to = std::exchange(call.moved_from, std::nullopt);
      continue;
    }
    call.moved_to.reset();
    call.copy.reset();
    call.tried.push_back(placement->upstream.id);
    fleet_.metrics
        .GetCounter("savoryglade_gateway_lost_attempts_total",
                    {{"reason", std::string(NameOf(step))}})
        .Add();
    // A run that was moved has run, whatever its next engine states.
    if (step != Step::kNotRun || moved) {
      ++call.runs;
      call.run_state = step == Step::kFailed ? RunState::kRan : RunState::kMayHaveRun;
      if (!MayRepeat(call)) {
        co_await Refuse(call,
                        {.run_state = call.run_state,
                         .reason = call.Left(BootNow()) < kLeastTime ? Reason::kDeadlineExceeded
                                                                     : Reason::kUpstreamLost});
        co_return;
      }
    }
  }
  if (call.streaming) {
    call.exchange.Abort();
  }
}

asio::awaitable<Step> CallRelay::TryUpstream(Call& call, const Placement& placement) {
  Attempt attempt{.placement = placement, .sent = BootNow()};
  const UpstreamId id = placement.upstream.id;
  call.last_upstream = id;
  fleet_.board.OnSent(id, call.facts.work, placement.uncached_tokens, attempt.sent);
  const Step step = co_await Exchange(call, attempt);
  fleet_.board.OnEnd(id, placement.uncached_tokens, attempt.first_byte, attempt.end, BootNow());
  if (step != Step::kFinished) {
    kLog.Info("An attempt ended without its answer.", {{"request", call.facts.attempt},
                                                       {"route", call.route->name},
                                                       {"upstream", id.value()},
                                                       {"outcome", NameOf(step)},
                                                       {"end", static_cast<int>(attempt.end)},
                                                       {"ms", (BootNow() - attempt.sent) / 1ms}});
  }
  call.caller.OnGone({});
  co_return step;
}

asio::awaitable<Step> CallRelay::Exchange(Call& call, Attempt& attempt) {
  const bool once = !call.route->Repeatable();
  ++call.connects;
  auto connected =
      co_await connections_.Acquire(attempt.placement.upstream, once ? kFreshIdle : kAnyIdle,
                                    std::min(kConnectTimeout, call.Left(BootNow())));
  if (!connected) {
    attempt.end = AttemptEnd::kUnreachable;
    co_return Step::kNotRun;
  }
  attempt.connection = std::move(*connected);
  if (call.caller.gone()) {
    attempt.end = AttemptEnd::kCancelled;
    co_return Step::kFinished;
  }
  HttpConnection* const connection = attempt.connection.get();
  call.caller.OnGone([connection] { connection->Close(); });
  const TimePoint now = BootNow();
  const ForwardFacts facts{
      .expected = attempt.placement.upstream.id,
      .account = call.account_id(),
      .left = std::max(call.Left(now), Duration(1ms)),
      .engine_priority = std::clamp(call.rank(), 0, 9),
      .last_event = call.events.last_id().empty() ? call.facts.last_event : call.events.last_id(),
      .copy = call.copy};
  ++call.sent;
  ++call.undeclined;
  if (!call.copy) {
    fleet_.work.Add(call.service,
                    fleet_.board.WorkSeconds(call.facts.work, attempt.placement.uncached_tokens));
  }
  const Result<void> sent = co_await connection->Send(
      codec_.EncodeForward(call.exchange.request(), facts), call.Left(now));
  if (!call.begun && call.route->kind != CallKind::kStream) {
    CountBegun(call, now);
  }
  const unsigned status = sent ? co_await answers_.ReadHeader(call, attempt) : 0;
  if (call.caller.gone()) {
    attempt.end = AttemptEnd::kCancelled;
    co_return Step::kFinished;
  }
  if (status == 0) {
    if (call.fingerprint != 0 && call.Left(BootNow()) > kLeastTime) {
      fleet_.crashes.OnCrash(call.fingerprint,
                             StableHash(attempt.placement.upstream.id.value()) +
                                 static_cast<std::uint64_t>(attempt.placement.upstream.started_ms),
                             BootNow());
    }
    co_return Step::kLost;
  }
  NoteFirstByte(call, attempt);
  if (attempt.answer.not_run) {
    attempt.end = AttemptEnd::kRefused;
    --call.undeclined;
    if (call.begun && call.runs == 0 && call.account != nullptr) {
      fleet_.usage.OnNotRun(*call.begun, call.account->name);
      call.begun.reset();
    }
    co_return Step::kNotRun;
  }
  if (status >= 200 && status < 300 && call.route->kind == CallKind::kStream) {
    co_return co_await answers_.RelayStream(call, attempt, status);
  }
  co_return co_await answers_.RelayWhole(call, attempt, status);
}

void CallRelay::NoteFirstByte(Call& call, Attempt& attempt) {
  const TimePoint now = BootNow();
  const UpstreamId& id = attempt.placement.upstream.id;
  attempt.first_byte = true;
  fleet_.board.OnFirstByte(id, attempt.placement.uncached_tokens, now);
  if (attempt.answer.load) {
    fleet_.board.OnLoadReport(id, attempt.answer.load->running, attempt.answer.load->waiting,
                              attempt.answer.load->slowness, now);
  }
  if (!call.begun && !attempt.answer.not_run) {
    CountBegun(call, now);
  }
}

void CallRelay::CountBegun(Call& call, TimePoint now) {
  if (call.account == nullptr || fleet_.settings.bounds.usage_window == Duration::zero()) {
    return;
  }
  call.begun = fleet_.WindowAt(now);
  fleet_.usage.OnRequestStarted(*call.begun, call.account->name);
}

asio::awaitable<void> CallRelay::Refuse(Call& call, Verdict verdict) {
  const std::string reason(ToString(verdict.reason));
  fleet_.metrics.GetCounter("savoryglade_gateway_refusals_total", {{"reason", reason}}).Add();
  const std::string run_state(ToString(verdict.run_state));
  kLog.Info("A request got no answer of an upstream.",
            {{"request", call.facts.attempt},
             {"route", call.route == nullptr ? std::string("-") : call.route->name},
             {"account", call.account_id().value()},
             {"reason", reason},
             {"detail", call.refusal},
             {"verdict", run_state},
             {"upstream", call.last_upstream ? call.last_upstream->value() : std::string("-")},
             {"connects", call.connects},
             {"sent", call.sent},
             {"routes_version", call.routes == nullptr ? 0 : call.routes->version()},
             {"ms", (BootNow() - call.received) / 1ms}});
  if (call.streaming) {
    call.exchange.Abort();
    co_return;
  }
  if (fleet_.draining) {
    call.exchange.CloseAfterResponse();
  }
  if (call.failure) {
    co_await call.exchange.Respond(call.failure->status, std::move(call.failure->headers),
                                   std::move(call.failure->body));
    co_return;
  }
  const unsigned status = StatusOf(verdict);
  HttpHeaders headers = codec_.OwnHeaders(call.facts.attempt);
  headers.emplace_back("Content-Type", "application/json");
  headers.emplace_back("Savoryglade-Verdict", run_state);
  headers.emplace_back("Savoryglade-Reason", reason);
  if (IsPromise(status) && verdict.retry_after > Duration::zero()) {
    const double seconds = ToSeconds(verdict.retry_after) * RetrySpread(call.facts.attempt);
    headers.emplace_back("Retry-After", fmt::format("{:.2f}", seconds));
  }
  std::string body =
      fmt::format(R"({{"error":{{"reason":"{}","verdict":"{}"}}}})", reason, run_state);
  co_await call.exchange.Respond(status, std::move(headers), std::move(body));
}

}  // namespace savoryglade::gateway
