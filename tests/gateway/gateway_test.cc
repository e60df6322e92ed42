#include "gateway/gateway.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <memory>
#include <regex>
#include <string>
#include <vector>

#include "emulator/caller_connection.h"
#include "emulator/store_service.h"
#include "emulator/worker_service.h"
#include "platform/duty_client.h"
#include "platform/engine_client.h"
#include "platform/header_codec.h"
#include "platform/store_client.h"

namespace savoryglade::gateway {
namespace {

constexpr const char* kLocal = "127.0.0.1";
constexpr const char* kKey = "drivers-key";

// HTTP listener in front of an emulated service.
template <typename Service>
struct Host {
  template <typename... Arguments>
  explicit Host(Arguments&&... arguments)
      : service(std::forward<Arguments>(arguments)...),
        server(pool, HttpLimits{},
               [this](HttpExchange& exchange) { return service.Handle(exchange); }),
        endpoint(*server.Listen({.address = kLocal, .port = 0})) {}
  ~Host() { pool.Stop(); }

  Service service;
  WorkerPool pool{1};
  HttpServer server;
  Endpoint endpoint;
};

// One gateway between a caller, two workers and a store that speak the platform's protocol.
class GatewayTest : public testing::Test {
 protected:
  GatewayTest() {
    for (int i = 0; i < 2; ++i) {
      workers_.push_back(std::make_unique<Host<WorkerService>>(WorkerName(i)));
      RegisterWorker(i, "ready");
    }
    GatewaySettings settings{.daemon = DaemonId("daemon-1"),
                             .failure_domain = FailureDomainId("verona")};
    for (Endpoint* endpoint :
         {&settings.callers, &settings.readiness, &settings.peers, &settings.metrics}) {
      *endpoint = {.address = kLocal, .port = 0};
    }
    settings.store = store_.endpoint;
    settings.duties = store_.endpoint;
    settings.bounds.retry_allowance = 100;
    settings.bounds.upstream_drain = 50ms;
    gateway_ = std::make_unique<Gateway>(
        settings, [settings](boost::asio::io_context&, MetricRegistry& metrics) {
          return GatewayAdapters{
              .codec = std::make_unique<platform::HeaderCodec>(),
              .store = std::make_unique<platform::StoreClient>(settings.store, metrics),
              .duties = std::make_unique<platform::DutyClient>(settings.duties, metrics),
              .engines = std::make_unique<platform::EngineClient>(metrics)};
        });
    EXPECT_TRUE(gateway_->Start());
  }

  static std::string WorkerName(int i) { return fmt::format("worker-{}", i); }

  void RegisterWorker(int i, const char* state) {
    store_.service.Put(
        "servers", WorkerName(i),
        fmt::format(R"({{"service":"s","address":"{}","zone":"verona","slots":4,"state":"{}"}})",
                    ToString(workers_[static_cast<std::size_t>(i)]->endpoint), state));
  }

  void PutRoutes(int version, const std::string& more_routes = {}) {
    store_.service.Put("op", "config",
                       fmt::format(R"({{"version":{},"routes":[
{{"name":"reads","host":"h","prefix":"/reads/","route_kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2}},
{{"name":"orders","host":"h","prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":3000,"service":"s","max_attempts":1}},
{{"name":"chats","host":"h","prefix":"/stream/","route_kind":"streaming","timeout_ms":5000,"service":"s","max_attempts":2,"resumable":true}},
{{"name":"once","host":"h","prefix":"/once/","route_kind":"streaming","timeout_ms":5000,"service":"s","max_attempts":1}}{}],
"services":[{{"name":"s","engine":{{"slots":4,"moves":true}}}}],"tenants":[{{"name":"drivers","api_keys":["{}"]}}]}})",
                                   version, more_routes, kKey));
  }

