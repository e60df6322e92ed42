#include <string>
#include <string_view>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

constexpr std::string_view kConfirm = "/orders/confirmations";
constexpr std::string_view kKey = "Idempotency-Key: delivery-1\r\n";

// Answer of one call on a connection of its own.
struct Answer {
  unsigned status = 0;
  std::string verdict;
  std::string reason;
  std::string body;
};

Answer Call(const Daemon& daemon, const std::string& request) {
  CallerConnection caller(daemon.callers_endpoint());
  caller.Send(request);
  EXPECT_TRUE(caller.ReadAll());
  return {.status = caller.status(),
          .verdict = caller.Header("Savoryglade-Verdict"),
          .reason = caller.Header("Savoryglade-Reason"),
          .body = caller.body()};
}

// Guards against a delivery that is confirmed twice because the answer to it was lost.
TEST(PlainTest, LostAnswerOfAMayNotRepeatCallGivesMayHaveRunAndRanOnce) {
  PlainServiceServer a;
  PlainServiceServer b;
  const auto daemon = StartDaemon({.plain = {a.endpoint, b.endpoint}});
  a.service.SetFault(PlainFault::kCloseAfter, 1);
  b.service.SetFault(PlainFault::kCloseAfter, 1);
  const Answer lost = Call(*daemon, MakePlainRequest("POST", kConfirm, kKey, "{}"));
  EXPECT_EQ(lost.status, 502U);
  EXPECT_EQ(lost.verdict, "may_have_run");
  EXPECT_EQ(lost.reason, "upstream_lost");
  const Answer again = Call(*daemon, MakePlainRequest("POST", kConfirm, kKey, "{}"));
  EXPECT_EQ(again.verdict, "may_have_run");
  EXPECT_EQ(again.reason, "claimed_elsewhere");
  EXPECT_EQ(a.service.RunCount("delivery-1") + b.service.RunCount("delivery-1"), 1U);
}

// Guards against a confirmation that can't be told from another one when it is sent again.
TEST(PlainTest, MayNotRepeatCallWithoutIdentityIsRefused) {
  PlainServiceServer host;
  const auto daemon = StartDaemon({.plain = {host.endpoint}});
  const Answer answer = Call(*daemon, MakePlainRequest("POST", kConfirm, "", "{}"));
  EXPECT_EQ(answer.status, 400U);
  EXPECT_EQ(answer.verdict, "not_run");
  EXPECT_EQ(answer.reason, "idempotency_key_required");
  EXPECT_EQ(host.service.runs(), 0U);
}

// Guards against a second run when a caller sends a confirmation again that was answered.
TEST(PlainTest, MayNotRepeatCallSentAgainGetsTheStoredResponse) {
  PlainServiceServer host;
  const auto daemon = StartDaemon({.plain = {host.endpoint}});
  const Answer first = Call(*daemon, MakePlainRequest("POST", kConfirm, kKey, "{}"));
  const Answer second = Call(*daemon, MakePlainRequest("POST", kConfirm, kKey, "{}"));
  EXPECT_EQ(first.status, 200U);
  EXPECT_EQ(second.status, 200U);
  EXPECT_EQ(second.verdict, "ran");
  EXPECT_EQ(second.body, first.body);
  EXPECT_EQ(host.service.runs(), 1U);
}

