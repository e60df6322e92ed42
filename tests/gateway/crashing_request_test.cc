#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulator/worker_service.h"
#include "gateway/crash_record_store.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr const char* kCrashTable = "savoryglade-crashes";

// Runs of a request after which no upstream may receive it again.
constexpr int kRunsBeforeRefusal = 3;

// Store that serves all tables but that of the crash records.
class StoreWithoutCrashRecords {
 public:
  StoreService& rows() { return rows_; }

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    const std::string target(exchange.target());
    if (target.find(kCrashTable) != std::string::npos) {
      co_await exchange.Respond(503, {}, {});
      co_return;
    }
    for (const auto& [table, reads] :
         {std::pair("table=op", &route_reads_), std::pair("table=servers", &registration_reads_)}) {
      *reads += target.find(table) == std::string::npos ? 0 : 1;
    }
    co_await rows_.Handle(exchange);
  }

  // Waits until a daemon has applied its first reads of the routes and the registrations, which is
  // before its second ones.
  void WaitUntilLoaded() const {
    while (route_reads_ < 2 || registration_reads_ < 2) {
    }
  }

 private:
  StoreService rows_;
  std::atomic<int> route_reads_{0};
  std::atomic<int> registration_reads_{0};
};

// Sends requests that break the connection of every worker that begins to run them.
class CrashingRequestTest : public GatewayFixture {
 protected:
  CrashingRequestTest() : GatewayFixture(8) {
    PutRoutes(1);
    WaitUntilReady();
  }

  // Sends the request again and again, each time with its own attempt id. Returns the reason of the
  // last response.
  std::string SendRepeatedly(const std::string& method, const std::string& path,
                             const std::string& body) {
    std::string reason;
    for (int i = 0; i < 8; ++i) {
      reason = SendRequest(method, path, fmt::format("a{}", ++attempts_), kApiKey, body).reason;
    }
    return reason;
  }

  // Waits until the store holds the given number of losses of the only request that is stored.
  void WaitUntilStored(std::size_t losses) const {
    while (true) {
      for (const auto& [key, value] : store_.service.Rows(kCrashTable)) {
        const Result<CrashRecord> record = DecodeCrashRow(key, value, Duration::zero());
        if (record && record->losses.size() == losses) {
          return;
        }
      }
    }
  }

  // Sends a request, closes the caller's connection while it runs, and returns the worker that ran
  // it.
  WorkerService& SendAndLeave(const std::string& path) {
    const std::string attempt = fmt::format("left-{}", ++attempts_);
    SetFaults(WorkerFault::kNoResponse, 1);
    CallerConnection caller(gateway_->callers_endpoint());
    caller.Send(FormatRequest("GET", path, attempt));
    while (RunCount(attempt) == 0) {
    }
    SetFaults(WorkerFault::kNone, 0);
    caller.Close();
    WorkerService& worker = (*std::ranges::find_if(workers_, [&attempt](const auto& each) {
                              return each->service.RunCount(attempt) > 0;
                            }))->service;
    const int abandoned = ++abandoned_[&worker];
    while (worker.abandoned_requests() < abandoned) {
    }
    return worker;
  }

  // Sends other requests until the worker has run one more.
  void SendOthersUntilRunBy(const WorkerService& worker) {
    for (const int runs = worker.runs(); worker.runs() == runs;) {
      const std::string number = std::to_string(++attempts_);
      SendRequest("POST", "/orders/1", "other-" + number, kApiKey, number);
    }
  }

 private:
  int attempts_ = 0;
  std::map<const WorkerService*, int> abandoned_;
};

