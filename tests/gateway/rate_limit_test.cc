#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// So low that no second request may follow during a test.
constexpr const char* kLowLimit = "0.001";

class RateLimitTest : public GatewayFixture {
 protected:
  RateLimitTest() {
    PutRoutes(1);
    WaitUntilReady();
  }

  WorkerService& Worker(std::size_t i) { return workers_[i]->service; }

  // Sends requests until the worker has run one more.
  void SendUntilRunBy(const WorkerService& worker) {
    for (const int runs = worker.runs(); worker.runs() == runs;) {
      ASSERT_EQ(SendRequest("GET", "/reads/1", fmt::format("u{}", ++attempts_)).status, 200U);
    }
  }

 private:
  int attempts_ = 0;
};

// Guards against an upstream that gets more requests than the rate that it names.
TEST_F(RateLimitTest, LimitedUpstreamGetsNoMoreThanItTakes) {
  Worker(0).SetRateLimits({kLowLimit});
  SendUntilRunBy(Worker(0));
  const int runs = Worker(0).runs();
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(SendRequest("GET", "/reads/1", fmt::format("a{}", i)).status, 200U);
    EXPECT_EQ(SendRequest("POST", "/stream/1", fmt::format("s{}", i)).status, 200U);
  }
  EXPECT_EQ(Worker(0).runs(), runs);
}

// Guards against retries that exceed the limit of the upstream that gets them.
TEST_F(RateLimitTest, RetriesCountTowardsTheLimit) {
  Worker(0).SetRateLimits({kLowLimit});
  SendUntilRunBy(Worker(0));
  const int runs = Worker(0).runs();
  Worker(1).SetFault(WorkerFault::kCloseAfterRun, 100);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(SendRequest("GET", fmt::format("/reads/{}", i), fmt::format("a{}", i)).status, 502U);
  }
  EXPECT_EQ(Worker(0).runs(), runs);
}

// Guards against requests that wait for their deadline because all upstreams are limited.
TEST_F(RateLimitTest, RequestIsRejectedAtOnceWhenAllUpstreamsAreLimited) {
  for (const std::size_t worker : {0, 1}) {
    Worker(worker).SetRateLimits({kLowLimit});
    SendUntilRunBy(Worker(worker));
  }
  const int runs = TotalRuns();
  const Response response = SendRequest("POST", "/orders/1", "a1");
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "queue_full");
  EXPECT_NE(response.retry_after, "");
  EXPECT_EQ(TotalRuns(), runs);
}

// Guards against a limit that stays in force after the upstream has stopped to name it, and against
// an unreadable or extreme one that stops the upstream.
TEST_F(RateLimitTest, UpstreamWithoutAUsableLimitIsUsedFreely) {
  for (const char* limit : {"", "-1", "nan", "inf", "fast", "1e30", "5000000"}) {
    Worker(0).SetRateLimits({limit});
    SendUntilRunBy(Worker(0));
    SendUntilRunBy(Worker(0));
  }
}

// Guards against an upstream's limit that reaches callers, whom it does not concern.
TEST_F(RateLimitTest, LimitIsNotPassedOnToCallers) {
  Worker(0).SetRateLimits({"100"});
  Worker(1).SetRateLimits({"100"});
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("GET", "/reads/1", "a1"));
  ASSERT_TRUE(connection.ReadAll());
  EXPECT_EQ(connection.status(), 200U);
  EXPECT_EQ(connection.Header("Server-Limit"), "");
}

}  // namespace
}  // namespace savoryglade::gateway
