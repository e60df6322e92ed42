#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Workers that write answers which do not belong where they are read.
class FaultyWorkerTest : public GatewayFixture {
 protected:
  FaultyWorkerTest() {
    PutRoutes(1);
    WaitUntilReady();
  }

  // Breaks off streams at the first worker, and lets the other one answer with the fault. Returns
  // what the caller gets whose stream begins at the first worker.
  Response SendStreamThatIsContinuedWith(WorkerFault fault) {
    for (int i = 0;; ++i) {
      const std::string attempt = fmt::format("a{}-{}", static_cast<int>(fault), i);
      workers_[0]->service.SetFault(WorkerFault::kTruncateStream, 1);
      workers_[1]->service.SetFault(fault, 1);
      Response response = SendRequest("POST", "/stream/1", attempt);
      if (workers_[0]->service.RunCount(attempt) == 1 &&
          workers_[1]->service.RunCount(attempt) == 1 && !response.body.empty() &&
          response.status == 200 && response.seal.ends_with("worker-0")) {
        return response;
      }
    }
  }
};

// Guards against a request that is reported as not run, or sent to a second worker, because a
// worker wrote an earlier rejection once more.
TEST_F(FaultyWorkerTest, RepeatedRejectionDoesNotCountAsThatOfTheRequest) {
  SetFaults(WorkerFault::kRepeatedRejection, 1);
  const Response response = SendRequest("POST", "/orders/1", "a1");
  EXPECT_LE(RunCount("a1"), 1);
  EXPECT_EQ(response.status, 502U);
}

// Guards against the text of an error in the middle of a stream.
TEST_F(FaultyWorkerTest, ErrorOfTheNextWorkerIsNotPartOfTheStream) {
  for (const WorkerFault fault : {WorkerFault::kInternalError, WorkerFault::kJsonForStream,
                                  WorkerFault::kUnavailableAfterRun}) {
    const Response response = SendStreamThatIsContinuedWith(fault);
    EXPECT_EQ(response.status, 200U);
    EXPECT_TRUE(CompleteStream().starts_with(response.body)) << response.body;
    EXPECT_EQ(response.complete, response.body == CompleteStream());
  }
}

// Guards against a status that reaches the caller as another one, because the HTTP library does not
// list it.
TEST_F(FaultyWorkerTest, UnlistedStatusReachesTheCaller) {
  for (const char* path : {"/orders/1", "/once/stream/1"}) {
    SetFaults(WorkerFault::kUnlistedStatus, 1);
    const Response response = SendRequest("POST", path, "a1");
    EXPECT_EQ(response.status, WorkerService::kUnlistedStatus) << path;
    EXPECT_FALSE(response.seal.empty()) << path;
    SetFaults(WorkerFault::kNone, 0);
  }
}

TEST_F(FaultyWorkerTest, UnlistedMethodReachesTheWorker) {
  EXPECT_EQ(SendRequest("CONFIRM", "/orders/1", "a1", kApiKey, "b").body, "CONFIRM /orders/1 b");
}

}  // namespace
}  // namespace savoryglade::gateway