// Guards against a crashing request that is not recognised because it has no body.
TEST_F(CrashingRequestTest, RequestWithoutABodyIsRefusedAfterThreeCrashes) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  EXPECT_EQ(SendRepeatedly("GET", "/reads/stock", ""), "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

// Guards against a crashing request that is not recognised because its query differs each time.
TEST_F(CrashingRequestTest, RequestThatReturnsWithOtherQueriesIsRefused) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  std::string reason;
  for (int i = 0; i < 8; ++i) {
    reason =
        SendRequest("GET", fmt::format("/reads/stock?page={}", i), fmt::format("q{}", i)).reason;
  }
  EXPECT_EQ(reason, "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

// Guards against a crashing request that stays unknown because its callers leave before the crash.
TEST_F(CrashingRequestTest, RequestWhoseCallersLeaveBeforeTheCrashIsRefused) {
  std::set<const WorkerService*> crashed;
  while (crashed.size() < kRunsBeforeRefusal) {
    WorkerService& worker = SendAndLeave("/reads/poison");
    crashed.insert(&worker);
    // The process has ended, as the next request to it shows.
    worker.SetFault(WorkerFault::kCloseAfterRun, 1);
    SendOthersUntilRunBy(worker);
  }
  EXPECT_EQ(SendRequest("GET", "/reads/poison", "a1").reason, "request_crashes_upstreams");
}

// Guards against crashes that are taken for resets of the path, because processes that have ended
// accept no connections.
TEST_F(CrashingRequestTest, RequestThatEndsTheProcessesOfItsUpstreamsIsRefused) {
  const auto has_run = [](const auto& worker) { return worker->service.runs() > 0; };
  SetFaults(WorkerFault::kNoResponse, 100);
  std::vector<std::unique_ptr<CallerConnection>> callers;
  while (std::ranges::count_if(workers_, has_run) < kRunsBeforeRefusal) {
    callers.push_back(std::make_unique<CallerConnection>(gateway_->callers_endpoint()));
    const std::string attempt = fmt::format("e{}", callers.size());
    callers.back()->Send(FormatRequest("POST", "/orders/1", attempt, kApiKey, "poison"));
    while (RunCount(attempt) == 0) {
    }
  }
  std::erase_if(workers_, has_run);
  for (const auto& caller : callers) {
    caller->ReadAll();
    EXPECT_EQ(caller->status(), 502U);
  }
  EXPECT_EQ(SendRequest("POST", "/orders/1", "after", kApiKey, "poison").reason,
            "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), 0);
}

// Guards against a daemon that sends what the fleet refuses because it has restarted and can't read
// the records yet.
TEST_F(CrashingRequestTest, DaemonThatHasNotReadTheRecordsRejectsRequests) {
  ServiceServer<StoreWithoutCrashRecords> store;
  store.service.rows().Put("op", "config", RouteDocumentText(1, {}));
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    store.service.rows().Put("servers", WorkerName(static_cast<int>(i)),
                             Registration(workers_[i]->endpoint, "ready"));
  }
  const std::unique_ptr<Gateway> gateway = MakeGateway("daemon-2", store.endpoint);
  store.service.WaitUntilLoaded();
  const Response response =
      SendText(gateway->callers_endpoint(), FormatRequest("GET", "/reads/stock", "a1"));
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "not_ready");
  EXPECT_NE(response.retry_after, "");
  EXPECT_EQ(TotalRuns(), 0);
}

// Guards against refusing one request for the crashes of others of the same account and route.
TEST_F(CrashingRequestTest, OtherPathsAndBodiesAreServed) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  SendRepeatedly("GET", "/reads/stock?item=1", "");
  SetFaults(WorkerFault::kNone, 0);
  EXPECT_EQ(SendRequest("GET", "/reads/stock/?item=1", "b1").status, 200U);
  EXPECT_EQ(SendRequest("GET", "/reads/prices?item=1", "b2").status, 200U);
  EXPECT_EQ(SendRequest("POST", "/reads/stock?item=1", "b3", kApiKey, "query").status, 200U);
}

// Guards against refusing a path of one host for the crashes of another host's.
TEST_F(CrashingRequestTest, SamePathOfAnotherHostIsServed) {
  PutRoutes(2, R"(,{"name":"other","host":"g","prefix":"/reads/","route_kind":"idempotent",)"
               R"("timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2})");
  std::string request = FormatRequest("GET", "/reads/stock", "g1");
  request.replace(request.find("Host: h"), 7, "Host: g");
  while (SendText(gateway_->callers_endpoint(), request).status != 200) {
  }
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  EXPECT_EQ(SendRepeatedly("GET", "/reads/stock", ""), "request_crashes_upstreams");
  SetFaults(WorkerFault::kNone, 0);
  EXPECT_EQ(SendText(gateway_->callers_endpoint(), request).status, 200U);
}

// Guards against refusing all queries of a path that is known to be answered for the crashes of
// one.
TEST_F(CrashingRequestTest, OtherQueriesOfAnAnsweredPathAreServed) {
  EXPECT_EQ(SendRequest("GET", "/reads/stock?item=2", "b1").status, 200U);
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  EXPECT_EQ(SendRepeatedly("GET", "/reads/stock?item=1", ""), "request_crashes_upstreams");
  SetFaults(WorkerFault::kNone, 0);
  EXPECT_EQ(SendRequest("GET", "/reads/stock?item=2", "b2").status, 200U);
  EXPECT_EQ(SendRequest("GET", "/reads/stock?item=3", "b3").status, 200U);
}

