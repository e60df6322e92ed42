#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/http_server.h"
#include "net/memory_budget.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Server with room for one body of 256 KB besides the reserve.
class MemoryLimitTest : public testing::Test {
 protected:
  static constexpr std::size_t kTotal = 1024 * 1024;
  static constexpr std::size_t kLarge = 256 * 1024;

  MemoryLimitTest()
      : server_(pool_, HttpLimits{}, [this](HttpExchange& exchange) { return Handle(exchange); },
                {.budget = budget_,
                 .head_check = [](HttpExchange& exchange) { return Check(exchange); }}),
        endpoint_(*server_.Listen({.address = "127.0.0.1", .port = 0})) {}
  ~MemoryLimitTest() override { pool_.Stop(); }

  asio::awaitable<void> Handle(HttpExchange& exchange) {
    body_bytes_ += exchange.request().body().size();
    asio::steady_timer timer(exchange.stream().get_executor());
    while (exchange.target() == "/hold" && !released_) {
      timer.expires_after(1ms);
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_await exchange.Respond(200, {}, "handled");
  }

  static asio::awaitable<bool> Check(HttpExchange& exchange) {
    if (exchange.target() != "/refused") {
      co_return false;
    }
    co_await exchange.Respond(404, {}, "refused");
    co_return true;
  }

  tcp::socket Send(const std::string& text) {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address(endpoint_.address), endpoint_.port});
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
    return socket;
  }

  // Returns the first bytes of the response, or an empty string if the connection was closed.
  static std::string Read(tcp::socket& socket) {
    std::array<char, 1024> block{};
    boost::system::error_code error;
    const std::size_t size = socket.read_some(asio::buffer(block), error);
    return {block.data(), size};
  }

  static std::string Post(const std::string& target, std::size_t declared, std::size_t sent) {
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", target,
                       declared) +
           std::string(sent, 'x');
  }

  void WaitUntilLeased(std::size_t least) {
    while (budget_->leased() < least) {
      std::this_thread::sleep_for(1ms);
    }
  }

  MetricRegistry metrics_;
  std::shared_ptr<MemoryBudget> budget_ = std::make_shared<MemoryBudget>(
      MemoryLimits{.total = kTotal, .reserve = kTotal / 2}, metrics_);
  std::atomic<std::size_t> body_bytes_{0};
  // Whether requests to /hold are answered.
  std::atomic<bool> released_{false};
  asio::io_context context_;
  WorkerPool pool_{1};
  HttpServer server_;
  Endpoint endpoint_;
};

// Guards against a body that is read although its head shows that it will be refused.
TEST_F(MemoryLimitTest, RequestIsRefusedOnTheBasisOfItsHead) {
  tcp::socket socket = Send(Post("/refused", kLarge, 0));
  EXPECT_TRUE(Read(socket).starts_with("HTTP/1.1 404 "));
  EXPECT_EQ(budget_->leased(MemoryPurpose::kBody), 0U);
}

// Guards against a check that closes the connections of ordinary callers.
TEST_F(MemoryLimitTest, SmallBodyIsReadBeforeTheDecision) {
  tcp::socket socket = Send(Post("/refused", 100, 100));
  EXPECT_TRUE(Read(socket).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(body_bytes_, 100U);
}

// Guards against requests made of very many short fields, each of which costs memory of its own.
TEST_F(MemoryLimitTest, TooManyFieldsAreRefusedAlsoBeforeTheirEnd) {
  std::string fields;
  for (int i = 0; i < 201; ++i) {
    fields += "a:\r\n";
  }
  tcp::socket head = Send("GET / HTTP/1.1\r\n" + fields);
  const std::string response = Read(head);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 431 ")) << response;
  EXPECT_NE(response.find("Savoryglade-Verdict: not_run"), std::string::npos) << response;
  tcp::socket trailer =
      Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "\r\n");
  EXPECT_TRUE(Read(trailer).starts_with("HTTP/1.1 431 "));
  EXPECT_EQ(body_bytes_, 0U);
}

