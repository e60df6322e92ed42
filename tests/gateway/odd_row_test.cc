#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <utility>

#include "net/base64.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Reads of the registrations after which the daemon must be ready.
constexpr int kMaxReads = 3;

// Store whose table of registrations has one row that another writer left, before the others.
class OddRowStore {
 public:
  OddRowStore(StoreService& store, std::string odd_row, std::string registration)
      : store_(store), odd_row_(std::move(odd_row)), registration_(std::move(registration)) {}

  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.target().find("table=servers") == std::string_view::npos) {
      co_await store_.Handle(exchange);
      co_return;
    }
    ++reads_;
    std::string page = fmt::format(
        R"({{"ver":9,"now_ms":0,"has_more":false,"rows":[{},{{"key":"worker-0","ver":8,"value":"{}"}}]}})",
        odd_row_, EncodeBase64(registration_));
    co_await exchange.Respond(200, ContentType("application/json"), std::move(page));
  }

  // Returns the number of reads of the registrations.
  int reads() const { return reads_; }

 private:
  StoreService& store_;
  std::string odd_row_;
  std::string registration_;
  std::atomic<int> reads_{0};
};

class OddRowTest : public GatewayFixture {};

// Guards against a row of another writer that makes all registrations unreadable.
TEST_F(OddRowTest, OtherRegistrationsAreUsed) {
  PutRoutes(1);
  for (const char* const odd_row :
       {"7", "{}", R"({"key":"odd"})", R"({"key":5,"ver":3})", R"({"key":"odd","ver":"x"})",
        R"({"key":"odd","ver":1e30,"value":"!"})",
        R"({"key":"odd","ver":3,"value":{"a":[[[]]]}})"}) {
    ServiceServer<OddRowStore> store(store_.service, odd_row,
                                     Registration(workers_[0]->endpoint, "ready"));
    const auto gateway = MakeGateway("daemon-2", store.endpoint);
    while (
        SendText(gateway->readiness_endpoint(), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status !=
        200) {
      ASSERT_LE(store.service.reads(), kMaxReads) << odd_row;
    }
    EXPECT_EQ(SendText(gateway->callers_endpoint(), FormatRequest("GET", "/reads/1", "a1")).status,
              200U)
        << odd_row;
  }
}

}  // namespace
}  // namespace savoryglade::gateway
