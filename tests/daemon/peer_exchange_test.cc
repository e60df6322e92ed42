#include <string>

#include "config/account_keys.h"
#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"
#include "tests/daemon/fleet_fixture.h"

namespace savoryglade {
namespace {

// Guards against a confirmation that runs again when its caller sends it to a daemon of another
// failure domain.
TEST(PeerExchangeTest, AResendInAnotherFailureDomainGetsTheAnswerOfTheOneRun) {
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

}  // namespace
}  // namespace savoryglade
