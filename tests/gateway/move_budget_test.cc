#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr int kStreams = 50;
constexpr int kAlways = 1'000'000;
constexpr double kRatio = 0.2;

class MoveBudgetTest : public GatewayFixture {
 protected:
  MoveBudgetTest() : GatewayFixture(0) {
    for (int i = 0; i < 2; ++i) {
      workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(i)));
    }
    // Before the start, so that a daemon that is ready knows the upstream.
    Register(0, "ready");
    PutRoutes(1);
    gateway_.reset();
    gateway_ = MakeGateway("daemon-1", store_.endpoint,
                           {.upstream_drain = 5s, .retry_ratio = kRatio, .retry_allowance = 0});
    WaitUntilReady();
  }

  WorkerService& Worker(std::size_t i) { return workers_[i]->service; }

  void Register(int i, const char* state) {
    store_.service.Put(
        "servers", WorkerName(i),
        fmt::format(R"({{"service":"s","address":"{}","zone":"verona","slots":{},"state":"{}"}})",
                    ToString(workers_[static_cast<std::size_t>(i)]->endpoint), 2 * kStreams,
                    state));
  }

  // Starts streams at the first worker, lets it leave, and reads the streams to their ends.
  void MoveStreams() {
    Worker(0).SetFault(WorkerFault::kWaitForMigration, kStreams);
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (int i = 0; i < kStreams; ++i) {
      callers.push_back(std::make_unique<CallerConnection>(gateway_->callers_endpoint()));
      callers.back()->Send(FormatRequest("POST", "/once/stream/1", fmt::format("m{}", i)));
    }
    while (Worker(0).arrivals() < kStreams) {
    }
    Register(1, "ready");
    Register(0, "draining");
    for (const auto& caller : callers) {
      caller->ReadAll();
    }
  }
};

// Guards against moves that cost two arrivals and ask the retry budget for one: the target rejects
// the stream, and it returns to its source.
TEST_F(MoveBudgetTest, MovesWhoseTargetRejectsThemStayWithinTheBudget) {
  Worker(1).SetFault(WorkerFault::kRejectNotExecuted, kAlways);
  MoveStreams();
  const int repeats = Worker(0).arrivals() + Worker(1).arrivals() - kStreams;
  EXPECT_GT(Worker(1).arrivals(), 0);
  EXPECT_LE(repeats, kRatio * kStreams);
}

// Guards against moves that are given up because others hold what they may cost at most, although
// their targets accept them.
TEST_F(MoveBudgetTest, MovesUseWhatOthersReturn) {
  MoveStreams();
  EXPECT_GE(Worker(1).migrated_runs(), 7);
  EXPECT_LE(Worker(1).arrivals(), kRatio * kStreams);
}

}  // namespace
}  // namespace savoryglade::gateway
