#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

class UnsentRetryTest : public GatewayFixture {
 protected:
  // The first window, in which a fifth of the allowance is usable, outlasts the test.
  UnsentRetryTest() : GatewayFixture(1) {
    gateway_.reset();
    gateway_ = MakeGateway(
        "daemon-1", store_.endpoint,
        {.upstream_drain = 50ms, .retry_ratio = 0, .retry_window = 1000s, .retry_allowance = 5});
    PutRoutes(1, R"(,{"name":"talks","host":"h","prefix":"/talks/","route_kind":"streaming",)"
                 R"("timeout_ms":20000,"itl_target_ms":6000,"service":"s","resumable":true,)"
                 R"("max_attempts":2})");
    WaitUntilReady();
  }

  static Endpoint ClosedEndpoint() {
    return ServiceServer<WorkerService>(std::string("closed")).endpoint;
  }

  // Waits until an attempt has found no connection to its upstream.
  void AwaitUnreachableUpstream() const {
    const auto has_lost_attempt = [this](const char* reason) {
      return Metrics().find(std::string("savoryglade_gateway_lost_attempts_total{reason=\"") +
                            reason + "\"}") != std::string::npos;
    };
    while (!has_lost_attempt("unreachable") && !has_lost_attempt("no_path")) {
    }
  }
};

// Guards against requests that are refused although the budget has a retry left, because attempts
// that reached no upstream were counted as retries.
TEST_F(UnsentRetryTest, AttemptsWithoutConnectionLeaveTheBudget) {
  workers_[0]->service.SetFault(WorkerFault::kSilentInStream, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  std::string request = FormatRequest("POST", "/talks/stream/1", "a1", kApiKey, "prompt");
  request.replace(request.find("2500"), 4, "20000");
  caller.Send(request);
  caller.ReadUntil(
      [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
  while (workers_[0]->service.silent_requests() == 0) {
  }
  workers_[0]->service.BreakOff();
  RegisterUpstream("closed", ClosedEndpoint(), "ready");
  AwaitUnreachableUpstream();
  workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(1)));
  RegisterWorker(1, "ready");
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), CompleteStream());
}

}  // namespace
}  // namespace savoryglade::gateway