  // Waits until the gateway says that it is ready.
  void AwaitReady() {
    while (Ask(gateway_->readiness_endpoint(), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status !=
           200) {
    }
  }

  struct Answer {
    unsigned status = 0;
    bool whole = false;
    std::string body;
    std::string seal;
    std::string reason;
    std::string attempt;
    std::string retry_after;
  };

  static Answer Ask(const Endpoint& endpoint, const std::string& text) {
    CallerConnection connection(endpoint);
    return Ask(connection, text);
  }

  static Answer Ask(CallerConnection& connection, const std::string& text) {
    connection.Send(text);
    Answer answer;
    answer.whole = connection.ReadAll();
    answer.status = connection.status();
    answer.body = connection.body();
    answer.seal = connection.Header("Response-Seal");
    answer.reason = connection.Header("Savoryglade-Reason");
    answer.attempt = connection.Header("Attempt-Id");
    answer.retry_after = connection.Header("Retry-After");
    return answer;
  }

  static std::string Request(const std::string& method, const std::string& path,
                             const std::string& attempt, const std::string& key = kKey,
                             const std::string& body = "") {
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {}\r\nDeadline-Ms: 2500\r\n"
        "Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{}",
        method, path, attempt, key, body.size(), body);
  }

  Answer Call(const std::string& method, const std::string& path, const std::string& attempt,
              const std::string& key = kKey, const std::string& body = "") {
    return Ask(gateway_->callers_endpoint(), Request(method, path, attempt, key, body));
  }

  void SetFaults(WorkerFault fault, int count) {
    for (const auto& worker : workers_) {
      worker->service.SetFault(fault, count);
    }
  }

  int Runs(const std::string& attempt) const {
    return workers_[0]->service.RunCount(attempt) + workers_[1]->service.RunCount(attempt);
  }

  static std::string WholeStream() {
    std::string text;
    for (int event = 1; event <= WorkerService::kEventsPerStream; ++event) {
      text += fmt::format("id: {}\ndata: token {}\n\n", event, event);
    }
    return text;
  }

  Host<StoreService> store_;
  std::vector<std::unique_ptr<Host<WorkerService>>> workers_;
  std::unique_ptr<Gateway> gateway_;
};

TEST_F(GatewayTest, ADaemonWithoutRoutesPromisesThatNothingRan) {
  const Answer answer = Call("GET", "/reads/1", "a1");
  EXPECT_EQ(answer.status, 503U);
  EXPECT_EQ(answer.reason, "not_ready");
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_EQ(Ask(gateway_->readiness_endpoint(), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status,
            503U);
}

TEST_F(GatewayTest, RequestsAndAnswersPassUnchanged) {
  PutRoutes(1);
  AwaitReady();
  const Answer answer = Call("POST", "/orders/7?x=1", "a1", kKey, "two pies");
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "POST /orders/7?x=1 two pies");
  EXPECT_TRUE(answer.seal.starts_with("seal-of-worker-"));
  EXPECT_EQ(answer.attempt, "a1");
  EXPECT_EQ(Runs("a1"), 1);
}

TEST_F(GatewayTest, ManyRequestsPassOnOneConnection) {
  PutRoutes(1);
  AwaitReady();
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(Request("GET", "/reads/1", "a1"));
  EXPECT_TRUE(connection.ReadAll());
  EXPECT_EQ(connection.body(), "GET /reads/1 ");
}

TEST_F(GatewayTest, UnknownKeysAndRoutesAreRefused) {
  PutRoutes(1);
  AwaitReady();
  EXPECT_EQ(Call("GET", "/reads/1", "a1", "stolen").status, 401U);
  EXPECT_EQ(Call("GET", "/nowhere/1", "a2").status, 404U);
  EXPECT_EQ(Ask(gateway_->callers_endpoint(), "GET /reads/1 HTTP/1.1\r\nHost: h\r\n\r\n").status,
            400U);
  EXPECT_EQ(workers_[0]->service.runs() + workers_[1]->service.runs(), 0);
}

TEST_F(GatewayTest, ADeclinedRequestIsSentToAnotherUpstream) {
  PutRoutes(1);
  AwaitReady();
  workers_[0]->service.SetFault(WorkerFault::kRejectNotExecuted, 1);
  workers_[1]->service.SetFault(WorkerFault::kRejectNotExecuted, 0);
  for (const char* attempt : {"a1", "a2", "a3"}) {
    EXPECT_EQ(Call("POST", "/orders/1", attempt).status, 200U);
    EXPECT_EQ(Runs(attempt), 1);
  }
}

