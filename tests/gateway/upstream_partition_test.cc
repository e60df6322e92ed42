#include <fmt/format.h>
#include <gtest/gtest.h>

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
  UpstreamPartitionTest() {
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

}  // namespace
}  // namespace savoryglade::gateway
