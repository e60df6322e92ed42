#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/boot_clock.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Requests that the one worker runs at the same time, with those that wait there.
constexpr int kPlaces = 8;
// A route whose requests may wait for long.
constexpr const char* kPatientRoute =
    R"(,{"name":"patient","host":"h","prefix":"/patient/","route_kind":"non_idempotent",)"
    R"("timeout_ms":60000,"goal_ms":60000,"service":"s","max_attempts":1})";

class AdmissionGateTest : public GatewayFixture {
 protected:
  AdmissionGateTest() : GatewayFixture(1) {
    PutRoutes(1, kPatientRoute);
    WaitUntilReady();
    // From these the gateway knows that requests are served at all.
    for (int i = 0; i < 4; ++i) {
      EXPECT_EQ(SendRequest("GET", "/reads/1", fmt::format("before-{}", i)).status, 200U);
    }
    earlier_runs_ = TotalRuns();
  }

  static std::string PatientRequest(const std::string& attempt) {
    return fmt::format(
        "POST /patient/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: {}\r\nDeadline-Ms: 60000\r\n"
        "Authorization: Bearer {}\r\nContent-Length: 0\r\n\r\n",
        attempt, kApiKey);
  }

  std::unique_ptr<CallerConnection> Send(const std::string& attempt) {
    auto connection = std::make_unique<CallerConnection>(gateway_->callers_endpoint());
    connection->Send(PatientRequest(attempt));
    return connection;
  }

  // Occupies all places of the worker until the connections are closed.
  std::vector<std::unique_ptr<CallerConnection>> OccupyPlaces() {
    SetFaults(WorkerFault::kNoResponse, kPlaces);
    std::vector<std::unique_ptr<CallerConnection>> callers;
    callers.reserve(kPlaces);
    for (int i = 0; i < kPlaces; ++i) {
      callers.push_back(Send(fmt::format("occupies-{}", i)));
    }
    while (TotalRuns() < earlier_runs_ + kPlaces) {
      std::this_thread::yield();
    }
    return callers;
  }

  // Returns after the gateway has read what was sent before.
  void AwaitRead() { ASSERT_EQ(SendRequest("GET", "/unknown/1", "later").status, 404U); }

 private:
  int earlier_runs_ = 0;
};

// Guards against a refusal although an upstream has a place a moment later.
TEST_F(AdmissionGateTest, RequestWaitsUntilAPlaceBecomesFree) {
  auto occupying = OccupyPlaces();
  const auto waiting = Send("waits");
  AwaitRead();
  occupying.pop_back();
  EXPECT_TRUE(waiting->ReadAll());
  EXPECT_EQ(waiting->status(), 200U);
  EXPECT_EQ(RunCount("waits"), 1);
}

// Guards against a queue that sends the request of a caller that has left.
TEST_F(AdmissionGateTest, RequestOfACallerThatLeavesWhileItWaitsIsNotSent) {
  auto occupying = OccupyPlaces();
  auto leaving = Send("leaves");
  AwaitRead();
  leaving.reset();
  const auto waiting = Send("waits");
  AwaitRead();
  occupying.clear();
  EXPECT_TRUE(waiting->ReadAll());
  EXPECT_EQ(waiting->status(), 200U);
  EXPECT_EQ(RunCount("leaves"), 0);
}

// Guards against requests that were accepted, wait, and get no answer in a planned stop.
TEST_F(AdmissionGateTest, WaitingRequestIsAnsweredInAPlannedStop) {
  FleetBounds bounds = TestBounds();
  bounds.stop_grace = 1s;
  bounds.balancer_delay = 100ms;
  gateway_ = MakeGateway("daemon-1", store_.endpoint, bounds);
  WaitUntilReady();
  const auto occupying = OccupyPlaces();
  const auto waiting = Send("waits");
  AwaitRead();
  gateway_->BeginDrain(BootNow());
  EXPECT_TRUE(waiting->ReadAll());
  EXPECT_EQ(waiting->status(), 503U);
  EXPECT_EQ(waiting->Header("Savoryglade-Reason"), "draining");
  EXPECT_EQ(RunCount("waits"), 0);
}

}  // namespace
}  // namespace savoryglade::gateway
