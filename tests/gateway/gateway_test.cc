#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <iterator>
#include <memory>
#include <regex>
#include <string>

#include "core/boot_clock.h"
#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"
#include "tests/net/unread_peer.h"

namespace savoryglade::gateway {
namespace {

class GatewayTest : public GatewayFixture {};

TEST_F(GatewayTest, RejectsRequestsAsNotRunBeforeTheRoutesAreLoaded) {
  const Response response = SendRequest("GET", "/reads/1", "a1");
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "not_ready");
  EXPECT_FALSE(response.retry_after.empty());
  EXPECT_EQ(
      SendText(gateway_->readiness_endpoint(), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status,
      503U);
}

TEST_F(GatewayTest, ForwardsRequestsAndResponsesUnchanged) {
  PutRoutes(1);
  WaitUntilReady();
  const Response response = SendRequest("POST", "/orders/7?x=1", "a1", kApiKey, "two pies");
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(response.body, "POST /orders/7?x=1 two pies");
  EXPECT_TRUE(response.seal.starts_with("seal-of-worker-"));
  EXPECT_EQ(response.attempt, "a1");
  EXPECT_EQ(RunCount("a1"), 1);
}

TEST_F(GatewayTest, ForwardsARequestOnAConnectionThatStaysOpen) {
  PutRoutes(1);
  WaitUntilReady();
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("GET", "/reads/1", "a1"));
  EXPECT_TRUE(connection.ReadAll());
  EXPECT_EQ(connection.body(), "GET /reads/1 ");
}

TEST_F(GatewayTest, RejectsUnknownKeysAndRoutes) {
  PutRoutes(1);
  WaitUntilReady();
  EXPECT_EQ(SendRequest("GET", "/reads/1", "a1", "stolen").status, 401U);
  EXPECT_EQ(SendRequest("GET", "/nowhere/1", "a2").status, 404U);
  EXPECT_EQ(
      SendText(gateway_->callers_endpoint(), "GET /reads/1 HTTP/1.1\r\nHost: h\r\n\r\n").status,
      400U);
  EXPECT_EQ(TotalRuns(), 0);
}

TEST_F(GatewayTest, RetriesARejectedRequestAtAnotherUpstream) {
  PutRoutes(1);
  WaitUntilReady();
  workers_[0]->service.SetFault(WorkerFault::kRejectNotExecuted, 1);
  workers_[1]->service.SetFault(WorkerFault::kRejectNotExecuted, 0);
  for (const char* attempt : {"a1", "a2", "a3"}) {
    EXPECT_EQ(SendRequest("POST", "/orders/1", attempt).status, 200U);
    EXPECT_EQ(RunCount(attempt), 1);
  }
}

TEST_F(GatewayTest, RejectsAsNotRunWhenAllUpstreamsReject) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kRejectNotExecuted, 10);
  const Response response = SendRequest("POST", "/orders/1", "a1");
  EXPECT_EQ(response.status, 503U);
  EXPECT_FALSE(response.retry_after.empty());
  EXPECT_TRUE(response.seal.empty());
  EXPECT_EQ(RunCount("a1"), 0);
}

// Guards against relaying a status that implies not_run from a worker that has run the request.
TEST_F(GatewayTest, DoesNotRelayANotRunStatusWithoutTheWorkersStatement) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kUnavailableAfterRun, 10);
  const Response response = SendRequest("POST", "/orders/1", "a1");
  EXPECT_EQ(response.status, 502U);
  EXPECT_TRUE(response.seal.empty());
}

TEST_F(GatewayTest, DoesNotRetryAnAtMostOnceCallAfterALostResponse) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kCloseAfterRun, 10);
  EXPECT_EQ(SendRequest("POST", "/orders/1", "a1").status, 502U);
  EXPECT_EQ(RunCount("a1"), 1);
}

TEST_F(GatewayTest, RetriesAnIdempotentCallAfterALostResponse) {
  PutRoutes(1);
  WaitUntilReady();
  workers_[0]->service.SetFault(WorkerFault::kCloseAfterRun, 1);
  workers_[1]->service.SetFault(WorkerFault::kTruncateBody, 1);
  EXPECT_EQ(SendRequest("GET", "/reads/1", "a1").status, 502U);
  EXPECT_EQ(RunCount("a1"), 2);
  EXPECT_EQ(SendRequest("GET", "/reads/1", "a2").status, 200U);
}

