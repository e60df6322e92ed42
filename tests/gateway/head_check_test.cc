#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr std::size_t kLargeBody = 1'000'000;

class HeadCheckTest : public GatewayFixture {
 protected:
  // Sends a head and waits for the response without sending the body.
  Response SendHead(const std::string& path, const std::string& key) {
    return SendText(gateway_->callers_endpoint(),
                    fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
                                "Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
                                path, key, kLargeBody));
  }
};

// Guards against large bodies that are read although their heads show that they will be refused.
TEST_F(HeadCheckTest, RequestsWithoutRouteOrKeyAreRefusedBeforeTheirBody) {
  PutRoutes(1);
  WaitUntilReady();
  const Response no_route = SendHead("/nowhere", kApiKey);
  EXPECT_EQ(no_route.status, 404U);
  EXPECT_EQ(no_route.reason, "unknown_service");
  const Response no_key = SendHead("/orders/x", "nobody");
  EXPECT_EQ(no_key.status, 401U);
  EXPECT_EQ(no_key.reason, "unknown_key");
  EXPECT_EQ(TotalRuns(), 0);
}

// Guards against a check that refuses, or charges twice, a large request that can be served.
TEST_F(HeadCheckTest, LargeRequestThatCanBeServedIsServed) {
  PutRoutes(1);
  WaitUntilReady();
  const std::string body(kLargeBody, 'x');
  const Response response = SendRequest("POST", "/orders/x", "large", kApiKey, body);
  EXPECT_EQ(response.status, 200U);
  // The worker returns what it was sent.
  EXPECT_EQ(response.body, "POST /orders/x " + body);
  EXPECT_EQ(RunCount("large"), 1);
}

}  // namespace
}  // namespace savoryglade::gateway