TEST_F(GatewayTest, ARequestThatAllDeclineIsRefusedWithATruePromise) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kRejectNotExecuted, 10);
  const Answer answer = Call("POST", "/orders/1", "a1");
  EXPECT_EQ(answer.status, 503U);
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_TRUE(answer.seal.empty());
  EXPECT_EQ(Runs("a1"), 0);
}

// Guards against a promise that comes from a worker which has run the request.
TEST_F(GatewayTest, AWorkersPromiseWithoutItsStatementIsNotPassedOn) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kUnavailableAfterRun, 10);
  const Answer answer = Call("POST", "/orders/1", "a1");
  EXPECT_EQ(answer.status, 502U);
  EXPECT_TRUE(answer.seal.empty());
}

TEST_F(GatewayTest, AnAtMostOnceCallWhoseAnswerIsLostIsNotRepeated) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kCloseAfterRun, 10);
  EXPECT_EQ(Call("POST", "/orders/1", "a1").status, 502U);
  EXPECT_EQ(Runs("a1"), 1);
}

TEST_F(GatewayTest, AnIdempotentCallWhoseAnswerIsLostIsRepeated) {
  PutRoutes(1);
  AwaitReady();
  workers_[0]->service.SetFault(WorkerFault::kCloseAfterRun, 1);
  workers_[1]->service.SetFault(WorkerFault::kTruncateBody, 1);
  EXPECT_EQ(Call("GET", "/reads/1", "a1").status, 502U);
  EXPECT_EQ(Runs("a1"), 2);
  EXPECT_EQ(Call("GET", "/reads/1", "a2").status, 200U);
}

TEST_F(GatewayTest, AnswersWithoutTheMarkOfAWorkerAreNotPassedOn) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kMissingSeal, 10);
  EXPECT_EQ(Call("POST", "/orders/1", "a1").status, 502U);
}

TEST_F(GatewayTest, AWorkersFailurePassesWithItsMark) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kInternalError, 10);
  const Answer answer = Call("POST", "/orders/1", "a1");
  EXPECT_EQ(answer.status, 500U);
  EXPECT_FALSE(answer.seal.empty());
}

// Guards against an extra answer that is taken for that of the next request on the connection.
TEST_F(GatewayTest, ALateAnswerNeverReachesAnotherCaller) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kDuplicateResponse, 10);
  for (int i = 0; i < 10; ++i) {
    const std::string attempt = fmt::format("a{}", i);
    const std::string path = fmt::format("/reads/{}", i);
    const Answer answer = Call("GET", path, attempt);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.attempt, attempt);
    EXPECT_EQ(answer.body, fmt::format("GET {} ", path));
  }
}

TEST_F(GatewayTest, AResumableStreamGoesOnAtAnotherUpstream) {
  PutRoutes(1);
  AwaitReady();
  workers_[0]->service.SetFault(WorkerFault::kTruncateStream, 1);
  for (const char* attempt : {"a1", "a2"}) {
    const Answer answer = Call("POST", "/stream/1", attempt, kKey, "prompt");
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, WholeStream());
  }
}

TEST_F(GatewayTest, AnotherStreamThatBreaksOffDoesNotLookComplete) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kTruncateStream, 10);
  const Answer answer = Call("POST", "/once/stream/1", "a1", kKey, "prompt");
  EXPECT_EQ(answer.status, 200U);
  EXPECT_FALSE(answer.whole);
  EXPECT_EQ(Runs("a1"), 1);
}

// Load pattern: many daemons keep connections to one upstream, which resets those beyond its limit.
TEST(UpstreamConnectionPoolTest, DaemonsShareTheConnectionsOfAnUpstream) {
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(490, 8), 30U);
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(490, 63), 3U);
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(490, 1000), 1U);
  EXPECT_EQ(UpstreamConnectionPool::MaxIdleConnections(0, 8), 64U);
}

