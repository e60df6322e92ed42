#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "recovery/window_retry_budget.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr int kAlways = 1'000'000;
// Retries that a second attempt and a move consume at most at the same time.
constexpr int kRetries = 1 + 2;
// Upstreams that reject each request but have rejected none before.
constexpr int kRejectingUpstreams = 6;

// A stream that is stopped to be moved while a second attempt is beside it. The retry budget holds
// no more than both may consume.
class AbandonedMoveTest : public GatewayFixture {
 protected:
  AbandonedMoveTest() : GatewayFixture(1) {
    PutRoutes(
        1,
        R"(,{"name":"talks","host":"h","prefix":"/talks/","route_kind":"streaming","timeout_ms":20000,)"
        R"("goal_ms":5,"itl_target_ms":5,"service":"s","resumable":true,"max_attempts":2})");
    FleetBounds bounds = TestBounds();
    bounds.retry_window = 600s;
    bounds.retry_ratio = 0;
    // The budget begins with a part of its allowance.
    bounds.retry_allowance = (kRetries + 0.5) / (1 - WindowRetryBudgetOptions{}.usable_fraction);
    gateway_.reset();
    gateway_ = MakeGateway("daemon-1", store_.endpoint, bounds);
    WaitUntilReady();
  }

  WorkerService& Upstream(std::size_t i) { return workers_[i]->service; }

  void AddUpstream(WorkerFault fault) {
    const auto i = static_cast<int>(workers_.size());
    workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(i)));
    workers_.back()->service.SetFault(fault, 1);
    RegisterWorker(i, "ready");
  }

  // Stops a stream at the first upstream, whose answer to that arrives after the first event of
  // the second attempt. Returns what the caller receives.
  Response SendAndStop() {
    Upstream(0).SetFault(WorkerFault::kWaitForMigration, 1);
    Upstream(0).SetStopAnswer(StopAnswer::kLate);
    CallerConnection caller(gateway_->callers_endpoint());
    std::string request = FormatRequest("POST", "/talks/stream/1", "a1", kApiKey, "prompt");
    request.replace(request.find("2500"), 4, "20000");
    caller.Send(request);
    caller.ReadUntil(
        [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
    AddUpstream(WorkerFault::kSilentBeforeResponse);
    while (Upstream(1).silent_requests() == 0) {
    }
    RegisterWorker(0, "draining");
    while (Upstream(0).silent_requests() == 0) {
    }
    Upstream(1).GoOn();
    while (Upstream(1).EventCounts("a1").empty()) {
    }
    // The gateway reads what has arrived before it answers.
    Metrics();
    Metrics();
    Upstream(0).GoOn();
    Response response;
    response.complete = caller.ReadAll();
    response.body = caller.body();
    return response;
  }

  // Returns how many retries the budget allows.
  int CountRetries() {
    for (int i = 0; i < kRejectingUpstreams; ++i) {
      AddUpstream(WorkerFault::kNone);
    }
    int requests = 0;
    while (std::any_of(workers_.begin() + 2, workers_.end(),
                       [](const auto& worker) { return worker->service.arrivals() == 0; })) {
      SendRequest("GET", "/reads/1", fmt::format("k{}", ++requests));
    }
    SetFaults(WorkerFault::kRejectNotExecuted, kAlways);
    const int arrivals = Arrivals();
    SendRequest("GET", "/reads/1", "r1");
    SendRequest("GET", "/reads/1", "r2");
    return Arrivals() - arrivals - 2;
  }

 private:
  int Arrivals() const {
    int sum = 0;
    for (const auto& worker : workers_) {
      sum += worker->service.arrivals();
    }
    return sum;
  }
};

// Guards against retries of a move that are returned twice, or not at all, because the second
// attempt goes on with the stream. The second attempt itself has used one.
TEST_F(AbandonedMoveTest, ItsRetriesAreReturnedOnce) {
  const Response response = SendAndStop();
  EXPECT_TRUE(response.complete);
  EXPECT_EQ(response.body, CompleteStream());
  EXPECT_EQ(Upstream(1).migrated_runs(), 0);
  EXPECT_EQ(Upstream(0).RunCount("a1") + Upstream(1).RunCount("a1"), 2);
  EXPECT_EQ(CountRetries(), kRetries - 1);
}

}  // namespace
}  // namespace savoryglade::gateway