// Guards against retries where the method forbids them, and against refusals where a retry helps.
TEST(PlainTest, RetriesOnlyWhereTheRequestDidNotRunOrMayRepeat) {
  struct Case {
    std::string_view method;
    PlainFault fault;
    unsigned status;
    std::string_view verdict;
    std::uint64_t runs;
  };
  for (const Case& test : {
           Case{"GET", PlainFault::kCloseAfter, 200, "ran", 2},
           Case{"PUT", PlainFault::kCloseBefore, 200, "ran", 1},
           Case{"DELETE", PlainFault::kRefuse, 200, "ran", 1},
           Case{"POST", PlainFault::kRefuse, 200, "ran", 1},
           Case{"POST", PlainFault::kCloseBefore, 502, "may_have_run", 0},
           Case{"POST", PlainFault::kCloseAfter, 502, "may_have_run", 1},
           Case{"PATCH", PlainFault::kCloseAfter, 502, "may_have_run", 1},
           Case{"POST", PlainFault::kFail, 500, "ran", 1},
       }) {
    PlainServiceServer faulty;
    PlainServiceServer sound;
    const auto daemon = StartDaemon({.plain = {faulty.endpoint}});
    faulty.service.SetFault(test.fault, 1);
    const Answer answer = Call(*daemon, MakePlainRequest(test.method, "/orders/7", "", "{}"));
    EXPECT_EQ(answer.status, test.status) << test.method << static_cast<int>(test.fault);
    EXPECT_EQ(answer.verdict, test.verdict) << test.method << static_cast<int>(test.fault);
    EXPECT_EQ(faulty.service.runs(), test.runs) << test.method << static_cast<int>(test.fault);
  }
}

// Guards against a may-not-repeat call that is given up although its upstream never got it.
TEST(PlainTest, MayNotRepeatCallIsSentElsewhereAfterARefusal) {
  PlainServiceServer host;
  const auto daemon = StartDaemon({.plain = {host.endpoint}});
  host.service.SetFault(PlainFault::kRefuse, 1);
  const Answer answer = Call(*daemon, MakePlainRequest("POST", kConfirm, kKey, "{}"));
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(host.service.RunCount("delivery-1"), 1U);
}

// Guards against a caller's bearer key that reaches an upstream, and against lost headers.
TEST(PlainTest, HeadersPassInBothDirectionsWithoutTheBearerKey) {
  std::string seen;
  WorkerPool pool(1);
  HttpServer server(pool, HttpLimits{},
                    [&seen](HttpExchange& exchange) -> boost::asio::awaitable<void> {
                      seen = std::string(exchange.Header("Authorization")) + "|" +
                             std::string(exchange.Header("X-Courier"));
                      HttpHeaders headers = ContentType("text/plain");
                      headers.emplace_back("X-Booked", "yes");
                      co_await exchange.Respond(201, std::move(headers), "booked");
                    });
  const auto endpoint = server.Listen({.address = "127.0.0.1"});
  ASSERT_TRUE(endpoint);
  {
    const auto daemon = StartDaemon({.plain = {*endpoint}});
    CallerConnection caller(daemon->callers_endpoint());
    caller.Send(MakePlainRequest("POST", "/orders", "X-Courier: 7\r\n", "{}"));
    EXPECT_TRUE(caller.ReadAll());
    EXPECT_EQ(caller.status(), 201U);
    EXPECT_EQ(caller.Header("X-Booked"), "yes");
    EXPECT_EQ(caller.body(), "booked");
  }
  pool.Stop();
  EXPECT_EQ(seen, "|7");
}

// Guards against requests that wait on a connection which has become silent, although new
// connections to the same upstream work.
TEST(PlainTest, SilentIdleConnectionIsFoundAndReplaced) {
  EngineServer engine;
  DaemonDependencies parts;
  parts.path.pool = {.health_interval = 20ms, .health_timeout = 50ms};
  const auto daemon = StartDaemon({.engines = {engine.endpoint}, .parts = parts});
  CallerConnection first(daemon->callers_endpoint());
  first.Send(MakeChatRequest(2));
  EXPECT_TRUE(first.ReadAll());
  engine.engine.SetFault(EngineFault::kSilentConnections);
  Counter& found =
      daemon->metrics().GetCounter("savoryglade_silent_upstreams_total", {{"found_by", "health"}});
  WaitFor([&] { return found.value() == 1; });
  CallerConnection second(daemon->callers_endpoint());
  second.Send(MakeChatRequest(2));
  EXPECT_TRUE(second.ReadAll());
  EXPECT_EQ(second.status(), 200U);
  EXPECT_EQ(daemon->metrics().GetCounter("savoryglade_retries_total").value(), 0U);
}

}  // namespace
}  // namespace savoryglade
