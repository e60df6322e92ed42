#pragma once

#include <fmt/format.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "gateway/digest_codec.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {

// Peer that holds the routes and serves them plain to daemons that ask. Like a daemon of an earlier
// build, it answers 404 to all else, also to a request for a tunnel.
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

// Gateways to which such a peer reports.
class RoutesPeerFixture : public GatewayFixture {
 protected:
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

}  // namespace savoryglade::gateway
