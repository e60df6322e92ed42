#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <thread>

#include "core/boot_clock.h"
#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "gateway/gateway.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

class GatewayDrainTest : public GatewayFixture {
 protected:
  // Starts a gateway whose drain takes at most the grace period.
  void StartDrainingSoon(Duration grace_period) {
    FleetBounds bounds = TestBounds();
    bounds.stop_grace = grace_period;
    bounds.balancer_delay = 100ms;
    gateway_ = MakeGateway("daemon-1", store_.endpoint, bounds);
    PutRoutes(1);
    WaitUntilReady();
  }

  void AwaitDrainFinished() const {
    while (!gateway_->DrainFinished()) {
      std::this_thread::yield();
    }
  }
};

// Guards against requests that are accepted after the decision to exit and then cut off.
TEST_F(GatewayDrainTest, RunsNoRequestAfterItHasFinishedDraining) {
  StartDrainingSoon(8s);
  CallerConnection kept(gateway_->callers_endpoint());
  ASSERT_EQ(SendText(kept, FormatRequest("GET", "/reads/1", "a1")).status, 200U);
  gateway_->BeginDrain(BootNow());
  AwaitDrainFinished();
  kept.StartNextResponse();
  SendText(kept, FormatRequest("GET", "/reads/1", "a2"));
  EXPECT_EQ(RunCount("a2"), 0);
}

// Guards against the end of a daemon in the middle of a request that it is reading.
TEST_F(GatewayDrainTest, RefusesARequestThatIsHalfReadWhenItStopsToAcceptRequests) {
  StartDrainingSoon(8s);
  CallerConnection idle(gateway_->callers_endpoint());
  ASSERT_EQ(SendText(idle, FormatRequest("GET", "/reads/1", "a1")).status, 200U);
  const std::string request = FormatRequest("POST", "/orders/1", "a2", kApiKey, "order");
  CallerConnection half_sent(gateway_->callers_endpoint());
  half_sent.Send(request.substr(0, request.size() / 2));
  // The response to a later request shows that the gateway has read the first half.
  ASSERT_EQ(SendRequest("GET", "/reads/1", "a3").status, 200U);
  gateway_->BeginDrain(BootNow());
  // A gateway that accepts no requests any more closes its idle connections.
  while (!idle.ClosedByPeer() && !gateway_->DrainFinished()) {
    std::this_thread::yield();
  }
  EXPECT_FALSE(gateway_->DrainFinished());
  const Response response = SendText(half_sent, request.substr(request.size() / 2));
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "draining");
  EXPECT_NE(response.retry_after, "");
  EXPECT_EQ(RunCount("a2"), 0);
  AwaitDrainFinished();
}

// Guards against calls that get no answer because their upstream takes longer than the grace
// period.
TEST_F(GatewayDrainTest, AnswersACallThatIsInFlightWhenTheGracePeriodEnds) {
  StartDrainingSoon(300ms);
  SetFaults(WorkerFault::kNoResponse, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("POST", "/orders/1", "a1"));
  while (RunCount("a1") == 0) {
    std::this_thread::yield();
  }
  gateway_->BeginDrain(BootNow());
  const std::jthread stopper([this] {
    AwaitDrainFinished();
    gateway_->Stop();
    gateway_.reset();
  });
  EXPECT_TRUE(connection.ReadAll());
  EXPECT_EQ(connection.status(), 502U);
  EXPECT_EQ(connection.Header("Savoryglade-Verdict"), "may_have_run");
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against a daemon that counts the grace period from the moment at which it notices the stop
// order, and accepts what it can't end before it is killed.
TEST_F(GatewayDrainTest, GracePeriodCountsFromTheStopOrder) {
  StartDrainingSoon(8s);
  SetFaults(WorkerFault::kNoResponse, 1);
  CallerConnection running(gateway_->callers_endpoint());
  running.Send(FormatRequest("POST", "/orders/1", "a1"));
  while (RunCount("a1") == 0) {
    std::this_thread::yield();
  }
  gateway_->BeginDrain(BootNow() - 5s);
  EXPECT_EQ(SendRequest("POST", "/stream/1", "a2").reason, "draining");
  EXPECT_EQ(RunCount("a2"), 0);
  running.Close();
}

// Upstream that sends the first part of a large body and then waits for the end of the connection.
struct UnfinishedBodyService {
  // Larger than what the gateway buffers before it relays a response.
  static constexpr std::size_t kSentBytes = 600 * 1024;

  static boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    HttpHeaders headers;
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Response-Seal", "seal");
    co_await exchange.StartStream(200, std::move(headers), std::string(kSentBytes, 'x'));
    char byte = 0;
    co_await exchange.stream().async_read_some(boost::asio::buffer(&byte, 1),
                                               boost::asio::as_tuple(boost::asio::use_awaitable));
    exchange.Abort();
  }
};

// Guards against the record of a crash of an upstream whose connection this daemon has closed.
TEST_F(GatewayDrainTest, AnInterruptedResponseIsNoCrashOfItsUpstream) {
  ServiceServer<UnfinishedBodyService> unfinished;
  RegisterWorker(0, "draining");
  RegisterWorker(1, "draining");
  RegisterUpstream("worker-unfinished", unfinished.endpoint, "ready");
  StartDrainingSoon(300ms);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("GET", "/reads/1", "a1"));
  connection.ReadUntil([](const std::string& body) { return !body.empty(); });
  ASSERT_EQ(connection.status(), 200U);
  const std::jthread reader([&connection] { EXPECT_FALSE(connection.ReadAll()); });
  gateway_->BeginDrain(BootNow());
  AwaitDrainFinished();
  EXPECT_EQ(Metrics().find(R"(event="recorded")"), std::string::npos);
  EXPECT_TRUE(store_.service.Rows("savoryglade-crashes").empty());
  gateway_->Stop();
  gateway_.reset();
}

}  // namespace
}  // namespace savoryglade::gateway
