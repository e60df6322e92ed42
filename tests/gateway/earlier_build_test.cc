#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <memory>
#include <string>

#include "emulator/emulated_link.h"
#include "gateway/digest_codec.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Daemon of build b2213c6, as far as other daemons see it: it serves plain routes, answers 404 to
// all else, and accepts no compressed routes.
class EarlierDaemon {
 public:
  explicit EarlierDaemon(std::string document) : document_(std::move(document)) {}

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.target() != "/routes") {
      co_await exchange.Respond(404, {}, {});
      co_return;
    }
    co_await exchange.Respond(200, ContentType("application/octet-stream"), document_);
  }

 private:
  std::string document_;
};

class EarlierBuildTest : public GatewayFixture {
 protected:
  EarlierBuildTest() {
    PutRoutes(1);
    WaitUntilReady();
  }

  // Returns a field of the row that the daemon has written about itself.
  Endpoint EndpointInRow(const char* field) {
    while (true) {
      const auto rows = store_.service.Rows("savoryglade");
      if (const auto row = rows.find("daemon/daemon-1"); row != rows.end()) {
        return *ParseEndpoint(boost::json::parse(row->second).at(field).as_string());
      }
    }
  }

  // Sends the report of an earlier daemon that serves its peers at the endpoint.
  static void SendReport(const Endpoint& receiver, const Endpoint& server, std::uint64_t version) {
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::udp::socket socket(context,
                                 asio::ip::udp::endpoint(asio::ip::make_address(kLocal), 0));
    const FleetReport report{
        .sender = {.id = DaemonId("earlier"), .failure_domain = FailureDomainId("verona")},
        .incarnation = 1,
        .requests_port = server.port,
        .routes_version = version,
        .crash_records_known = true};
    socket.send_to(asio::buffer(EncodeDigest(report)),
                   {asio::ip::make_address(receiver.address), receiver.port});
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
  ServiceServer<EarlierDaemon> earlier(RouteDocumentText(
      2, R"(,{"name":"new","host":"h","prefix":"/new/","route_kind":"idempotent","service":"s"})"));
  const Endpoint reports = EndpointInRow("endpoint");
  while (SendRequest("GET", "/new/1", "a1").status != 200) {
    SendReport(reports, earlier.endpoint, 2);
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
  ServiceServer<EarlierDaemon> earlier(RouteDocumentText(1, {}));
  const Endpoint reports = EndpointInRow("endpoint");
  for (const auto& link : links) {
    link->SetPartitioned({kPartitionedAddress}, true);
  }
  constexpr int kServed = 20;
  for (int i = 0, served = 0; served < kServed; ++i) {
    SendReport(reports, earlier.endpoint, 1);
    const std::string request = FormatRequest("GET", "/reads/1", fmt::format("a{}", i));
    served = SendText(partitioned->callers_endpoint(), request).status == 200 ? served + 1 : 0;
    ASSERT_LT(i, 10 * kServed);
  }
}

}  // namespace
}  // namespace savoryglade::gateway