// Guards against a query that crashes upstreams and is never refused because others of its path are
// answered, and against refusing those others.
TEST_F(CrashingRequestTest, AnsweredQueriesOfAPathAreServedWhileACrashingOneIsRefused) {
  int crashes = 0;
  for (int i = 0; i < 8; ++i) {
    SetFaults(WorkerFault::kCloseAfterRun, 100);
    const int runs = TotalRuns();
    SendRequest("GET", "/reads/stock?item=1", fmt::format("c{}", i));
    crashes += TotalRuns() - runs;
    SetFaults(WorkerFault::kNone, 0);
    EXPECT_EQ(SendRequest("GET", "/reads/stock?item=2", fmt::format("d{}", i)).status, 200U);
    EXPECT_EQ(SendRequest("HEAD", "/reads/stock?item=1", fmt::format("e{}", i)).status, 200U);
  }
  EXPECT_EQ(crashes, kRunsBeforeRefusal);
}

// Guards against a further send within the call whose attempt was the third crash.
TEST_F(CrashingRequestTest, CallThatSeesTheThirdCrashMakesNoFurtherAttempt) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  SendRequest("POST", "/reads/stock", "a1", kApiKey, "query");
  EXPECT_EQ(TotalRuns(), 2);
  const Response response = SendRequest("POST", "/reads/stock", "a2", kApiKey, "query");
  EXPECT_EQ(response.status, 502U);
  EXPECT_EQ(response.reason, "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

// Guards against crashes that are not recorded because the response has already begun.
TEST_F(CrashingRequestTest, StreamThatCrashesAfterItsHeaderIsRefused) {
  SetFaults(WorkerFault::kTruncateStream, 100);
  EXPECT_EQ(SendRepeatedly("POST", "/once/stream/1", "prompt"), "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

TEST_F(CrashingRequestTest, ResponseThatBreaksOffInItsBodyIsRefused) {
  SetFaults(WorkerFault::kTruncateBody, 100);
  EXPECT_EQ(SendRepeatedly("POST", "/reads/stock", "query"), "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

// The first part of such a response has already been sent to the caller.
TEST_F(CrashingRequestTest, LongResponseThatBreaksOffIsRefused) {
  SetFaults(WorkerFault::kTruncateBody, 100);
  EXPECT_EQ(SendRepeatedly("POST", "/reads/stock", std::string(600 * 1024, 'x')),
            "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

// Guards against a record that is cleared by the failure of an upstream that did not run the
// request to its end.
TEST_F(CrashingRequestTest, FailureOfAnUpstreamDoesNotClearTheRecord) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  SendRequest("POST", "/reads/stock", "a1", kApiKey, "query");
  SetFaults(WorkerFault::kInternalError, 100);
  EXPECT_EQ(SendRequest("POST", "/reads/stock", "a2", kApiKey, "query").status, 500U);
  const int failed_runs = TotalRuns() - 2;
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  EXPECT_EQ(SendRepeatedly("POST", "/reads/stock", "query"), "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns() - failed_runs, kRunsBeforeRefusal);
}

// Guards against a daemon that forgets crashing requests when it restarts, alone or with all
// others.
TEST_F(CrashingRequestTest, RestartedDaemonRefusesTheRequest) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  SendRepeatedly("POST", "/reads/stock", "query");
  ASSERT_EQ(TotalRuns(), kRunsBeforeRefusal);
  WaitUntilStored(kRunsBeforeRefusal);
  StartGateway();
  WaitUntilReady();
  EXPECT_EQ(SendRepeatedly("POST", "/reads/stock", "query"), "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

TEST_F(CrashingRequestTest, RestartedDaemonRefusesTheRequestWithAnotherQuery) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  SendRequest("GET", "/reads/stock?page=1", "a1");
  SendRequest("GET", "/reads/stock?page=2", "a2");
  ASSERT_EQ(TotalRuns(), kRunsBeforeRefusal);
  WaitUntilStored(kRunsBeforeRefusal);
  StartGateway();
  WaitUntilReady();
  EXPECT_EQ(SendRequest("GET", "/reads/stock?page=3", "a3").reason, "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

// Guards against a daemon that hears nothing from its peers and sends what they refuse.
TEST_F(CrashingRequestTest, DaemonLearnsOfTheRequestFromTheStoreWhileItRuns) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  SendRepeatedly("POST", "/reads/stock", "query");
  WaitUntilStored(kRunsBeforeRefusal);
  const auto [key, value] = *store_.service.Rows(kCrashTable).begin();
  store_.service.Remove(kCrashTable, key);
  StartGateway();
  WaitUntilReady();
  SetFaults(WorkerFault::kNone, 0);
  EXPECT_EQ(SendRequest("POST", "/reads/stock", "b1", kApiKey, "query").status, 200U);
  store_.service.Put(kCrashTable, key, value);
  // Sends nothing meanwhile: an answer would show that the request is harmless.
  while (Metrics().find("savoryglade_gateway_crash_records_total{event=\"read\"}") ==
         std::string::npos) {
  }
  const int runs = TotalRuns();
  EXPECT_EQ(SendRequest("POST", "/reads/stock", "b2", kApiKey, "query").reason,
            "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), runs);
}

// Guards against losses that restarts of all daemons forget one at a time, and against writes for
// single losses that wake all daemons.
TEST_F(CrashingRequestTest, SingleLossSurvivesARestartOutsideTheWatchedTable) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  for (int i = 1; i < kRunsBeforeRefusal; ++i) {
    SendRequest("POST", "/orders/1", fmt::format("a{}", i), kApiKey, "body");
    const auto is_stored = [this, i] {
      const std::map<std::string, std::string> singles = store_.service.Rows("savoryglade");
      return i > 1 ? !store_.service.Rows(kCrashTable).empty()
                   : std::ranges::any_of(singles, [](const auto& row) {
                       return row.first.starts_with("loss/crash/");
                     });
    };
    while (!is_stored()) {
    }
    EXPECT_EQ(store_.service.Rows(kCrashTable).size(), i > 1 ? 1U : 0U);
    // The process that ended is not used again.
    for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
      if (workers_[worker]->service.runs() > 0) {
        store_.service.Remove("servers", WorkerName(static_cast<int>(worker)));
      }
    }
    StartGateway();
    WaitUntilReady();
  }
  EXPECT_EQ(SendRequest("POST", "/orders/1", "b1", kApiKey, "body").status, 502U);
  EXPECT_EQ(SendRequest("POST", "/orders/1", "b2", kApiKey, "body").reason,
            "request_crashes_upstreams");
  EXPECT_EQ(TotalRuns(), kRunsBeforeRefusal);
}

TEST_F(CrashingRequestTest, LossesDuringAStoreOutageAreStoredAfterIt) {
  store_.service.SetFaults({.outage = true});
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  EXPECT_EQ(SendRepeatedly("POST", "/reads/stock", "query"), "request_crashes_upstreams");
  EXPECT_TRUE(store_.service.Rows(kCrashTable).empty());
  store_.service.SetFaults({});
  WaitUntilStored(kRunsBeforeRefusal);
}

// Guards against a harmless request that stays refused because two upstreams lost its response.
TEST_F(CrashingRequestTest, AnswerRemovesTheStoredRecord) {
  SetFaults(WorkerFault::kCloseAfterRun, 100);
  SendRequest("POST", "/reads/stock", "a1", kApiKey, "query");
  WaitUntilStored(2);
  SetFaults(WorkerFault::kNone, 0);
  EXPECT_EQ(SendRequest("POST", "/reads/stock", "a2", kApiKey, "query").status, 200U);
  while (!store_.service.Rows(kCrashTable).empty()) {
  }
}

TEST(CrashRowTest, RoundTripsLossesWithTheirAges) {
  const CrashRecord record{.request = 0xabc, .losses = {{.upstream = 1, .age = 5s}, {2, 7s}}};
  const std::string value = EncodeCrashRow(record, 1'000s);
  const Result<CrashRecord> decoded = DecodeCrashRow("crash/0000000000000abc", value, 1'010s);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->request, 0xabcU);
  EXPECT_EQ(decoded->losses, (std::vector<UpstreamLoss>{{1, 15s}, {2, 17s}}));
  // The clock of the daemon that reads may be behind.
  EXPECT_EQ(DecodeCrashRow("crash/0000000000000abc", value, 990s)->losses.front().age,
            Duration::zero());
}

TEST(CrashRowTest, RejectsMalformedRows) {
  const std::string value = R"({"lost_ms":{"01":5}})";
  for (const CrashSubject subject :
       {CrashSubject::kRequest, CrashSubject::kPath, CrashSubject::kPromptPart}) {
    for (const std::size_t losses : {0, 1, 2}) {
      const std::string key = CrashRowKey(subject, 1, losses);
      EXPECT_EQ(CrashSubjectOf(key), subject);
      EXPECT_TRUE(DecodeCrashRow(key, value, 1s));
    }
  }
  EXPECT_TRUE(DecodeCrashRow("crash/01", value, 1s));
  EXPECT_FALSE(DecodeCrashRow("crash/", value, 1s));
  EXPECT_FALSE(DecodeCrashRow("crash/zz", value, 1s));
  EXPECT_FALSE(DecodeCrashRow("usage/01", value, 1s));
  for (const char* malformed : {"", "{", "[]", R"({"lost_ms":7})", R"({"lost_ms":{"zz":5}})",
                                R"({"lost_ms":{"01":"5"}})"}) {
    EXPECT_FALSE(DecodeCrashRow("crash/01", malformed, 1s)) << malformed;
  }
}

}  // namespace
}  // namespace savoryglade::gateway