TEST_F(GatewayTest, DoesNotRelayUnsealedResponses) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kMissingSeal, 10);
  EXPECT_EQ(SendRequest("POST", "/orders/1", "a1").status, 502U);
}

TEST_F(GatewayTest, RelaysAWorkersFailureWithItsSeal) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kInternalError, 10);
  const Response response = SendRequest("POST", "/orders/1", "a1");
  EXPECT_EQ(response.status, 500U);
  EXPECT_FALSE(response.seal.empty());
}

// Guards against a duplicate response that is relayed to the next request on the connection.
TEST_F(GatewayTest, DiscardsLateResponsesToEarlierRequests) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kDuplicateResponse, 10);
  for (int i = 0; i < 10; ++i) {
    const std::string attempt = fmt::format("a{}", i);
    const std::string path = fmt::format("/reads/{}", i);
    const Response response = SendRequest("GET", path, attempt);
    EXPECT_EQ(response.status, 200U);
    EXPECT_EQ(response.attempt, attempt);
    EXPECT_EQ(response.body, fmt::format("GET {} ", path));
  }
}

TEST_F(GatewayTest, ResumesABrokenStreamAtAnotherUpstream) {
  PutRoutes(1);
  WaitUntilReady();
  workers_[0]->service.SetFault(WorkerFault::kTruncateStream, 1);
  for (const char* attempt : {"a1", "a2"}) {
    const Response response = SendRequest("POST", "/stream/1", attempt, kApiKey, "prompt");
    EXPECT_EQ(response.status, 200U);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, CompleteStream());
  }
}

TEST_F(GatewayTest, ABrokenStreamThatIsNotResumableEndsIncomplete) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kTruncateStream, 10);
  const Response response = SendRequest("POST", "/once/stream/1", "a1", kApiKey, "prompt");
  EXPECT_EQ(response.status, 200U);
  EXPECT_FALSE(response.complete);
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against many daemons that together keep more connections to an upstream than it accepts;
// the upstream resets those beyond its limit.
TEST(UpstreamConnectionPoolTest, DividesTheConnectionsOfAnUpstreamAmongDaemons) {
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(490, 8), 30U);
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(490, 63), 3U);
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(490, 1000), 1U);
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(0, 8), 64U);
}

// Guards against losing streams when their upstream is reclaimed with a few seconds' notice. A
// stream that may not be retried continues from its KV cache at another upstream.
TEST_F(GatewayTest, MigratesAStreamFromALeavingUpstream) {
  PutRoutes(1);
  WaitUntilReady();
  workers_[0]->service.SetFault(WorkerFault::kWaitForMigration, 1);
  workers_[1]->service.SetFault(WorkerFault::kWaitForMigration, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("POST", "/once/stream/1", "a1", kApiKey, "prompt"));
  while (RunCount("a1") == 0) {
  }
  const int leaving = workers_[0]->service.RunCount("a1") == 1 ? 0 : 1;
  const int staying = 1 - leaving;
  workers_[static_cast<std::size_t>(staying)]->service.SetFault(WorkerFault::kNone, 0);
  RegisterWorker(leaving, "draining");
  EXPECT_TRUE(connection.ReadAll());
  EXPECT_EQ(connection.status(), 200U);
  EXPECT_EQ(connection.body(), CompleteStream());
  EXPECT_EQ(RunCount("a1"), 1);
  EXPECT_EQ(workers_[static_cast<std::size_t>(staying)]->service.migrated_runs(), 1);
}

TEST_F(GatewayTest, SendsNoNewWorkToALeavingUpstream) {
  PutRoutes(1);
  WaitUntilReady();
  RegisterWorker(0, "draining");
  // Once the gateway knows of the notice, only the other worker receives requests.
  int consecutive = 0;
  for (int i = 0; consecutive < 20; ++i) {
    const std::string attempt = fmt::format("a{}", i);
    ASSERT_EQ(SendRequest("GET", "/reads/1", attempt).status, 200U);
    consecutive = workers_[1]->service.RunCount(attempt) == 1 ? consecutive + 1 : 0;
  }
}

