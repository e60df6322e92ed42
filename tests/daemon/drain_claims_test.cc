#include <fmt/format.h>
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "config/account_keys.h"
#include "tests/daemon/daemon_fixture.h"
#include "tests/daemon/fleet_fixture.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using boost::beast::http::verb;

// Two daemons that share one platform, and a plain service. When the service runs a request, the
// platform becomes unavailable before the service responds, so that the end of the claim can't be
// written yet.
class DrainClaimsTest : public testing::Test {
 protected:
  DrainClaimsTest()
      : service_(pool_, HttpLimits{}, [this](HttpExchange& exchange) { return Serve(exchange); }),
        endpoint_(*service_.Listen({.address = "127.0.0.1", .port = 0})) {}
  ~DrainClaimsTest() override { pool_.Stop(); }

  void StartFleet(const StopLimits& limits = {.claims = 1h}) {
    fleet_.SetStopLimits(limits);
    fleet_.Start(2, 1);
    const std::string document = fmt::format(
        R"({{"services":[{{"name":"orders","kind":"plain","path_prefix":"/orders",
              "may_not_repeat":[{{"method":"POST","path":"/orders/confirmations"}}]}}],
            "client_accounts":[{{"name":"drivers","key_sha256":"{}"}}],
            "upstreams":[{{"name":"orders-1","service":"orders","port":{},
              "failure_domain":"domain-1","concurrency":8}}]}})",
        Sha256Hex("key"), endpoint_.port);
    ASSERT_EQ(fleet_.WaitForStatus(0, 0, 2).first, 200U);
    ASSERT_EQ(
        fleet_.SendAdministrationRequest(0, verb::put, "/v1/configuration", document, "0").first,
        200U);
    ASSERT_EQ(fleet_.WaitForStatus(0, 1, 2).first, 200U);
    ASSERT_EQ(fleet_.WaitForStatus(1, 1, 2).first, 200U);
  }

  // Sends the confirmation to a daemon and returns the connection after the whole response.
  std::unique_ptr<CallerConnection> Confirm(std::size_t daemon) {
    auto caller = std::make_unique<CallerConnection>(fleet_.daemon(daemon).callers_endpoint());
    caller->Send(MakePlainRequest("POST", "/orders/confirmations",
                                  "Idempotency-Key: delivery-1\r\nConnection: close\r\n", "{}"));
    EXPECT_TRUE(caller->ReadAll());
    return caller;
  }

  FleetFixture fleet_;

 private:
  asio::awaitable<void> Serve(HttpExchange& exchange) {
    if (exchange.request().method() == verb::post) {
      fleet_.platform().SetFaults({.outage = true});
    }
    co_await exchange.Respond(200, ContentType("text/plain"), "confirmed\n");
  }

  WorkerPool pool_{1};
  HttpServer service_;
  Endpoint endpoint_;
};

// Guards against a daemon that stops before the end of a claim is in the table: another daemon then
// can't tell whether a request that was answered has run.
TEST_F(DrainClaimsTest, ResendAfterThePlannedStopOfTheOwnerReturnsTheStoredResponse) {
  StartFleet();
  const auto answered = Confirm(0);
  ASSERT_EQ(answered->status(), 200U);
  // The daemon closes this connection after it has counted the request as ended.
  answered->WaitForClose();
  fleet_.daemon(0).BeginDrain();
  EXPECT_FALSE(fleet_.daemon(0).drained());
  fleet_.platform().SetFaults({});
  WaitFor([this] { return fleet_.daemon(0).drained(); });
  fleet_.daemon(0).Stop();
  const auto resent = Confirm(1);
  EXPECT_EQ(resent->status(), 200U) << resent->Header("Savoryglade-Reason");
  EXPECT_EQ(resent->Header("Savoryglade-Replayed"), "true");
  EXPECT_EQ(resent->body(), "confirmed\n");
}

// Guards against a daemon that never stops while the platform is unavailable.
TEST_F(DrainClaimsTest, DaemonStopsWhenTheTimeToWriteClaimsHasPassed) {
  StartFleet({.claims = 0s});
  ASSERT_EQ(Confirm(0)->status(), 200U);
  fleet_.daemon(0).BeginDrain();
  WaitFor([this] { return fleet_.daemon(0).drained(); });
  fleet_.daemon(0).Stop();
  fleet_.platform().SetFaults({});
  const auto resent = Confirm(1);
  EXPECT_EQ(resent->status(), 409U);
  EXPECT_EQ(resent->Header("Savoryglade-Verdict"), "may_have_run");
}

}  // namespace
}  // namespace savoryglade
