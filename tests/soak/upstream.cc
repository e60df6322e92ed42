#include "soak/upstream.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <iterator>
#include <utility>
#include <vector>

#include "core/prefix_hash.h"
#include "core/random.h"
#include "net/peer_disconnect_monitor.h"
#include "net/sleep.h"
#include "soak/event_text.h"

namespace savoryglade::soak {
namespace {

// One request of this many is rejected as not run.
constexpr std::uint64_t kRequestsPerRejection = 40;
// Bounds of the time for which a stream is silent.
constexpr Duration kMinSilence = 1s;
constexpr Duration kMaxSilence = 3s;
// Time after an upstream first said that it is brittle from which it has fewer slots.
constexpr Duration kBrittleNotice = 3s;

}  // namespace

Upstream::Upstream(UpstreamOptions options, History& history)
    : options_(std::move(options)), history_(history), worker_(options_.id) {
  worker_.SetVersion(options_.version);
  pool_ = std::make_unique<WorkerPool>(1);
  server_ = std::make_unique<HttpServer>(
      *pool_, HttpLimits{}, [this](HttpExchange& exchange) { return Handle(exchange); });
  link_ = std::make_unique<EmulatedLink>(*server_->Listen({.address = "127.0.0.1", .port = 0}));
  endpoint_ = link_->endpoint();
}

void Upstream::Break() {
  history_.AddBreak(options_.id);
  Close();
}

void Upstream::Close() {
  if (pool_ == nullptr) {
    return;
  }
  link_.reset();
  pool_->Stop();
  server_.reset();
  pool_.reset();
}

void Upstream::SetRateLimit(std::optional<double> rate) {
  worker_.SetRateLimits(rate ? std::vector{fmt::format("{:.1f}", *rate)}
                             : std::vector<std::string>());
  rate_limit_ = rate.value_or(0);
  history_.AddRateLimit(options_.id, rate);
}

void Upstream::SayLeaving() {
  leaving_ = true;
  worker_.SetSignals(Signals());
}

boost::asio::awaitable<void> Upstream::Reject(HttpExchange& exchange, const std::string& attempt) {
  HttpHeaders headers = Signals();
  headers.emplace_back("Attempt-Id", attempt);
  headers.emplace_back("Not-Executed", "1");
  const TimePoint wait_end = rejects_until_;
  if (const Duration wait = wait_end - Now(); wait > Duration::zero()) {
    headers.emplace_back("Retry-After", fmt::format("{:.3f}", ToSeconds(wait)));
    history_.AddWish(options_.id, attempt, wait_end);
  }
  co_await exchange.Respond(503, std::move(headers), {});
}

std::string Upstream::Registration(bool leaving) const {
  return fmt::format(
      R"({{"service":"s","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{}"}})",
      ToString(endpoint_), options_.failure_domain, options_.version, options_.slots,
      leaving ? "draining" : "ready");
}

Duration Upstream::ServiceTime(const std::string& attempt) const {
  constexpr std::uint64_t kSteps = 1000;
  const double share = static_cast<double>(Fnv1aHash(attempt) % kSteps) / kSteps;
  return options_.min_service_time +
         FromSeconds(ToSeconds(options_.max_service_time - options_.min_service_time) * share);
}

Upstream::Silence Upstream::DrawSilence(const std::string& attempt, int events_before) const {
  Random random(options_.seed + Fnv1aHash(attempt + options_.id));
  const int events = WorkerService::kEventsPerStream - events_before;
  if (events <= 0 || !random.Bernoulli(options_.silent_share)) {
    return {};
  }
  return {.before_event = events_before + 1 +
                          static_cast<int>(random.UniformInt(static_cast<std::uint64_t>(events))),
          .length = kMinSilence +
                    FromSeconds(ToSeconds(kMaxSilence - kMinSilence) * random.UniformReal()),
          .behind_header = random.Bernoulli(0.5)};
}

void Upstream::SetBrittle(int rejections) {
  brittle_since_ = Now();
  brittle_ = rejections;
  worker_.SetSignals(Signals());
}

int Upstream::Slots() const {
  const bool is_short = brittle_ > 0 && Now() >= brittle_since_.load() + kBrittleNotice;
  return is_short ? options_.slots / 2 : options_.slots;
}

void Upstream::CountRejection(const std::string& attempt) {
  constexpr Duration kSpan = 1s;
  const TimePoint now = Now();
  rejections_.push_back({.at = now, .attempt = attempt});
  while (now - rejections_.front().at >= kSpan) {
    rejections_.pop_front();
  }
  const int limit = brittle_;
  if (limit > 0 && !crashed_ && std::ssize(rejections_) > limit) {
    crashed_ = true;
    history_.AddFall({rejections_.begin(), rejections_.end()});
    options_.on_crash();
  }
}

HttpHeaders Upstream::Signals() const {
  HttpHeaders headers;
  if (leaving_) {
    headers.emplace_back("Server-Leaving", "1");
  }
  if (const int brittle = brittle_; brittle > 0) {
    headers.emplace_back("Server-Brittle", std::to_string(brittle));
  }
  return headers;
}

HttpHeaders Upstream::ResponseHeaders(const std::string& attempt) const {
  HttpHeaders headers = Signals();
  headers.emplace_back("Attempt-Id", attempt);
  headers.emplace_back("Response-Seal",
                       fmt::format("seal-of-{}/{}", options_.id, options_.version));
  headers.emplace_back("Server-Load", brittle_ > 0
                                          ? fmt::format("{},0,{},100", running_.load(), Slots())
                                          : "1,0,4,100");
  headers.emplace_back("Keep-Alive", "timeout=5");
  if (const double rate = rate_limit_; rate > 0) {
    headers.emplace_back("Server-Limit", fmt::format("{:.1f}", rate));
  }
  return headers;
}

boost::asio::awaitable<bool> Upstream::Wait(HttpExchange& exchange, Duration time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
  PeerDisconnectMonitor daemon(exchange.stream());
  daemon.OnDisconnect([&timer] { timer.cancel(); });
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return !daemon.disconnected();
}

boost::asio::awaitable<bool> Upstream::Stream(HttpExchange& exchange, std::size_t run,
                                              int events_before, Silence silence) {
  const int first = events_before + 1;
  const bool begins_late = silence.before_event == first;
  if (begins_late && !silence.behind_header && !co_await Wait(exchange, silence.length)) {
    co_return false;
  }
  HttpHeaders headers = ResponseHeaders(std::string(exchange.Header("Attempt-Id")));
  headers.emplace_back("Content-Type", "text/event-stream");
  if (!co_await exchange.StartStream(200, std::move(headers))) {
    co_return false;
  }
  if (begins_late && silence.behind_header && !co_await Wait(exchange, silence.length)) {
    co_return false;
  }
  for (int event = first; event <= WorkerService::kEventsPerStream; ++event) {
    const Duration pause = event == silence.before_event ? silence.length : options_.event_interval;
    if (event > first && !co_await Wait(exchange, pause)) {
      co_return false;
    }
    history_.RecordFirstSend(std::string(exchange.Header("Attempt-Id")), run);
    if (!co_await exchange.WriteChunk(EventText(event, options_.event_bytes))) {
      co_return false;
    }
  }
  co_return co_await exchange.EndStream();
}

boost::asio::awaitable<void> Upstream::Handle(HttpExchange& exchange) {
  const std::string attempt(exchange.Header("Attempt-Id"));
  const std::string expected(exchange.Header("Expect-Instance"));
  if (attempt.empty() || expected != options_.id) {
    co_await worker_.Handle(exchange);
    co_return;
  }
  history_.AddArrival(options_.id, attempt);
  const std::string last_event(exchange.Header("Last-Event-Id"));
  const bool is_full = running_ >= Slots();
  if (is_full) {
    CountRejection(attempt);
  }
  if (Now() < rejects_until_.load() || is_full ||
      (options_.rejects_resumed && !last_event.empty()) ||
      Fnv1aHash(attempt + options_.id) % kRequestsPerRejection == 0) {
    co_await Reject(exchange, attempt);
    co_return;
  }
  const int events_before = last_event.empty() ? 0 : std::stoi(last_event);
  const bool is_stream = exchange.target().find("/stream/") != std::string_view::npos;
  const Duration stream_time =
      options_.event_interval * (WorkerService::kEventsPerStream - 1 - events_before);
  const Silence silence = is_stream ? DrawSilence(attempt, events_before) : Silence();
  const std::size_t run =
      history_.BeginRun(attempt, {.upstream = options_.id,
                                  .version = options_.version,
                                  .events_before = events_before,
                                  .first_sent_at = std::nullopt,
                                  .ended_at = std::nullopt,
                                  .length = ServiceTime(attempt) + silence.length +
                                            (is_stream ? stream_time : Duration::zero()),
                                  .silence = silence.length});
  ++running_;
  if (exchange.target().find(kCrashingName) != std::string_view::npos) {
    co_await Sleep(ServiceTime(attempt));
    options_.on_crash();
    // Nothing is answered any more.
    while (true) {
      co_await Sleep(1s);
    }
  }
  bool open = co_await Wait(exchange, ServiceTime(attempt));
  if (open && leaving_) {
    history_.AddWish(options_.id, attempt, std::nullopt);
  }
  if (open && is_stream) {
    open = co_await Stream(exchange, run, events_before, silence);
  } else if (open) {
    history_.RecordFirstSend(attempt, run);
    open = co_await exchange.Respond(
        200, ResponseHeaders(attempt),
        fmt::format("{} {} {}", std::string(exchange.request().method_string()), exchange.target(),
                    exchange.request().body()));
  }
  if (!open) {
    exchange.Abort();
  }
  --running_;
  history_.EndRun(attempt, run);
}

}  // namespace savoryglade::soak
