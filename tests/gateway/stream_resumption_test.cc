#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/caller_connection.h"
#include "emulator/stream_version_log.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// A caller resumes a stream at another daemon, while an idle upstream of another version is chosen
// first. Daemon 1 is the gateway of the fixture.
class StreamResumptionTest : public GatewayFixture {
 protected:
  StreamResumptionTest() : GatewayFixture(0) {
    for (const char* version : {"v1", "v2", "v2"}) {
      const int i = static_cast<int>(workers_.size());
      workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(i)));
      Worker(i).SetStreamVersionLog(log_);
      Worker(i).SetVersion(version);
      store_.service.Put(
          "servers", WorkerName(i),
          fmt::format(
              R"({{"service":"s","address":"{}","zone":"verona","slots":4,"state":"ready","version":"{}"}})",
              ToString(workers_.back()->endpoint), version));
    }
    PutRoutes(1);
    StartGateway();
    WaitUntilReady();
  }

  WorkerService& Worker(int i) { return workers_[static_cast<std::size_t>(i)]->service; }

  std::unique_ptr<Gateway> StartSecondDaemon() const {
    auto gateway = MakeGateway("daemon-2", store_.endpoint);
    WaitUntilReady(*gateway);
    return gateway;
  }

  // Begins a stream at an upstream of the version v2. Its caller leaves after three events.
  void BeginStream(const std::string& attempt) {
    Worker(0).SetFault(WorkerFault::kRejectNotExecuted, 1);
    Worker(1).SetFault(WorkerFault::kWaitForMigration, 1);
    CallerConnection connection(gateway_->callers_endpoint());
    connection.Send(FormatRequest("POST", "/stream/1", attempt, kApiKey, "prompt"));
    connection.ReadUntil(
        [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
    ASSERT_EQ(connection.Header("Response-Seal"), "seal-of-worker-1/v2");
  }

  static Response Resume(const Gateway& gateway, const std::string& begun,
                         const std::string& attempt, const std::string& path = "/stream/1") {
    std::string request = FormatRequest("POST", path, attempt, kApiKey, "prompt");
    request.insert(request.find("\r\n") + 2,
                   fmt::format("Last-Event-Id: 3\r\nResumes: {}\r\n", begun));
    return SendText(gateway.callers_endpoint(), request);
  }

  // Waits until a daemon knows the versions of this number of streams. Fails after many reads of
  // its metrics.
  static void WaitForStreams(const Gateway& gateway, int streams) {
    constexpr int kMaxReads = 200'000;
    const std::string metric = fmt::format("savoryglade_gateway_recorded_streams {}\n", streams);
    for (int reads = 0; reads < kMaxReads; ++reads) {
      if (SendText(gateway.metrics_endpoint(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
              .body.find(metric) != std::string::npos) {
        return;
      }
    }
    FAIL() << "The daemon does not know the streams.";
  }

  void ExpectGoesOnAtVersion2(const Response& response) const {
    EXPECT_EQ(response.status, 200U) << response.reason;
    EXPECT_TRUE(response.complete);
    EXPECT_TRUE(response.seal.ends_with("/v2")) << response.seal;
    EXPECT_EQ(log_->mixed_streams(), std::vector<MixedStream>());
  }

  const std::shared_ptr<StreamVersionLog> log_ = std::make_shared<StreamVersionLog>();
};

// Guards against a stream that is refused, or goes on at another version, because its caller
// resumes it at another daemon.
TEST_F(StreamResumptionTest, StreamGoesOnAtItsVersionAtAnotherDaemon) {
  const auto second = StartSecondDaemon();
  BeginStream("a1");
  ASSERT_NO_FATAL_FAILURE(WaitForStreams(*second, 1));
  ExpectGoesOnAtVersion2(Resume(*second, "a1", "a2"));
}

// Guards against a record that is lost with the daemon that wrote it.
TEST_F(StreamResumptionTest, StreamGoesOnAtItsVersionWhenItsDaemonIsGone) {
  const auto second = StartSecondDaemon();
  BeginStream("a1");
  ASSERT_NO_FATAL_FAILURE(WaitForStreams(*second, 1));
  gateway_.reset();
  ExpectGoesOnAtVersion2(Resume(*second, "a1", "a2"));
  // The third try names the first attempt too.
  ExpectGoesOnAtVersion2(Resume(*second, "a1", "a3"));
}

// Guards against a stream that goes on at any version because no other daemon had its record.
TEST_F(StreamResumptionTest, StreamWithoutARecordIsRefusedAndDoesNotRun) {
  BeginStream("a1");
  // The new process has no peer that could know the stream.
  StartGateway();
  WaitUntilReady();
  const Response response = Resume(*gateway_, "a1", "a2");
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "stream_version_unknown");
  EXPECT_FALSE(response.retry_after.empty());
  EXPECT_EQ(RunCount("a2"), 0);
}

// Guards against a resumption that goes to another service of its route, whose versions have
// nothing to do with the stream's.
TEST_F(StreamResumptionTest, ResumedStreamStaysWithItsServiceOnASplitRoute) {
  workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(3)));
  Worker(3).SetVersion("v2");
  store_.service.Put(
      "servers", WorkerName(3),
      fmt::format(
          R"({{"service":"t","address":"{}","zone":"verona","slots":4,"state":"ready","version":"v2"}})",
          ToString(workers_.back()->endpoint)));
  // A gateway that is ready has read the registration.
  StartGateway();
  WaitUntilReady();
  PutRoutes(
      2,
      R"(,{"name":"split","host":"h","prefix":"/stream/split/","route_kind":"streaming","timeout_ms":5000,)"
      R"("max_attempts":2,"resumable":true,)"
      R"("split":[{"service":"s","weight":1},{"service":"t","weight":1}]})");
  // The gateway has read the routes once a stream ran at the other service.
  int attempt = 0;
  std::string begun;
  do {
    begun = fmt::format("b{}", ++attempt);
    ASSERT_EQ(SendRequest("POST", "/stream/split/1", begun, kApiKey, "prompt").status, 200U);
  } while (Worker(3).RunCount(begun) == 0);
  for (int i = 0; i < 16; ++i) {
    const std::string resumed = fmt::format("r{}", i);
    const Response response = Resume(*gateway_, begun, resumed, "/stream/split/1");
    EXPECT_EQ(response.status, 200U) << response.reason;
    EXPECT_EQ(Worker(3).RunCount(resumed), 1);
  }
}

// Guards against a restart after which a daemon refuses the streams that its peers know.
TEST_F(StreamResumptionTest, RestartedDaemonKnowsStreamsFromItsPeer) {
  auto second = StartSecondDaemon();
  BeginStream("a1");
  ASSERT_NO_FATAL_FAILURE(WaitForStreams(*second, 1));
  StartGateway();
  ASSERT_NO_FATAL_FAILURE(WaitForStreams(*gateway_, 1));
  second.reset();
  ExpectGoesOnAtVersion2(Resume(*gateway_, "a1", "a2"));
}

}  // namespace
}  // namespace savoryglade::gateway
