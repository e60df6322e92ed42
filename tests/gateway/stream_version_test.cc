#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "emulator/caller_connection.h"
#include "emulator/stream_version_log.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Runs workers of several software versions in one service. While all of them are idle, the gateway
// chooses the first one.
class StreamVersionTest : public GatewayFixture {
 protected:
  StreamVersionTest() : GatewayFixture(0) {}

  // Starts one worker for each version, and a gateway that knows all of them.
  void StartWorkers(const std::vector<std::string>& versions) {
    for (const std::string& version : versions) {
      const int i = static_cast<int>(workers_.size());
      workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(i)));
      Worker(i).SetStreamVersionLog(log_);
      RegisterVersion(i, version, "ready");
    }
    StartGateway();
    PutRoutes(1);
    WaitUntilReady();
  }

  WorkerService& Worker(int i) { return workers_[static_cast<std::size_t>(i)]->service; }

  void RegisterVersion(int i, const std::string& version, const char* state) {
    Worker(i).SetVersion(version);
    store_.service.Put(
        "servers", WorkerName(i),
        fmt::format(
            R"({{"service":"s","address":"{}","zone":"verona","slots":4,"state":"{}","version":"{}"}})",
            ToString(workers_[static_cast<std::size_t>(i)]->endpoint), state, version));
  }

  Response SendStream(const std::string& attempt) {
    return SendRequest("POST", "/stream/1", attempt, kApiKey, "prompt");
  }

  // Resumes a stream that the attempt began, after its third event.
  Response Resume(const std::string& begun, const std::string& attempt) {
    std::string request = FormatRequest("POST", "/stream/1", attempt, kApiKey, "prompt");
    request.insert(request.find("\r\n") + 2,
                   fmt::format("Last-Event-Id: 3\r\nResumes: {}\r\n", begun));
    return SendText(gateway_->callers_endpoint(), request);
  }

  static std::string LastThreeEvents() {
    const std::string text = CompleteStream();
    return text.substr(text.find("id: 4"));
  }

  static void ReadThreeEvents(CallerConnection& connection) {
    connection.ReadUntil(
        [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
  }

  // Begins a stream at the first worker. Its caller leaves after three events.
  void BeginStream(const std::string& attempt) {
    Worker(0).SetFault(WorkerFault::kWaitForMigration, 1);
    CallerConnection connection(gateway_->callers_endpoint());
    connection.Send(FormatRequest("POST", "/stream/1", attempt, kApiKey, "prompt"));
    ReadThreeEvents(connection);
  }

  // Waits until the gateway's metrics contain the text.
  void WaitForMetric(const std::string& text) const {
    while (Metrics().find(text) == std::string::npos) {
    }
  }

  const std::shared_ptr<StreamVersionLog> log_ = std::make_shared<StreamVersionLog>();
};

// Guards against a broken stream that goes on at another version within one response.
TEST_F(StreamVersionTest, ABrokenStreamGoesOnAtTheVersionThatBeganIt) {
  StartWorkers({"v1", "v2", "v1"});
  Worker(0).SetFault(WorkerFault::kTruncateStream, 1);
  const Response response = SendStream("a1");
  EXPECT_TRUE(response.complete);
  EXPECT_EQ(response.body, CompleteStream());
  EXPECT_EQ(log_->resumptions(), 1);
  EXPECT_EQ(log_->mixed_streams(), std::vector<MixedStream>());
}

// Guards against a broken stream that goes on at another version because its own has gone.
TEST_F(StreamVersionTest, ABrokenStreamEndsIncompleteIfItsVersionHasNoOtherUpstream) {
  StartWorkers({"v1", "v2"});
  Worker(0).SetFault(WorkerFault::kTruncateStream, 1);
  const Response response = SendStream("a1");
  EXPECT_EQ(response.status, 200U);
  EXPECT_FALSE(response.complete);
  EXPECT_EQ(log_->resumptions(), 0);
  EXPECT_EQ(log_->mixed_streams(), std::vector<MixedStream>());
}

// Guards against binding a stream to the version of an attempt that brought no event.
TEST_F(StreamVersionTest, AnAttemptWithoutAnEventBindsNoVersion) {
  StartWorkers({"v1", "v2"});
  Worker(0).SetFault(WorkerFault::kCloseAfterRun, 1);
  const Response response = SendStream("a1");
  EXPECT_TRUE(response.complete);
  EXPECT_EQ(response.body, CompleteStream());
  EXPECT_EQ(response.seal, "seal-of-worker-1/v2");
}

// Guards against streams that move from a leaving upstream to one of another version, whose KV
// cache they can't use.
TEST_F(StreamVersionTest, AStreamMovesToAnUpstreamOfItsVersion) {
  StartWorkers({"v1", "v2", "v1"});
  Worker(0).SetFault(WorkerFault::kWaitForMigration, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("POST", "/once/stream/1", "a1", kApiKey, "prompt"));
  ReadThreeEvents(connection);
  RegisterVersion(0, "v1", "draining");
  EXPECT_TRUE(connection.ReadAll());
  EXPECT_EQ(connection.body(), CompleteStream());
  EXPECT_EQ(Worker(2).migrated_runs(), 1);
  EXPECT_EQ(log_->mixed_streams(), std::vector<MixedStream>());
}

TEST_F(StreamVersionTest, AStreamStaysAtItsUpstreamIfItsVersionHasNoOther) {
  StartWorkers({"v1", "v2"});
  Worker(0).SetFault(WorkerFault::kWaitForMigration, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("POST", "/once/stream/1", "a1", kApiKey, "prompt"));
  ReadThreeEvents(connection);
  RegisterVersion(0, "v1", "draining");
  WaitForMetric("savoryglade_gateway_moves_total{outcome=");
  EXPECT_NE(Metrics().find(R"(savoryglade_gateway_moves_total{outcome="failed"} 1)"),
            std::string::npos);
  EXPECT_EQ(Worker(1).migrated_runs(), 0);
}

// Guards against an upstream that counts as one of the version that it had before it started again
// under its id.
TEST_F(StreamVersionTest, AStreamDoesNotMoveToAnUpstreamThatStartedAgainAtAnotherVersion) {
  StartWorkers({"v1", "v1"});
  Worker(0).SetFault(WorkerFault::kWaitForMigration, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("POST", "/once/stream/1", "a1", kApiKey, "prompt"));
  ReadThreeEvents(connection);
  RegisterVersion(1, "v2", "ready");
  RegisterVersion(0, "v1", "draining");
  WaitForMetric("savoryglade_gateway_moves_total{outcome=");
  EXPECT_NE(Metrics().find(R"(savoryglade_gateway_moves_total{outcome="failed"} 1)"),
            std::string::npos);
  EXPECT_EQ(Metrics().find(R"(outcome="moved")"), std::string::npos);
  EXPECT_EQ(Worker(1).migrated_runs(), 0);
}

// Guards against refusing the streams that callers resume while there is one version only.
TEST_F(StreamVersionTest, ACallerResumesAStreamWhileOneVersionServes) {
  StartWorkers({"v1", "v1"});
  BeginStream("a1");
  const Response response = Resume("a1", "a2");
  EXPECT_EQ(response.status, 200U);
  EXPECT_TRUE(response.complete);
  EXPECT_EQ(response.body, LastThreeEvents());
}

// Guards against a caller's resumption that goes on at any of several versions.
TEST_F(StreamVersionTest, RefusesAResumptionWhoseVersionIsUnknown) {
  StartWorkers({"v1", "v2"});
  const Response response = Resume("unknown", "a2");
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "stream_version_unknown");
  EXPECT_FALSE(response.retry_after.empty());
  EXPECT_EQ(RunCount("a2"), 0);
}

// Guards against a resumption that waits for an upstream of a version that serves no longer, or
// that is refused as if its upstreams were full.
TEST_F(StreamVersionTest, RefusesAResumptionWhoseVersionLeaves) {
  StartWorkers({"v1"});
  BeginStream("a1");
  RegisterVersion(0, "v1", "draining");
  Response response;
  int attempts = 0;
  do {
    response = Resume("a1", fmt::format("r{}", ++attempts));
  } while (response.status == 200U);
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "stream_version_unavailable");
  EXPECT_FALSE(response.retry_after.empty());
  EXPECT_EQ(RunCount(fmt::format("r{}", attempts)), 0);
}

}  // namespace
}  // namespace savoryglade::gateway
