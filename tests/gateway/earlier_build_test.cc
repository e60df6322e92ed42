#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "emulator/emulated_link.h"
#include "tests/gateway/routes_peer.h"

namespace savoryglade::gateway {
namespace {

// Daemons beside one that speaks as build b2213c6 does.
class EarlierBuildTest : public RoutesPeerFixture {
 protected:
  EarlierBuildTest() {
    PutRoutes(1);
    WaitUntilReady();
  }
};

// Guards against routes that daemons of an earlier build can't read, so that each of them depends
// on the store alone while machines are replaced.
TEST_F(EarlierBuildTest, DaemonThatAcceptsNoCompressedRoutesGetsThemPlain) {
  const Endpoint peers = gateway_->peers_endpoint();
  const std::string request = "GET /routes HTTP/1.1\r\nHost: h\r\n";
  const Response compressed = SendText(peers, request + "Accept-Encoding: deflate\r\n\r\n");
  const Response plain = SendText(peers, request + "\r\n");
  EXPECT_EQ(plain.status, 200U);
  EXPECT_EQ(plain.body, RouteDocumentText(1, {}));
  EXPECT_EQ(compressed.status, 200U);
  EXPECT_NE(compressed.body, plain.body);
}

// Guards against routes of an earlier build that a daemon can't read.
TEST_F(EarlierBuildTest, PlainRoutesOfAnEarlierDaemonAreUsed) {
  ServiceServer<RoutesPeer> earlier(RouteDocumentText(
      2, R"(,{"name":"new","host":"h","prefix":"/new/","route_kind":"idempotent","service":"s"})"));
  const Endpoint reports = ReportsEndpoint("daemon-1");
  while (SendRequest("GET", "/new/1", "a1").status != 200) {
    ReportRoutes(reports, 2, earlier.endpoint);
  }
}

// Guards against an upstream that counts as down because an earlier daemon relays nothing.
TEST_F(EarlierBuildTest, EarlierDaemonThatRelaysNothingIsNoSignOfAnUpstreamThatIsDown) {
  constexpr const char* kPartitionedAddress = "127.0.0.2";
  std::vector<std::unique_ptr<EmulatedLink>> links;
  for (int i = 0; i < 2; ++i) {
    const auto index = static_cast<std::size_t>(i);
    links.push_back(std::make_unique<EmulatedLink>(workers_[index]->endpoint));
    RegisterUpstream(WorkerName(i), links[index]->endpoint(), "ready");
  }
  // The first daemon can relay, and the earlier one is asked as well.
  gateway_ = MakeGateway("daemon-2", store_.endpoint, TestBounds(), "127.0.0.3");
  WaitUntilReady();
  const auto partitioned =
      MakeGateway("daemon-1", store_.endpoint, TestBounds(), kPartitionedAddress);
  WaitUntilReady(*partitioned);
  ServiceServer<RoutesPeer> earlier(RouteDocumentText(1, {}));
  const Endpoint reports = ReportsEndpoint("daemon-1");
  for (const auto& link : links) {
    link->SetPartitioned({kPartitionedAddress}, true);
  }
  constexpr int kServed = 20;
  for (int i = 0, served = 0; served < kServed; ++i) {
    ReportRoutes(reports, 1, earlier.endpoint);
    const std::string request = FormatRequest("GET", "/reads/1", fmt::format("a{}", i));
    served = SendText(partitioned->callers_endpoint(), request).status == 200 ? served + 1 : 0;
    ASSERT_LT(i, 10 * kServed);
  }
}

}  // namespace
}  // namespace savoryglade::gateway