// Guards against a request inside the limits that is refused while nothing else is going on.
TEST_F(MemoryLimitTest, ManyOrdinaryFieldsAreAccepted) {
  std::string fields;
  for (int i = 0; i < 199; ++i) {
    fields += fmt::format("a{}: 1\r\n", i);
  }
  tcp::socket socket = Send("GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
  EXPECT_TRUE(Read(socket).starts_with("HTTP/1.1 200 "));
}

// Guards against large bodies that wait for ever while others hold the budget, a refusal that does
// not keep its promise, and small requests that suffer with them.
TEST_F(MemoryLimitTest, LargeBodyIsRefusedAndASmallOneServedWhileTheBudgetIsHeld) {
  // Two of these fit, and leave less than a new large body needs to begin.
  constexpr std::size_t kHeld = 200 * 1024;
  tcp::socket first = Send(Post("/hold", kHeld, kHeld));
  tcp::socket second = Send(Post("/hold", kHeld, kHeld));
  while (body_bytes_ < 2 * kHeld) {
    std::this_thread::sleep_for(1ms);
  }
  tcp::socket large = Send(Post("/", kLarge, 0));
  tcp::socket small = Send(Post("/", 1000, 1000));
  EXPECT_TRUE(Read(small).starts_with("HTTP/1.1 200 "));
  const std::string response = Read(large);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  EXPECT_NE(response.find("Savoryglade-Verdict: not_run"), std::string::npos) << response;
  EXPECT_NE(response.find("Retry-After: 1"), std::string::npos) << response;
  // Requests that are being handled are not closed for memory.
  released_ = true;
  EXPECT_TRUE(Read(first).starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(Read(second).starts_with("HTTP/1.1 200 "));
}

// Guards against clients that stop just short of the end of their bodies and keep the budget.
TEST_F(MemoryLimitTest, StalledBodyMakesRoomForANewOne) {
  tcp::socket stalled = Send(Post("/", 2 * kLarge, 2 * kLarge - 64 * 1024));
  WaitUntilLeased(kTotal / 2 * 3 / 4 + 1);
  tcp::socket next = Send(Post("/", kLarge, kLarge));
  EXPECT_TRUE(Read(next).starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(Read(stalled), "");
}

// Guards against a port for readiness or peers that does not answer while callers hold the budget.
TEST_F(MemoryLimitTest, PortWithSmallBodiesAnswersWhileTheBudgetIsUsedUp) {
  HttpServer readiness(pool_, HttpLimits{.body_size = 4 * 1024},
                       [](HttpExchange& exchange) -> asio::awaitable<void> {
                         co_await exchange.Respond(200, {}, "ready");
                       },
                       {.budget = budget_});
  endpoint_ = *readiness.Listen({.address = "127.0.0.1", .port = 0});
  MemoryLease held(budget_, this, std::chrono::steady_clock::now(), [] {});
  held.SetEvictable(false, std::chrono::steady_clock::now());
  held.Set(MemoryPurpose::kBody, 2 * kTotal);
  tcp::socket socket = Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(Read(socket).starts_with("HTTP/1.1 200 "));
  socket.close();
  pool_.Stop();
}

// Guards against leases that outlive their connections.
TEST_F(MemoryLimitTest, AllLeasesAreReturnedAfterTheCrowdHasGone) {
  {
    std::vector<tcp::socket> crowd;
    for (int i = 0; i < 20; ++i) {
      crowd.push_back(Send(Post("/", kLarge, 20'000)));
      crowd.push_back(Send("GET / HTTP/1.1\r\nHost:"));
      crowd.push_back(Send(Post("/refused", kLarge, 100)));
      crowd.push_back(Send(Post("/", 10, 10)));
    }
    EXPECT_TRUE(Read(crowd.back()).starts_with("HTTP/1.1 200 "));
    EXPECT_GT(budget_->leased(), 0U);
  }
  while (server_.open_connections() > 0 || budget_->leased() > 0) {
    std::this_thread::sleep_for(1ms);
  }
}

}  // namespace
}  // namespace savoryglade
