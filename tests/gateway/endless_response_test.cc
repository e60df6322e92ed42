#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Sends requests to workers whose bytes never end. Each test would not end if the gateway read on.
class EndlessResponseTest : public GatewayFixture {
 protected:
  EndlessResponseTest() {
    PutRoutes(1);
    WaitUntilReady();
  }

  // Sends a request with a short timeout, which all workers answer without end.
  Response SendToEndlessWorkers(WorkerFault fault, const std::string& path) {
    SetFaults(fault, 10);
    return SendText(gateway_->callers_endpoint(),
                    fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n"
                                "Deadline-Ms: 300\r\nAuthorization: Bearer {}\r\n"
                                "Content-Length: 0\r\n\r\n",
                                path, kApiKey));
  }
};

TEST_F(EndlessResponseTest, HeaderWithoutEndIsNoResponse) {
  EXPECT_EQ(SendToEndlessWorkers(WorkerFault::kEndlessHeader, "/orders/1").status, 502U);
  EXPECT_EQ(RunCount("a1"), 1);
}

TEST_F(EndlessResponseTest, InterimResponsesWithoutEndAreNoResponse) {
  EXPECT_EQ(SendToEndlessWorkers(WorkerFault::kEndlessInterimResponses, "/orders/1").status, 502U);
  EXPECT_EQ(RunCount("a1"), 1);
}

TEST_F(EndlessResponseTest, BodyOfAnotherResponseWithoutEndIsNotDiscardedForEver) {
  EXPECT_EQ(SendToEndlessWorkers(WorkerFault::kEndlessStaleBody, "/orders/1").status, 502U);
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against an event that fills the memory of the VM.
TEST_F(EndlessResponseTest, EventWithoutEndEndsTheStream) {
  EXPECT_EQ(SendToEndlessWorkers(WorkerFault::kEndlessEvent, "/once/stream/1").status, 502U);
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against the header of a chunk or a trailer that fills the memory of the VM, which ends the
// requests of all its callers.
TEST_F(EndlessResponseTest, FramingWithoutEndIsNoResponse) {
  EXPECT_EQ(SendToEndlessWorkers(WorkerFault::kEndlessStreamChunkHeader, "/once/stream/1").status,
            502U);
  EXPECT_EQ(SendToEndlessWorkers(WorkerFault::kEndlessChunkHeader, "/orders/1").status, 502U);
  EXPECT_EQ(SendToEndlessWorkers(WorkerFault::kEndlessTrailer, "/orders/1").status, 502U);
  EXPECT_EQ(RunCount("a1"), 3);
}

// Guards against workers that send what can't be read and are taken for crashed.
TEST_F(EndlessResponseTest, UnreadableResponsesAreNoCrashes) {
  SendToEndlessWorkers(WorkerFault::kEndlessHeader, "/orders/1");
  SendToEndlessWorkers(WorkerFault::kEndlessInterimResponses, "/orders/1");
  SendToEndlessWorkers(WorkerFault::kEndlessStaleBody, "/orders/1");
  SendToEndlessWorkers(WorkerFault::kEndlessChunkHeader, "/orders/1");
  EXPECT_EQ(Metrics().find("savoryglade_gateway_crash_records_total"), std::string::npos);
}

}  // namespace
}  // namespace savoryglade::gateway
