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
};

// Guards against a request that is reported as not run, or sent to a second worker, because a
// worker wrote an earlier rejection once more.
TEST_F(FaultyWorkerTest, RepeatedRejectionDoesNotCountAsThatOfTheRequest) {
  SetFaults(WorkerFault::kRepeatedRejection, 1);
  const Response response = SendRequest("POST", "/orders/1", "a1");
  EXPECT_LE(RunCount("a1"), 1);
  EXPECT_EQ(response.status, 502U);
}

}  // namespace
}  // namespace savoryglade::gateway
