#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <string>

#include "emulator/emulated_link.h"
#include "gateway/digest_codec.h"
#include "tests/gateway/gateway_fixture.h"

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

// Holds the routes and serves them to daemons that ask.
class RoutesPeer {
 public:
  explicit RoutesPeer(std::string document) : document_(std::move(document)) {}

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.target() != "/routes") {
      co_await exchange.Respond(404, {}, {});
      co_return;
    }
    ++transfers_;
    co_await exchange.Respond(200, ContentType("application/octet-stream"), document_);
  }

  // Returns the number of transfers that have begun.
  int transfers() const { return transfers_; }

 private:
  std::string document_;
  std::atomic<int> transfers_{0};
};

class SlowLinkTest : public GatewayFixture {
 protected:
  static unsigned StatusOfNewRoute(const Gateway& gateway) {
    return SendText(gateway.callers_endpoint(), FormatRequest("GET", "/more-1/1", "a1")).status;
  }

  // Returns the endpoint at which a daemon receives reports.
  Endpoint ReportsEndpoint(const std::string& daemon) {
    while (true) {
      const auto rows = store_.service.Rows("savoryglade");
      if (const auto row = rows.find("daemon/" + daemon); row != rows.end()) {
        return *ParseEndpoint(boost::json::parse(row->second).at("endpoint").as_string());
      }
    }
  }

  // Reports to a daemon that a peer holds this version and serves it at the endpoint.
  static void ReportRoutes(const Endpoint& receiver, std::uint64_t version,
                           const Endpoint& server) {
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::udp::socket socket(context,
                                 asio::ip::udp::endpoint(asio::ip::make_address(kLocal), 0));
    const FleetReport report{
        .sender = {.id = DaemonId("peer"), .failure_domain = FailureDomainId("verona")},
        .incarnation = 1,
        .requests_port = server.port,
        .routes_version = version,
        .crash_records_known = true};
    socket.send_to(asio::buffer(EncodeDigest(report)),
                   {asio::ip::make_address(receiver.address), receiver.port});
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