// Guards against losing the streams of upstreams that are reclaimed on seconds of notice: one that
// may not be repeated goes on, with the memory of its run, at an upstream that stays.
TEST_F(GatewayTest, AStreamMovesAwayFromAnUpstreamThatLeaves) {
  PutRoutes(1);
  AwaitReady();
  workers_[0]->service.SetFault(WorkerFault::kWaitForMigration, 1);
  workers_[1]->service.SetFault(WorkerFault::kWaitForMigration, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(Request("POST", "/once/stream/1", "a1", kKey, "prompt"));
  while (Runs("a1") == 0) {
  }
  const int leaving = workers_[0]->service.RunCount("a1") == 1 ? 0 : 1;
  const int staying = 1 - leaving;
  workers_[static_cast<std::size_t>(staying)]->service.SetFault(WorkerFault::kNone, 0);
  RegisterWorker(leaving, "draining");
  EXPECT_TRUE(connection.ReadAll());
  EXPECT_EQ(connection.status(), 200U);
  EXPECT_EQ(connection.body(), WholeStream());
  EXPECT_EQ(Runs("a1"), 1);
  EXPECT_EQ(workers_[static_cast<std::size_t>(staying)]->service.migrated_runs(), 1);
}

TEST_F(GatewayTest, AnUpstreamThatLeavesGetsNoNewWork) {
  PutRoutes(1);
  AwaitReady();
  RegisterWorker(0, "draining");
  // The other worker alone takes all requests once the notice is known.
  int alone = 0;
  for (int i = 0; alone < 20; ++i) {
    const std::string attempt = fmt::format("a{}", i);
    ASSERT_EQ(Call("GET", "/reads/1", attempt).status, 200U);
    alone = workers_[1]->service.RunCount(attempt) == 1 ? alone + 1 : 0;
  }
}

// Guards against a half-written entry that takes down the others.
TEST_F(GatewayTest, HostileEntriesLeaveTheOthersStanding) {
  store_.service.Put("servers", "hostile-1", "\xff\xfe{");
  store_.service.Put("servers", "hostile-2", R"({"service":"s","address":7})");
  PutRoutes(1);
  AwaitReady();
  EXPECT_EQ(Call("GET", "/reads/1", "a1").status, 200U);
}

TEST_F(GatewayTest, NewRoutesComeIntoForceAndOldOnesNeverReturn) {
  PutRoutes(5);
  AwaitReady();
  EXPECT_EQ(Call("GET", "/new/1", "a1").status, 404U);
  const std::string added =
      R"(,{"name":"new","host":"h","prefix":"/new/","route_kind":"idempotent","timeout_ms":3000,"service":"s"})";
  PutRoutes(6, added);
  for (int i = 0; Call("GET", "/new/1", fmt::format("b{}", i)).status != 200U; ++i) {
  }
  // A stale read of an older version changes nothing.
  PutRoutes(5);
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(Call("GET", "/new/1", fmt::format("c{}", i)).status, 200U);
  }
}

TEST_F(GatewayTest, ServesThroughAnOutageOfTheStore) {
  PutRoutes(1);
  AwaitReady();
  store_.service.SetFaults({.outage = true});
  const std::uint64_t calls = store_.service.calls();
  for (int i = 0; store_.service.calls() < calls + 5; ++i) {
    EXPECT_EQ(Call("GET", "/reads/1", fmt::format("a{}", i)).status, 200U);
  }
}

TEST_F(GatewayTest, ReadsEverythingAgainWhenTheStoreForgetsItsHistory) {
  PutRoutes(1);
  AwaitReady();
  store_.service.SetFaults({.discard_feed_history = true});
  const std::string added =
      R"(,{"name":"new","host":"h","prefix":"/new/","route_kind":"idempotent","timeout_ms":3000,"service":"s"})";
  PutRoutes(2, added);
  for (int i = 0; Call("GET", "/new/1", fmt::format("a{}", i)).status != 200U; ++i) {
  }
}

