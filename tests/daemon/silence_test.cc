#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr int kTokens = 40;
constexpr std::string_view kKeyHeader = "Idempotency-Key: stream-1\r\n";
constexpr std::int64_t kPausePosition = 20;
// Most attempts of one request: silences beyond the first one end further attempts.
constexpr std::uint64_t kMaxAttempts = 4;

UpstreamClientOptions ShortTimeouts() {
  UpstreamClientOptions options;
  options.silence_timeout = 50ms;
  options.pool.health_timeout = 50ms;
  return options;
}

// Sound upstream of both kinds that sends the events of a stream up to a position, or nothing of
// another response, and then nothing until it goes on. It answers health checks all the time.
class PausingUpstream {
 public:
  explicit PausingUpstream(std::int64_t pause_position) : pause_position_(pause_position) {}
  ~PausingUpstream() {
    pool_.Stop();
    // The timers belong to the pool, which is destroyed first.
    waiting_.clear();
  }

  void GoOn() {
    const std::lock_guard lock(mutex_);
    is_paused_ = false;
    for (const auto& timer : waiting_) {
      asio::post(timer->get_executor(), [timer] { timer->cancel(); });
    }
  }

  const Endpoint& endpoint() const { return endpoint_; }
  int generations() const {
    const std::lock_guard lock(mutex_);
    return generations_;
  }
  int calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.target() == "/generate") {
      co_await Generate(exchange);
      co_return;
    }
    if (exchange.target() != "/health" && exchange.target() != "/cancel") {
      Count(calls_);
      co_await AwaitEndOfPause();
    }
    co_await exchange.Respond(200, ContentType("text/plain"), "ok\n");
  }

  asio::awaitable<void> Generate(HttpExchange& exchange) {
    Count(generations_);
    const json::object request = json::parse(exchange.request().body()).as_object();
    const auto text = [&](const char* name) { return std::string(request.at(name).as_string()); };
    const std::int64_t end = request.at("max_tokens").as_int64();
    bool open = co_await exchange.StartStream(200, ContentType("text/event-stream"));
    for (std::int64_t position = request.at("position").as_int64(); open; ++position) {
      if (position >= pause_position_) {
        co_await AwaitEndOfPause();
      }
      json::object event = {{"generation", text("generation")}, {"position", position}};
      if (position < end) {
        event["token"] = Engine::TokenAt(text("prompt"), text("seed"), position);
      } else {
        event["done"] = true;
      }
      open = co_await exchange.WriteChunk("data: " + json::serialize(event) + "\n\n");
      if (position >= end) {
        co_await exchange.EndStream();
        co_return;
      }
    }
  }

  asio::awaitable<void> AwaitEndOfPause() {
    const auto timer =
        std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, TimePoint::max());
    {
      const std::lock_guard lock(mutex_);
      if (!is_paused_) {
        co_return;
      }
      waiting_.push_back(timer);
    }
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  }

  void Count(int& count) {
    const std::lock_guard lock(mutex_);
    ++count;
  }

  const std::int64_t pause_position_;
  mutable std::mutex mutex_;
  bool is_paused_ = true;
  std::vector<std::shared_ptr<asio::steady_timer>> waiting_;
  int generations_ = 0;
  int calls_ = 0;
  WorkerPool pool_{1};
  HttpServer server_{pool_, HttpLimits{},
                     [this](HttpExchange& exchange) { return Handle(exchange); }};
  Endpoint endpoint_ = *server_.Listen({.address = "127.0.0.1", .port = 0});
};

std::uint64_t CountSilences(Daemon& daemon) {
  return daemon.metrics()
      .GetCounter("savoryglade_silent_upstreams_total", {{"found_by", "stream"}})
      .value();
}

// Guards against a stream that is cut off, because its only upstream was silent for a while.
TEST(SilenceTest, OnlyUpstreamKeepsItsStreamWhileItIsSilent) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  for (const std::int64_t position : {std::int64_t{0}, kPausePosition}) {
    PausingUpstream upstream(position);
    const auto daemon =
        StartDaemon({.engines = {upstream.endpoint()}, .dependencies = {.path = ShortTimeouts()}});
    CallerConnection caller(daemon->callers_endpoint());
    caller.Send(MakeChatRequest(kTokens, kKeyHeader));
    WaitFor([&] { return CountSilences(*daemon) == kMaxAttempts; });
    upstream.GoOn();
    EXPECT_TRUE(caller.ReadAll());
    EXPECT_EQ(caller.status(), 200U);
    EXPECT_EQ(caller.body(), expected) << position;
  }
}

