#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "emulator/worker_service.h"
#include "gateway/rollout_row.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr int kAlways = 1'000'000;

// Runs a gateway beside a worker of version v1; further workers register as v2.
class RolloutTest : public GatewayFixture {
 protected:
  RolloutTest() : GatewayFixture(0) {
    AddWorker("v1");
    StartRollouts();
    PutRoutes(1);
    WaitUntilReady();
  }

  static FleetBounds RolloutBounds() {
    FleetBounds bounds = TestBounds();
    bounds.exposure_share = 0.1;
    bounds.exposure_allowance = 50;
    bounds.rollback = 5s;
    return bounds;
  }

  void StartRollouts() {
    gateway_.reset();
    gateway_ = MakeGateway("daemon-1", store_.endpoint, RolloutBounds());
  }

  WorkerService& AddWorker(const std::string& version) {
    const int i = static_cast<int>(workers_.size());
    workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(i)));
    WorkerService& worker = workers_.back()->service;
    worker.SetVersion(version);
    Register(i, version);
    return worker;
  }

  void Register(int i, const std::string& version) {
    store_.service.Put(
        "servers", WorkerName(i),
        fmt::format(
            R"({{"service":"s","address":"{}","zone":"verona","slots":4,"state":"ready","version":"{}"}})",
            ToString(workers_[static_cast<std::size_t>(i)]->endpoint), version));
  }

  void Order(const std::string& to, int seconds) {
    store_.service.Put("op", "rollout/s",
                       fmt::format(R"({{"service":"s","to":"{}","duration_s":{}}})", to, seconds));
  }

  std::string State() const {
    const auto rows = store_.service.Rows("status");
    const auto found = rows.find("rollout/s");
    return found == rows.end() ? std::string() : found->second;
  }
  static std::string StateText(const std::string& state, const std::string& to) {
    return fmt::format(R"({{"service":"s","state":"{}","to":"{}"}})", state, to);
  }
  bool IsOpen() const {
    const std::string state = State();
    return state.empty() || state.find("running") != std::string::npos;
  }

  Response Send() { return SendRequest("GET", "/reads/1", fmt::format("a{}", ++requests_)); }
  // Sends requests until the roll-out has ended.
  void SendUntilDecided() {
    while (IsOpen()) {
      const Response response = Send();
      // A test process that the machine stops for seconds answers after the caller's deadline.
      EXPECT_TRUE(response.status == 200U || response.reason == "deadline_exceeded")
          << response.status << " " << response.reason;
    }
  }
  // Sends requests until one is answered by this worker.
  void SendUntilAnsweredBy(const WorkerService& worker) {
    for (const int runs = worker.runs(); worker.runs() == runs;) {
      Send();
    }
  }

  int requests_ = 0;
};

// Guards against orders that nothing reads, and upstreams of the old version that still get
// requests when the operators' platform stops them.
TEST_F(RolloutTest, GoodVersionIsCompletedAndServesAlone) {
  Order("v2", 7);
  WorkerService& next = AddWorker("v2");
  SendUntilDecided();
  EXPECT_EQ(State(), StateText("completed", "v2"));
  const int runs = next.runs();
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(Send().status, 200U);
  }
  EXPECT_EQ(next.runs(), runs + kRequests);
  const auto row = DecodeRolloutRow(store_.service.Rows("savoryglade").at("rollout/s"));
  ASSERT_TRUE(row);
  EXPECT_EQ(row->step.stage, rollout::RolloutStage::kCompleted);
  EXPECT_NE(Metrics().find(R"(savoryglade_gateway_rollout_stage{service="s"} )"),
            std::string::npos);
}

// Guards against a bad version that is completed, that exceeds its exposure, that callers of
// idempotent routes notice, or that gets requests after a restart of the daemon.
TEST_F(RolloutTest, BadVersionIsRolledBackAndGetsNothingAfterARestart) {
  Order("v2", 8);
  WorkerService& next = AddWorker("v2");
  next.SetFault(WorkerFault::kInternalError, kAlways);
  SendUntilDecided();
  EXPECT_EQ(State(), StateText("rolled_back", "v2"));
  EXPECT_GT(next.runs(), 0);
  EXPECT_LE(next.runs(), 0.1 * requests_ + 50);
  const int runs = next.runs();
  StartRollouts();
  WaitUntilReady();
  for (int i = 0; i < 200; ++i) {
    EXPECT_EQ(Send().status, 200U);
  }
  EXPECT_EQ(next.runs(), runs);
}

// Guards against an order whose upstreams never register and that blocks the service, or stays
// open.
TEST_F(RolloutTest, OrderWithoutUpstreamsIsRolledBack) {
  Order("v2", 2);
  SendUntilDecided();
  EXPECT_EQ(State(), StateText("rolled_back", "v2"));
}

// Guards against a roll-back that is not written again when the store has returned from an older
// copy.
TEST_F(RolloutTest, OutcomeIsWrittenAgainAfterAReturnOfTheStore) {
  const auto copy = store_.service.MakeCopy();
  Order("v2", 2);
  SendUntilDecided();
  store_.service.ReturnTo(*copy, "op", {});
  while (State() != StateText("rolled_back", "v2")) {
    Send();
  }
}

// Guards against a version that was never ordered and that gets nothing.
TEST_F(RolloutTest, VersionWithoutAnOrderIsServedAsBefore) { SendUntilAnsweredBy(AddWorker("v3")); }

// Guards against an order of the version that serves already, which must not stop the service.
TEST_F(RolloutTest, OrderOfTheServingVersionIsCompleted) {
  Order("v1", 4);
  SendUntilDecided();
  EXPECT_EQ(State(), StateText("completed", "v1"));
}

// Guards against roll-outs in a deployment that does not ask for them.
TEST_F(RolloutTest, OrderIsIgnoredWithoutTheContract) {
  StartGateway();
  WaitUntilReady();
  Order("v2", 1);
  SendUntilAnsweredBy(AddWorker("v2"));
  EXPECT_EQ(State(), "");
}

}  // namespace
}  // namespace savoryglade::gateway