TEST_F(GatewayTest, ADrainingDaemonIsNotReadyAndServesWhatComes) {
  PutRoutes(1);
  AwaitReady();
  gateway_->BeginDrain();
  while (Ask(gateway_->readiness_endpoint(), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status ==
         200) {
  }
  EXPECT_EQ(Call("GET", "/reads/1", "a1").status, 200U);
}

// Guards against workers that go on for callers that have left.
TEST_F(GatewayTest, AnUpstreamsConnectionEndsWithItsCaller) {
  PutRoutes(1);
  AwaitReady();
  SetFaults(WorkerFault::kNoResponse, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(Request("POST", "/orders/1", "a1"));
  const auto abandoned_requests = [this] {
    return workers_[0]->service.abandoned_requests() + workers_[1]->service.abandoned_requests();
  };
  while (Runs("a1") == 0) {
  }
  EXPECT_EQ(abandoned_requests(), 0);
  connection.Close();
  while (abandoned_requests() == 0) {
  }
}

TEST_F(GatewayTest, TheOperatorsLimitsBindCallers) {
  store_.service.Put("op", "config",
                     fmt::format(R"({{"version":1,"routes":[
{{"name":"orders","host":"h","prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":3000,"service":"s"}}],
"services":[{{"name":"s"}}],"tenants":[{{"name":"drivers","api_keys":["{}"]}}],
"limits":{{"max_header_bytes":4096,"max_body_bytes":100,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}})",
                                 kKey));
  AwaitReady();
  EXPECT_EQ(Call("POST", "/orders/1", "a1", kKey, std::string(100, 'x')).status, 200U);
  EXPECT_EQ(Call("POST", "/orders/1", "a2", kKey, std::string(101, 'x')).status, 413U);
  EXPECT_EQ(Call("POST", "/orders/" + std::string(5000, 'x'), "a3").status, 431U);
}

TEST_F(GatewayTest, ACallerThatWaitsForPermissionGetsIt) {
  PutRoutes(1);
  AwaitReady();
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(fmt::format(
      "POST /orders/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Bearer {}\r\n"
      "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n",
      kKey));
  connection.ReadUntil([](const std::string&) { return false; });
  EXPECT_EQ(connection.status(), 100U);
}

TEST_F(GatewayTest, AnAnswerToHeadHasNoBody) {
  PutRoutes(1);
  AwaitReady();
  EXPECT_EQ(Call("HEAD", "/reads/1", "a1").status, 200U);
}

// Guards against metrics that operators can't look up.
TEST_F(GatewayTest, TheOperatorsPageListsTheMetrics) {
  PutRoutes(1);
  AwaitReady();
  Call("GET", "/reads/1", "a1");
  Call("GET", "/nowhere", "a2");
  SetFaults(WorkerFault::kRejectNotExecuted, 10);
  Call("GET", "/reads/1", "a3");
  std::ifstream file(std::string(SAVORYGLADE_SOURCE_DIR) + "/docs/OPERATIONS.md", std::ios::binary);
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  const std::string text =
      Ask(gateway_->metrics_endpoint(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").body;
  const std::regex pattern("# TYPE (savoryglade_[a-z_]+) ");
  int count = 0;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
    EXPECT_NE(page.find("| `" + (*it)[1].str() + "` |"), std::string::npos) << (*it)[1];
    ++count;
  }
  EXPECT_GE(count, 6);
}

TEST_F(GatewayTest, SmuggledRequestsDoNotReachAWorker) {
  PutRoutes(1);
  AwaitReady();
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(fmt::format(
      "POST /orders/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Bearer {}\r\n"
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      "POST /orders/2 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a2\r\nAuthorization: Bearer {}\r\n"
      "Content-Length: 0\r\n\r\n",
      kKey, kKey));
  connection.ReadAll();
  EXPECT_EQ(connection.status(), 400U);
  EXPECT_EQ(Runs("a1") + Runs("a2"), 0);
}

}  // namespace
}  // namespace savoryglade::gateway
