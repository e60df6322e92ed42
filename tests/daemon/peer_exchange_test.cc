#include <array>
#include <string>

#include "config/account_keys.h"
#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"
#include "tests/daemon/fleet_fixture.h"

namespace savoryglade {
namespace {

// Guards against a request that runs again when its caller resends it to a daemon of another
// failure domain.
TEST(PeerExchangeTest, ResendInAnotherFailureDomainReturnsResponseOfSingleRun) {
  PlainServiceServer host;
  FleetFixture fleet;
  fleet.Start(4, 2);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    ASSERT_EQ(fleet.WaitForStatus(i, 0, 2).first, 200U);
  }
  Configuration configuration;
  configuration.services.push_back(
      {.name = ServiceId("orders"),
       .kind = ServiceKind::kPlain,
       .path_prefix = "/orders",
       .may_not_repeat = {{.method = "POST", .path = "/orders/confirmations"}}});
  configuration.accounts.push_back(
      {.name = AccountId("office"), .key_sha256 = Sha256Hex("office-key")});
  configuration.upstreams.push_back({.name = UpstreamId("orders-1"),
                                     .service = ServiceId("orders"),
                                     .port = host.endpoint.port,
                                     .failure_domain = FailureDomainId("domain-1")});
  ASSERT_EQ(fleet
                .SendAdministrationRequest(0, boost::beast::http::verb::put, "/v1/configuration",
                                           PrintConfiguration(configuration), "0")
                .first,
            200U);
  std::string first;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    ASSERT_EQ(fleet.WaitForStatus(i, 1, 2).first, 200U);
    CallerConnection caller(fleet.daemon(i).callers_endpoint());
    caller.Send(
        "POST /orders/confirmations HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer office-key\r\n"
        "Idempotency-Key: delivery-1\r\nContent-Length: 2\r\n\r\n{}");
    ASSERT_TRUE(caller.ReadAll());
    EXPECT_EQ(caller.status(), 200U) << caller.body();
    EXPECT_EQ(caller.Header("Savoryglade-Replayed"), i == 0 ? "" : "true");
    first = i == 0 ? caller.body() : first;
    EXPECT_EQ(caller.body(), first);
  }
  EXPECT_EQ(host.service.runs(), 1U);
}

// Guards against a request that ends three upstreams at each daemon.
TEST(PeerExchangeTest, RequestThatLostUpstreamsAtOneDaemonIsRefusedByAll) {
  std::array<PlainServiceServer, 4> hosts;
  FleetFixture fleet;
  fleet.Start(4, 2);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    ASSERT_EQ(fleet.WaitForStatus(i, 0, 2).first, 200U);
  }
  Configuration configuration;
  configuration.services.push_back(
      {.name = ServiceId("orders"), .kind = ServiceKind::kPlain, .path_prefix = "/orders"});
  configuration.accounts.push_back(
      {.name = AccountId("office"), .key_sha256 = Sha256Hex("office-key")});
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].service.SetFault(PlainFault::kCloseAfter, 1000);
    configuration.upstreams.push_back({.name = UpstreamId("orders-" + std::to_string(i)),
                                       .service = ServiceId("orders"),
                                       .port = hosts[i].endpoint.port,
                                       .failure_domain = FailureDomainId("domain-1")});
  }
  ASSERT_EQ(fleet
                .SendAdministrationRequest(0, boost::beast::http::verb::put, "/v1/configuration",
                                           PrintConfiguration(configuration), "0")
                .first,
            200U);
  const auto send = [&fleet](std::size_t daemon, const std::string& path) {
    CallerConnection caller(fleet.daemon(daemon).callers_endpoint());
    caller.Send("GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer office-key\r\n\r\n");
    EXPECT_TRUE(caller.ReadAll());
    return caller.Header("Savoryglade-Reason");
  };
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    ASSERT_EQ(fleet.WaitForStatus(i, 1, 2).first, 200U);
  }
  for (int i = 0; i < 4; ++i) {
    send(0, "/orders/7");
  }
  const auto runs = [&hosts] {
    std::uint64_t sum = 0;
    for (const PlainServiceServer& host : hosts) {
      sum += host.service.runs();
    }
    return sum;
  };
  ASSERT_EQ(runs(), 3U);
  // Once they have heard of the crashes, none of the others sends it.
  for (std::size_t i = 1; i < fleet.size(); ++i) {
    WaitFor([&fleet, i] {
      CallerConnection operator_connection(fleet.daemon(i).administration_endpoint());
      operator_connection.Send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
      operator_connection.ReadAll();
      return operator_connection.body().find("savoryglade_crash_refusals_total 1") !=
             std::string::npos;
    });
    EXPECT_EQ(send(i, "/orders/7"), "request_crashes_upstreams");
  }
  EXPECT_EQ(runs(), 3U);
}

}  // namespace
}  // namespace savoryglade