// Guards against a request that the kernel goes on sending, while its call waits for the response,
// until it reaches an upstream that has left.
TEST_F(GatewayTest, WithdrawsARequestThatHasNotReachedALeavingUpstream) {
  RegisterWorker(0, "draining");
  RegisterWorker(1, "draining");
  UnreadPeer peer;
  RegisterUpstream("unread", peer.endpoint(), "ready");
  PutRoutes(1);
  WaitUntilReady();
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("POST", "/reads/1", "a1", kApiKey, std::string(128 * 1024, 'x')));
  peer.Accept();
  RegisterWorker(0, "ready");
  RegisterUpstream("unread", peer.endpoint(), "draining");
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.status(), 200U);
  EXPECT_EQ(workers_[0]->service.RunCount("a1"), 1);
  EXPECT_EQ(peer.ReadToEnd().second, boost::asio::error::connection_reset);
}

// Access to a store that can be withdrawn from one daemon while others keep it.
struct StoreAccess {
  explicit StoreAccess(StoreService& store) : store_service(store) {}

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (denied) {
      co_await exchange.Respond(503, {}, {});
    } else {
      co_await store_service.Handle(exchange);
    }
  }

  StoreService& store_service;
  std::atomic<bool> denied{false};
};

// Guards against a daemon that serves old routes for as long as the store turns it away, although
// its peers hold newer ones.
TEST_F(GatewayTest, TakesNewerRoutesFromAPeerWhileTheStoreRejectsThisDaemon) {
  PutRoutes(1);
  WaitUntilReady();
  ServiceServer<StoreAccess> access(store_.service);
  const std::unique_ptr<Gateway> other = MakeGateway("daemon-2", access.endpoint);
  WaitUntilReady(*other);
  const auto status = [&other] {
    return SendText(other->callers_endpoint(), FormatRequest("GET", "/new/1", "a1")).status;
  };
  EXPECT_EQ(status(), 404U);
  access.service.denied = true;
  PutRoutes(2, R"(,{"name":"new","host":"h","prefix":"/new/","route_kind":"idempotent",)"
               R"("timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2})");
  while (status() != 200) {
  }
}

// Guards against one malformed registration that makes the others unusable.
TEST_F(GatewayTest, MalformedRegistrationsDoNotAffectOthers) {
  store_.service.Put("servers", "hostile-1", "\xff\xfe{");
  store_.service.Put("servers", "hostile-2", R"({"service":"s","address":7})");
  PutRoutes(1);
  WaitUntilReady();
  EXPECT_EQ(SendRequest("GET", "/reads/1", "a1").status, 200U);
}

TEST_F(GatewayTest, AppliesNewRoutesAndIgnoresOlderVersions) {
  PutRoutes(5);
  WaitUntilReady();
  EXPECT_EQ(SendRequest("GET", "/new/1", "a1").status, 404U);
  const std::string added =
      R"(,{"name":"new","host":"h","prefix":"/new/","route_kind":"idempotent","timeout_ms":3000,"service":"s"})";
  PutRoutes(6, added);
  for (int i = 0; SendRequest("GET", "/new/1", fmt::format("b{}", i)).status != 200U; ++i) {
  }
  // An older version, as in a stale read, must be ignored.
  PutRoutes(5);
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(SendRequest("GET", "/new/1", fmt::format("c{}", i)).status, 200U);
  }
}

TEST_F(GatewayTest, ServesRequestsDuringAStoreOutage) {
  PutRoutes(1);
  WaitUntilReady();
  store_.service.SetFaults({.outage = true});
  const std::uint64_t calls = store_.service.calls();
  for (int i = 0; store_.service.calls() < calls + 5; ++i) {
    EXPECT_EQ(SendRequest("GET", "/reads/1", fmt::format("a{}", i)).status, 200U);
  }
}

TEST_F(GatewayTest, ReadsTheRoutesAgainWhenTheStoreDiscardsItsHistory) {
  PutRoutes(1);
  WaitUntilReady();
  store_.service.SetFaults({.discard_feed_history = true});
  const std::string added =
      R"(,{"name":"new","host":"h","prefix":"/new/","route_kind":"idempotent","timeout_ms":3000,"service":"s"})";
  PutRoutes(2, added);
  for (int i = 0; SendRequest("GET", "/new/1", fmt::format("a{}", i)).status != 200U; ++i) {
  }
}

