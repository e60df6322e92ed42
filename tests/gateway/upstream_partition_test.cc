#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "emulator/emulated_link.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr const char* kPartitionedAddress = "127.0.0.2";
constexpr const char* kPeerAddress = "127.0.0.3";
// Requests that may fail while a daemon learns that it is partitioned, and requests that it must
// serve afterwards.
constexpr int kMaxFailures = 20;
constexpr int kServedRequests = 20;

// Two daemons of a group. The path from one of them to all upstreams is cut; callers, the store and
// the other daemon still reach it.
class UpstreamPartitionTest : public GatewayFixture {
 protected:
  explicit UpstreamPartitionTest(int upstreams = 2) : GatewayFixture(upstreams) {
    gateway_.reset();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      links_.push_back(std::make_unique<EmulatedLink>(workers_[i]->endpoint));
      RegisterUpstream(WorkerName(static_cast<int>(i)), links_[i]->endpoint(), "ready");
    }
    PutRoutes(1);
    peer_ = MakeGateway("daemon-2", store_.endpoint, TestBounds(), kPeerAddress);
    gateway_ = MakeGateway("daemon-1", store_.endpoint, TestBounds(), kPartitionedAddress);
    WaitUntilReady();
    WaitUntilReady(*peer_);
  }

  // Cuts the path. Open connections are reset, or hang.
  void Cut(bool reset) {
    for (const auto& link : links_) {
      link->SetPartitioned({kPartitionedAddress}, reset);
    }
  }
  void Heal() {
    for (const auto& link : links_) {
      link->SetPartitioned({}, false);
    }
  }

  // Sends requests until the daemon has served some in a row.
  void ServeRequests(const std::string& method, const std::string& path) {
    int failures = 0;
    for (int i = 0, served = 0; served < kServedRequests; ++i) {
      const std::string attempt = fmt::format("{}-{}-{}", method, path, i);
      const Response response = SendRequest(method, path, attempt);
      if (response.status == 200) {
        ++served;
        EXPECT_EQ(RunCount(attempt), 1) << attempt;
        continue;
      }
      served = 0;
      ASSERT_LT(++failures, kMaxFailures) << response.status << ' ' << response.reason;
    }
  }

  std::vector<std::unique_ptr<EmulatedLink>> links_;
  std::unique_ptr<Gateway> peer_;
};

// Guards against a daemon that rejects requests which its peers could serve, because it does not
// reach the upstreams itself.
TEST_F(UpstreamPartitionTest, DaemonIsServedThroughAPeerWhileItsConnectionsHang) {
  ServeRequests("GET", "/reads/before");
  Cut(false);
  ServeRequests("GET", "/reads/1");
  ServeRequests("POST", "/orders/1");
  ServeRequests("POST", "/stream/1");
}

TEST_F(UpstreamPartitionTest, DaemonIsServedThroughAPeerAfterItsConnectionsWereReset) {
  ServeRequests("GET", "/reads/before");
  Cut(true);
  ServeRequests("POST", "/orders/1");
  ServeRequests("POST", "/stream/1");
}

// Guards against a daemon that depends on its peers after the partition has ended.
TEST_F(UpstreamPartitionTest, DaemonConnectsItselfAgainAfterThePartition) {
  Cut(true);
  ServeRequests("GET", "/reads/1");
  peer_.reset();
  Heal();
  for (int i = 0; SendRequest("GET", "/reads/2", fmt::format("b{}", i)).status != 200; ++i) {
  }
  ServeRequests("GET", "/reads/3");
}

// Several upstreams run the same request at the same time.
class PartitionedRequestTest : public UpstreamPartitionTest {
 protected:
  // Losses after which a request is refused as one that crashes upstreams.
  static constexpr int kLossesBeforeRefusal = 3;

  PartitionedRequestTest() : UpstreamPartitionTest(kLossesBeforeRefusal + 1) {}

  // Sends the request until as many upstreams run it as may be lost, and send nothing.
  void SendUntilRunBySeveral(const std::string& method, const std::string& path) {
    SetFaults(WorkerFault::kNoResponse, 1'000);
    while (std::ranges::count_if(workers_, [this](const auto& worker) { return Runs(*worker); }) <
           kLossesBeforeRefusal) {
      callers_.push_back(std::make_unique<CallerConnection>(gateway_->callers_endpoint()));
      const std::string attempt = fmt::format("p{}", callers_.size());
      callers_.back()->Send(FormatRequest(method, path, attempt));
      while (RunCount(attempt) == 0) {
      }
    }
    SetFaults(WorkerFault::kNone, 0);
  }

  std::vector<std::unique_ptr<CallerConnection>> callers_;

 private:
  // Returns true if the upstream has run one of the requests of the callers.
  bool Runs(const ServiceServer<WorkerService>& worker) const {
    for (std::size_t i = 1; i <= callers_.size(); ++i) {
      if (worker.service.RunCount(fmt::format("p{}", i)) > 0) {
        return true;
      }
    }
    return false;
  }
};

// Guards against a sound request that is refused as one that crashes upstreams, because a partition
// of this daemon has reset its connections to all of those that ran it.
TEST_F(PartitionedRequestTest, RequestIsNotRefusedForTheResetOfItsConnections) {
  SendUntilRunBySeveral("GET", "/reads/1");
  Cut(true);
  for (const auto& caller : callers_) {
    EXPECT_TRUE(caller->ReadAll());
    EXPECT_EQ(caller->status(), 200U) << caller->Header("Savoryglade-Reason");
  }
  EXPECT_EQ(Metrics().find(R"(event="recorded")"), std::string::npos);
  EXPECT_EQ(SendRequest("GET", "/reads/1", "after").status, 200U);
}

// Guards against a sound request that is refused as one that crashes upstreams, because the peer
// that relayed it to several upstreams has ended.
TEST_F(PartitionedRequestTest, RequestIsNotRefusedForTheEndOfThePeerThatRelaysIt) {
  Cut(true);
  ServeRequests("GET", "/reads/before");
  SendUntilRunBySeveral("POST", "/orders/1");
  peer_.reset();
  for (const auto& caller : callers_) {
    EXPECT_TRUE(caller->ReadAll());
    EXPECT_EQ(caller->Header("Savoryglade-Reason"), "upstream_lost");
  }
  EXPECT_NE(Metrics().find(
                fmt::format("lost_attempts_total{{reason=\"relay_lost\"}} {}", callers_.size())),
            std::string::npos);
  EXPECT_EQ(Metrics().find(R"(event="recorded")"), std::string::npos);
}

}  // namespace
}  // namespace savoryglade::gateway
