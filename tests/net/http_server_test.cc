#include "net/http_server.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <string>

#include "net/worker_pool.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

class IdleConnectionTest : public testing::Test {
 protected:
  IdleConnectionTest()
      : server_(pool_, HttpLimits{.idle_timeout = 50ms},
                [](HttpExchange& exchange) { return Respond(exchange); }) {
    const Result<Endpoint> endpoint = server_.Listen({.address = "127.0.0.1", .port = 0});
    socket_.connect({asio::ip::make_address("127.0.0.1"), endpoint->port});
  }
  ~IdleConnectionTest() override { pool_.Stop(); }

  // Returns all that the server sends until it closes the connection.
  std::string ReadToEnd() {
    std::string received;
    std::array<char, 1024> block{};
    boost::system::error_code error;
    while (!error) {
      received.append(block.data(), socket_.read_some(asio::buffer(block), error));
    }
    return received;
  }

  asio::io_context context_;
  tcp::socket socket_{context_};

 private:
  static asio::awaitable<void> Respond(HttpExchange& exchange) {
    co_await exchange.Respond(200, {}, "body");
  }

  WorkerPool pool_{1};
  HttpServer server_;
};

// Guards against idle connections that stay open until their peers close them. A failure shows as a
// test that does not end.
TEST_F(IdleConnectionTest, ConnectionWithoutARequestIsClosed) { EXPECT_EQ(ReadToEnd(), ""); }

TEST_F(IdleConnectionTest, ConnectionIsClosedAfterItsLastRequest) {
  asio::write(socket_, asio::buffer(std::string(kRequest) + kRequest));
  const std::string received = ReadToEnd();
  EXPECT_NE(received.find("200 OK"), received.rfind("200 OK")) << received;
}

}  // namespace
}  // namespace savoryglade
