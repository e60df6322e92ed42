#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "emulator/emulated_link.h"
#include "tests/gateway/routes_peer.h"

namespace savoryglade::gateway {
namespace {

constexpr int kRoutes = 3000;
// Transfers of the routes that may begin before one is complete.
constexpr int kMaxTransfers = 3;

// Returns further routes. Their document takes 2 s over a link of this rate, which is longer than
// a call that gets no answer may last.
std::string ManyRoutes() {
  std::string routes;
  for (int i = 0; i < kRoutes; ++i) {
    routes += fmt::format(R"(,{{"name":"route-{0}","host":"h","prefix":"/more-{0}/",)"
                          R"("route_kind":"idempotent","timeout_ms":3000,"goal_ms":1000,)"
                          R"("service":"s","max_attempts":2}})",
                          i);
  }
  return routes;
}

constexpr double kLinkBytesPerSecond = 250'000;

class SlowLinkTest : public RoutesPeerFixture {
 protected:
  static unsigned StatusOfNewRoute(const Gateway& gateway) {
    return SendText(gateway.callers_endpoint(), FormatRequest("GET", "/more-1/1", "a1")).status;
  }
};

// Guards against routes that are never read because their transfer from the store takes longer than
// a call that gets no answer, and each try begins anew.
TEST_F(SlowLinkTest, RoutesAreReadFromTheStoreOverASlowLink) {
  // No peer holds the routes.
  gateway_.reset();
  PutRoutes(1);
  EmulatedLink link(store_.endpoint, kLinkBytesPerSecond);
  const auto gateway = MakeGateway("daemon-2", link.endpoint());
  WaitUntilReady(*gateway);
  const int before = link.connections();
  PutRoutes(2, ManyRoutes());
  while (StatusOfNewRoute(*gateway) != 200) {
    // Each failed transfer ends its connection.
    ASSERT_LE(link.connections(), before + kMaxTransfers);
  }
}

// As above, for a transfer from a peer to a daemon that the store turns away.
TEST_F(SlowLinkTest, RoutesAreFetchedFromAPeerOverASlowLink) {
  PutRoutes(1);
  const auto gateway = MakeGateway("daemon-2", store_.endpoint);
  WaitUntilReady(*gateway);
  const Endpoint reports = ReportsEndpoint("daemon-2");
  ServiceServer<RoutesPeer> peer(RouteDocumentText(2, ManyRoutes()));
  EmulatedLink link(peer.endpoint, kLinkBytesPerSecond);
  while (StatusOfNewRoute(*gateway) != 200) {
    ASSERT_LE(peer.service.transfers(), kMaxTransfers);
    ReportRoutes(reports, 2, link.endpoint());
  }
}

// Guards against a daemon that asks again and again without a pause, because a peer reports a newer
// version than it sends.
TEST_F(SlowLinkTest, APeerThatSendsOldRoutesIsNotAskedAgainAtOnce) {
  PutRoutes(1);
  const auto gateway = MakeGateway("daemon-2", store_.endpoint);
  WaitUntilReady(*gateway);
  const Endpoint reports = ReportsEndpoint("daemon-2");
  ServiceServer<RoutesPeer> peer(RouteDocumentText(1, {}));
  ReportRoutes(reports, 2, peer.endpoint);
  while (peer.service.transfers() == 0) {
  }
  // The daemon answers these while it passes the peer over.
  constexpr int kRequests = 300;
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(StatusOfNewRoute(*gateway), 404U);
  }
  EXPECT_LE(peer.service.transfers(), kMaxTransfers);
}

}  // namespace
}  // namespace savoryglade::gateway
