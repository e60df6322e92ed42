#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

constexpr std::string_view kConfirmationsPath = "/orders/confirmations";
constexpr std::string_view kKeyHeader = "Idempotency-Key: delivery-1\r\n";

// Response to a request that was sent on a new connection.
struct TestResponse {
  unsigned status = 0;
  std::string verdict;
  std::string reason;
  std::string body;
};

TestResponse SendRequest(const Daemon& daemon, const std::string& request) {
  CallerConnection caller(daemon.callers_endpoint());
  caller.Send(request);
  EXPECT_TRUE(caller.ReadAll());
  return {.status = caller.status(),
          .verdict = caller.Header("Savoryglade-Verdict"),
          .reason = caller.Header("Savoryglade-Reason"),
          .body = caller.body()};
}

// Guards against a confirmation that runs twice because its response was lost.
TEST(PlainTest, MayNotRepeatRequestWithLostResponseGetsMayHaveRunAndRunsOnce) {
  PlainServiceServer a;
  PlainServiceServer b;
  const auto daemon = StartDaemon({.plain = {a.endpoint, b.endpoint}});
  a.service.SetFault(PlainFault::kCloseAfter, 1);
  b.service.SetFault(PlainFault::kCloseAfter, 1);
  const TestResponse lost =
      SendRequest(*daemon, MakePlainRequest("POST", kConfirmationsPath, kKeyHeader, "{}"));
  EXPECT_EQ(lost.status, 502U);
  EXPECT_EQ(lost.verdict, "may_have_run");
  EXPECT_EQ(lost.reason, "upstream_lost");
  const TestResponse again =
      SendRequest(*daemon, MakePlainRequest("POST", kConfirmationsPath, kKeyHeader, "{}"));
  EXPECT_EQ(again.verdict, "may_have_run");
  EXPECT_EQ(again.reason, "claimed_elsewhere");
  EXPECT_EQ(a.service.RunCount("delivery-1") + b.service.RunCount("delivery-1"), 1U);
}

// Guards against a request that ends one upstream after the other.
TEST(PlainTest, RequestThatLosesThreeUpstreamsIsRefused) {
  std::array<PlainServiceServer, 5> hosts;
  std::vector<Endpoint> endpoints;
  for (PlainServiceServer& host : hosts) {
    host.service.SetFault(PlainFault::kCloseAfter, 100);
    endpoints.push_back(host.endpoint);
  }
  const auto daemon = StartDaemon({.plain = endpoints});
  TestResponse response;
  for (int i = 0; i < 8; ++i) {
    response = SendRequest(*daemon, MakePlainRequest("GET", "/orders/7?page=" + std::to_string(i)));
  }
  EXPECT_EQ(response.status, 422U);
  EXPECT_EQ(response.reason, "request_crashes_upstreams");
  EXPECT_EQ(response.verdict, "not_run");
  std::uint64_t runs = 0;
  for (PlainServiceServer& host : hosts) {
    runs += host.service.runs();
    host.service.SetFault(PlainFault::kNone, 0);
  }
  EXPECT_EQ(runs, 3U);
  EXPECT_EQ(SendRequest(*daemon, MakePlainRequest("GET", "/orders/8")).status, 200U);
}

// Guards against a confirmation that can't be identified when it is resent.
TEST(PlainTest, MayNotRepeatRequestWithoutIdentityIsRejected) {
  PlainServiceServer host;
  const auto daemon = StartDaemon({.plain = {host.endpoint}});
  const TestResponse response =
      SendRequest(*daemon, MakePlainRequest("POST", kConfirmationsPath, "", "{}"));
  EXPECT_EQ(response.status, 400U);
  EXPECT_EQ(response.verdict, "not_run");
  EXPECT_EQ(response.reason, "idempotency_key_required");
  EXPECT_EQ(host.service.runs(), 0U);
}

// Guards against a second run when a caller resends a confirmation that has completed.
TEST(PlainTest, ResentMayNotRepeatRequestGetsTheStoredResponse) {
  PlainServiceServer host;
  const auto daemon = StartDaemon({.plain = {host.endpoint}});
  const TestResponse first =
      SendRequest(*daemon, MakePlainRequest("POST", kConfirmationsPath, kKeyHeader, "{}"));
  const TestResponse second =
      SendRequest(*daemon, MakePlainRequest("POST", kConfirmationsPath, kKeyHeader, "{}"));
  EXPECT_EQ(first.status, 200U);
  EXPECT_EQ(second.status, 200U);
  EXPECT_EQ(second.verdict, "ran");
  EXPECT_EQ(second.body, first.body);
  EXPECT_EQ(host.service.runs(), 1U);
}

// Guards against retries that the method forbids, and against failures that a retry would avoid.
TEST(PlainTest, RetriesOnlyIfTheRequestDidNotRunOrIsRepeatable) {
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
    const TestResponse response =
        SendRequest(*daemon, MakePlainRequest(test.method, "/orders/7", "", "{}"));
    EXPECT_EQ(response.status, test.status) << test.method << static_cast<int>(test.fault);
    EXPECT_EQ(response.verdict, test.verdict) << test.method << static_cast<int>(test.fault);
    EXPECT_EQ(faulty.service.runs(), test.runs) << test.method << static_cast<int>(test.fault);
  }
}

// Guards against a may-not-repeat request that fails although its upstream did not run it.
TEST(PlainTest, MayNotRepeatRequestIsRetriedAfterARejection) {
  PlainServiceServer host;
  const auto daemon = StartDaemon({.plain = {host.endpoint}});
  host.service.SetFault(PlainFault::kRefuse, 1);
  const TestResponse response =
      SendRequest(*daemon, MakePlainRequest("POST", kConfirmationsPath, kKeyHeader, "{}"));
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(host.service.RunCount("delivery-1"), 1U);
}

// Guards against forwarding a caller's bearer key to an upstream, and against lost headers.
TEST(PlainTest, ForwardsHeadersInBothDirectionsExceptTheBearerKey) {
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

// Guards against requests that wait on a pooled connection that has become silent, although new
// connections to the same upstream work.
TEST(PlainTest, SilentIdleConnectionIsDetectedAndReplaced) {
  EngineServer engine;
  DaemonDependencies dependencies;
  dependencies.path.pool = {.health_interval = 20ms, .health_timeout = 50ms};
  const auto daemon = StartDaemon({.engines = {engine.endpoint}, .dependencies = dependencies});
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

// Guards against a method that reaches the service as another one, because the HTTP library does
// not list it.
TEST(PlainTest, UnlistedMethodReachesTheService) {
  PlainServiceServer a;
  const auto daemon = StartDaemon({.plain = {a.endpoint}});
  const TestResponse response =
      SendRequest(*daemon, MakePlainRequest("CONFIRM", kConfirmationsPath, "", "{}"));
  EXPECT_EQ(response.status, 200U);
  EXPECT_NE(response.body.find("CONFIRM"), std::string::npos) << response.body;
}

}  // namespace
}  // namespace savoryglade
