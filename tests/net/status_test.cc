#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

constexpr Duration kTimeout = 20s;

// Returns the status that a client reads from a server with this handler, or zero if it reads none.
unsigned StatusOf(const HttpHandler& handler) {
  WorkerPool pool{1};
  HttpServer server(pool, HttpLimits{}, handler);
  const Result<Endpoint> endpoint = server.Listen({.address = "127.0.0.1", .port = 0});
  unsigned status = 0;
  asio::io_context context;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        const auto response = co_await FetchOnce(
            *endpoint, HttpRequest(boost::beast::http::verb::get, "/", 11), kTimeout);
        status = response ? response->result_int() : 0;
      },
      asio::detached);
  context.run();
  pool.Stop();
  return status;
}

// Guards against a status that is sent as "000", because the HTTP library does not list it.
TEST(StatusTest, AnyStatusIsSentUnchanged) {
  for (const unsigned status : {200U, 299U, 404U, 418U, 425U, 500U, 520U, 529U, 600U, 999U}) {
    EXPECT_EQ(StatusOf([status](HttpExchange& exchange) -> asio::awaitable<void> {
                co_await exchange.Respond(status, {}, "body");
              }),
              status);
    EXPECT_EQ(StatusOf([status](HttpExchange& exchange) -> asio::awaitable<void> {
                co_await exchange.StartStream(status, {}, "body");
                co_await exchange.EndStream();
              }),
              status);
  }
}

// Guards against numbers below 100 that are taken for interim responses, or passed on.
TEST(StatusTest, NumberBelowTheFirstStatusIsNoResponse) {
  for (const char* number : {"000", "001", "099"}) {
    const std::string text =
        std::string("HTTP/1.1 ") + number + " Status\r\nContent-Length: 0\r\n\r\n";
    EXPECT_EQ(StatusOf([&text](HttpExchange& exchange) -> asio::awaitable<void> {
                co_await asio::async_write(exchange.stream(), asio::buffer(text),
                                           asio::use_awaitable);
                exchange.CloseAfterResponse();
              }),
              0U)
        << number;
  }
}

}  // namespace
}  // namespace savoryglade