TEST_F(GatewayTest, ADrainingDaemonIsNotReadyButServesRequests) {
  PutRoutes(1);
  WaitUntilReady();
  gateway_->BeginDrain(BootNow());
  while (
      SendText(gateway_->readiness_endpoint(), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status ==
      200) {
  }
  EXPECT_EQ(SendRequest("GET", "/reads/1", "a1").status, 200U);
}

// Guards against workers that continue requests of disconnected callers.
TEST_F(GatewayTest, ClosesTheUpstreamConnectionWhenTheCallerDisconnects) {
  PutRoutes(1);
  WaitUntilReady();
  SetFaults(WorkerFault::kNoResponse, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("POST", "/orders/1", "a1"));
  const auto abandoned_requests = [this] {
    return workers_[0]->service.abandoned_requests() + workers_[1]->service.abandoned_requests();
  };
  while (RunCount("a1") == 0) {
  }
  EXPECT_EQ(abandoned_requests(), 0);
  connection.Close();
  while (abandoned_requests() == 0) {
  }
}

TEST_F(GatewayTest, EnforcesTheOperatorsRequestLimits) {
  store_.service.Put("op", "config",
                     fmt::format(R"({{"version":1,"routes":[
{{"name":"orders","host":"h","prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":3000,"service":"s"}}],
"services":[{{"name":"s"}}],"tenants":[{{"name":"drivers","api_keys":["{}"]}}],
"limits":{{"max_header_bytes":4096,"max_body_bytes":100,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}})",
                                 kApiKey));
  WaitUntilReady();
  EXPECT_EQ(SendRequest("POST", "/orders/1", "a1", kApiKey, std::string(100, 'x')).status, 200U);
  EXPECT_EQ(SendRequest("POST", "/orders/1", "a2", kApiKey, std::string(101, 'x')).status, 413U);
  EXPECT_EQ(SendRequest("POST", "/orders/" + std::string(5000, 'x'), "a3").status, 431U);
}

TEST_F(GatewayTest, AnswersExpectContinueWithStatus100) {
  PutRoutes(1);
  WaitUntilReady();
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(fmt::format(
      "POST /orders/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Bearer {}\r\n"
      "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
      kApiKey));
  connection.ReadUntil([](const std::string&) { return false; });
  EXPECT_EQ(connection.status(), 100U);
}

TEST_F(GatewayTest, AnswersHeadRequestsWithoutABody) {
  PutRoutes(1);
  WaitUntilReady();
  EXPECT_EQ(SendRequest("HEAD", "/reads/1", "a1").status, 200U);
}

// Guards against metrics that are missing from the operators' documentation.
TEST_F(GatewayTest, OperationsPageListsAllMetrics) {
  PutRoutes(1);
  WaitUntilReady();
  SendRequest("GET", "/reads/1", "a1");
  SendRequest("GET", "/nowhere", "a2");
  SetFaults(WorkerFault::kRejectNotExecuted, 10);
  SendRequest("GET", "/reads/1", "a3");
  std::ifstream file(std::string(SAVORYGLADE_SOURCE_DIR) + "/docs/OPERATIONS.md", std::ios::binary);
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  const std::string text = Metrics();
  const std::regex pattern("# TYPE (savoryglade_[a-z_]+) ");
  int count = 0;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
    EXPECT_NE(page.find("| `" + (*it)[1].str() + "` |"), std::string::npos) << (*it)[1];
    ++count;
  }
  EXPECT_GE(count, 6);
}

TEST_F(GatewayTest, RejectsSmuggledRequests) {
  PutRoutes(1);
  WaitUntilReady();
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(fmt::format(
      "POST /orders/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Bearer {}\r\n"
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      "POST /orders/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\nAuthorization: Bearer {}\r\n"
      "Content-Length: 0\r\n\r\n",
      kApiKey, kApiKey));
  connection.ReadAll();
  EXPECT_EQ(connection.status(), 400U);
  EXPECT_EQ(RunCount("a1") + RunCount("a2"), 0);
}

}  // namespace
}  // namespace savoryglade::gateway