// Guards against streams that are cut off, because the slots of each other upstream are in use.
TEST(SilenceTest, SilentStreamsGoOnWhileOtherUpstreamsAreFull) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  PausingUpstream a(kPausePosition);
  PausingUpstream b(kPausePosition);
  const auto daemon = StartDaemon({.engines = {a.endpoint(), b.endpoint()},
                                   .concurrency = 1,
                                   .dependencies = {.path = ShortTimeouts()}});
  CallerConnection first(daemon->callers_endpoint());
  first.Send(MakeChatRequest(kTokens, kKeyHeader));
  WaitFor([&] { return a.generations() + b.generations() == 1; });
  CallerConnection second(daemon->callers_endpoint());
  second.Send(MakeChatRequest(kTokens, "Idempotency-Key: stream-2\r\n"));
  WaitFor([&] { return CountSilences(*daemon) == 2 * kMaxAttempts; });
  a.GoOn();
  b.GoOn();
  EXPECT_TRUE(first.ReadAll());
  EXPECT_EQ(first.body(), expected);
  EXPECT_TRUE(second.ReadAll());
  EXPECT_NE(second.body().find("[DONE]"), std::string::npos) << second.body();
}

// Guards against a silent stream that waits although another upstream goes on with it.
TEST(SilenceTest, SilentStreamGoesOnAtAnUpstreamThatHasItsNextEvent) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  PausingUpstream silent(kPausePosition);
  EngineServer sound;
  const auto daemon = StartDaemon(
      {.engines = {silent.endpoint(), sound.endpoint}, .dependencies = {.path = ShortTimeouts()}});
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(kTokens, kKeyHeader));
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), expected);
  EXPECT_EQ(daemon->metrics().GetCounter("savoryglade_streams_continued_total").value(),
            static_cast<std::uint64_t>(silent.generations()));
}

// Guards against a repeatable call that is given up, because its only upstream is silent for longer
// than an engine may be.
TEST(SilenceTest, PlainCallWaitsForASilentUpstream) {
  PausingUpstream engine(0);
  PausingUpstream service(0);
  const auto daemon = StartDaemon({.engines = {engine.endpoint()},
                                   .plain = {service.endpoint()},
                                   .dependencies = {.path = ShortTimeouts()}});
  CallerConnection call(daemon->callers_endpoint());
  call.Send(MakePlainRequest("GET", "/orders/7"));
  WaitFor([&] { return service.calls() == 1; });
  CallerConnection stream(daemon->callers_endpoint());
  stream.Send(MakeChatRequest(kTokens));
  WaitFor([&] { return CountSilences(*daemon) == kMaxAttempts; });
  service.GoOn();
  EXPECT_TRUE(call.ReadAll());
  EXPECT_EQ(call.status(), 200U);
  EXPECT_EQ(service.calls(), 1);
  engine.GoOn();
  EXPECT_TRUE(stream.ReadAll());
  EXPECT_EQ(stream.status(), 200U);
}

// Guards against a request that is refused as one that ends its upstreams, because this daemon gave
// up three upstreams that were silent while they ran it.
TEST(SilenceTest, SilentUpstreamsAreNoCrashes) {
  std::array<EngineServer, 4> engines;
  std::vector<Endpoint> endpoints;
  for (EngineServer& engine : engines) {
    engine.engine.SetFault(EngineFault::kStall);
    endpoints.push_back(engine.endpoint);
  }
  const auto daemon =
      StartDaemon({.engines = endpoints, .dependencies = {.path = ShortTimeouts()}});
  CallerConnection during(daemon->callers_endpoint());
  during.Send(MakeChatRequest(kTokens));
  EXPECT_TRUE(during.ReadAll());
  EXPECT_EQ(during.Header("Savoryglade-Reason"), "upstream_lost");
  for (EngineServer& engine : engines) {
    engine.engine.SetFault(EngineFault::kNone);
  }
  MetricRegistry& metrics = daemon->metrics();
  EXPECT_EQ(metrics.GetCounter("savoryglade_crash_refusals_total").value(), 0U);
  CallerConnection after(daemon->callers_endpoint());
  after.Send(MakeChatRequest(kTokens));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(after.status(), 200U) << after.body();
}

}  // namespace
}  // namespace savoryglade
