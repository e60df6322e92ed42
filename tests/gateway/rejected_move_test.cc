#include <gtest/gtest.h>

#include <string>

#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr int kAlways = 1'000'000;

// A stream that its upstream has stopped to move it, and that both its target and its source
// reject.
class RejectedMoveTest : public GatewayFixture {
 protected:
  RejectedMoveTest() : GatewayFixture(2) {
    PutRoutes(
        1,
        R"(,{"name":"patient","host":"h","prefix":"/patient/","route_kind":"streaming","timeout_ms":20000,)"
        R"("itl_target_ms":6000,"service":"s","resumable":true,"max_attempts":2})");
    WaitUntilReady();
  }

  WorkerService& Upstream(int i) { return workers_[static_cast<std::size_t>(i)]->service; }

  // Moves a stream whose target rejects so many requests, and whose source rejects all. Returns
  // what the caller receives.
  Response SendAndMove(int rejections) {
    SetFaults(WorkerFault::kWaitForMigration, 1);
    CallerConnection caller(gateway_->callers_endpoint());
    std::string request = FormatRequest("POST", "/patient/stream/1", "a1", kApiKey, "prompt");
    request.replace(request.find("2500"), 4, "20000");
    caller.Send(request);
    caller.ReadUntil(
        [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
    const int source = Upstream(0).RunCount("a1") == 1 ? 0 : 1;
    Upstream(source).SetFault(WorkerFault::kRejectNotExecuted, kAlways);
    Upstream(1 - source).SetFault(WorkerFault::kRejectNotExecuted, rejections);
    RegisterWorker(source, "draining");
    Response response;
    response.complete = caller.ReadAll();
    response.body = caller.body();
    return response;
  }

  static void ExpectWholeStream(const Response& response) {
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, CompleteStream());
  }
};

// Guards against a stream that is cut off because its target and its source reject it.
TEST_F(RejectedMoveTest, StreamGoesOnAtATargetThatHasRejectedItOnce) {
  ExpectWholeStream(SendAndMove(1));
}

// Guards against a stream that is cut off because its target, which may have a place soon, rejects
// it more than once.
TEST_F(RejectedMoveTest, StreamWaitsForATargetThatHasRejectedItTwice) {
  ExpectWholeStream(SendAndMove(2));
}

}  // namespace
}  // namespace savoryglade::gateway
