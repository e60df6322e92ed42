#include <gtest/gtest.h>

#include <string>

#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Streams that only the end of their connections can end, at an upstream that leaves and is asked
// to stop them.
class StoppedStreamTest : public GatewayFixture {
 protected:
  StoppedStreamTest() {
    PutRoutes(1);
    WaitUntilReady();
    Upstream(0).SetFault(WorkerFault::kEndAtMigration, 1);
    Upstream(1).SetFault(WorkerFault::kEndAtMigration, 1);
  }

  WorkerService& Upstream(int i) { return workers_[static_cast<std::size_t>(i)]->service; }

  // Begins a stream and has its upstream leave, which answers the request to stop it in this way.
  // Returns what the caller receives.
  Response SendAndStop(const std::string& path, StopAnswer answer) {
    CallerConnection connection(gateway_->callers_endpoint());
    connection.Send(FormatRequest("POST", path, "a1", kApiKey, "prompt"));
    connection.ReadUntil(
        [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
    const int leaving = Upstream(0).RunCount("a1") == 1 ? 0 : 1;
    Upstream(leaving).SetStopAnswer(answer);
    Upstream(1 - leaving).SetFault(WorkerFault::kNone, 0);
    RegisterWorker(leaving, "draining");
    Response response;
    response.complete = connection.ReadAll();
    response.body = connection.body();
    return response;
  }

  static std::string FirstEvents() {
    const std::string text = CompleteStream();
    return text.substr(0, text.find("id: 4"));
  }
};

// Guards against half of a stream that looks complete, because the answer of the upstream that was
// asked to stop it is lost.
TEST_F(StoppedStreamTest, StreamDoesNotLookCompleteIfTheAnswerToItsStopIsLost) {
  const Response response = SendAndStop("/once/stream/1", StopAnswer::kLost);
  EXPECT_FALSE(response.complete);
  EXPECT_EQ(response.body, FirstEvents());
}

// Guards against a stream that is given up although another upstream can continue it.
TEST_F(StoppedStreamTest, StreamThatMayBeResumedGoesOnIfTheAnswerToItsStopIsLost) {
  const Response response = SendAndStop("/stream/1", StopAnswer::kLost);
  EXPECT_TRUE(response.complete);
  EXPECT_EQ(response.body, CompleteStream());
}

TEST_F(StoppedStreamTest, StreamThatIsMovedIsComplete) {
  const Response response = SendAndStop("/once/stream/1", StopAnswer::kSent);
  EXPECT_TRUE(response.complete);
  EXPECT_EQ(response.body, CompleteStream());
}

// Guards against copies of stopped streams that take up memory at their targets, because the caller
// left and nobody continues them. A failure shows as a test that does not end.
TEST_F(StoppedStreamTest, CopyIsFreedIfTheCallerLeavesAfterTheStop) {
  SetFaults(WorkerFault::kSilentAfterMigration, 1);
  CallerConnection connection(gateway_->callers_endpoint());
  connection.Send(FormatRequest("POST", "/stream/1", "a1", kApiKey, "prompt"));
  connection.ReadUntil(
      [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
  const int leaving = Upstream(0).RunCount("a1") == 1 ? 0 : 1;
  RegisterWorker(leaving, "draining");
  while (Upstream(leaving).silent_requests() == 0 ||
         Metrics().find(R"(moves_total{outcome="moved"} 1)") == std::string::npos) {
  }
  EXPECT_EQ(Upstream(leaving).freed_copies(), 0);
  connection.Close();
  while (Upstream(leaving).freed_copies() == 0) {
  }
  EXPECT_EQ(Upstream(1 - leaving).migrated_runs(), 0);
}

// Guards against a stream that stays open past its deadline while the answer to its stop does not
// end. A failure shows as a test that does not end.
TEST_F(StoppedStreamTest, StreamEndsIfTheAnswerToItsStopDoesNot) {
  const Response response = SendAndStop("/once/stream/1", StopAnswer::kEndless);
  EXPECT_FALSE(response.complete);
  EXPECT_EQ(response.body, FirstEvents());
}

}  // namespace
}  // namespace savoryglade::gateway
