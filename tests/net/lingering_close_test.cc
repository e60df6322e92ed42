#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <string>
#include <thread>

#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Fits into the send buffer of the server, but not into the receive buffer of the caller.
constexpr std::size_t kBodyBytes = 512 * 1024;
constexpr const char* kSmallBody = "small body";
constexpr int kReceiveBufferBytes = 4 * 1024;
// More than a server reads and discards from one connection, and than fits into both buffers.
constexpr std::size_t kEndlessBytes = 32 * 1024 * 1024;

// Server that closes a connection after a large answer, and a caller on a link that is slower than
// the answer: it reads only when the test tells it to.
class LingeringCloseTest : public testing::Test {
 protected:
  LingeringCloseTest()
      : server_(pool_, HttpLimits{}, [](HttpExchange& exchange) { return Respond(exchange); }) {
    endpoint_ = *server_.Listen({.address = "127.0.0.1", .port = 0});
    socket_.open(tcp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    Connect(socket_);
  }
  ~LingeringCloseTest() override { pool_.Stop(); }

  void Connect(tcp::socket& socket) const {
    socket.connect({asio::ip::make_address(endpoint_.address), endpoint_.port});
  }

  static std::string RequestFor(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  // Sends a request and waits until the server reads no more requests of this connection.
  void SendRequest() {
    asio::write(socket_, asio::buffer(RequestFor("/large")));
    std::array<char, 1> first{};
    asio::read(socket_, asio::buffer(first));
    received_.assign(first.data(), first.size());
  }

  // Waits until the server has written the answer to its kernel and has decided to close.
  void AwaitEndOfHandler() {
    while (server_.active_exchanges() != 0) {
      std::this_thread::yield();
    }
    // The server runs on one thread, which answers these requests after that decision. The first
    // answer may be sent before the handler has returned.
    Connect(other_);
    for (int i = 0; i < 2; ++i) {
      asio::write(other_, asio::buffer(RequestFor("/small")));
      std::string answer;
      asio::read_until(other_, asio::dynamic_buffer(answer), kSmallBody);
    }
  }

  static std::string ReadToEnd(tcp::socket& socket) {
    std::string received;
    std::array<char, 16 * 1024> block{};
    boost::system::error_code error;
    while (!error) {
      received.append(block.data(), socket.read_some(asio::buffer(block), error));
    }
    EXPECT_EQ(error, asio::error::eof) << error.message();
    return received;
  }

  std::size_t BodySize() {
    received_ += ReadToEnd(socket_);
    const std::size_t header_end = received_.find("\r\n\r\n");
    return header_end == std::string::npos ? 0 : received_.size() - header_end - 4;
  }

  void SendNextRequest() { asio::write(socket_, asio::buffer(RequestFor("/next"))); }

  asio::io_context context_;
  tcp::socket socket_{context_};
  // Connection that stays open.
  tcp::socket other_{context_};
  std::string received_;
  WorkerPool pool_{1};
  HttpServer server_;
  Endpoint endpoint_;

 private:
  static asio::awaitable<void> Respond(HttpExchange& exchange) {
    if (exchange.target() != "/large") {
      co_await exchange.Respond(200, {}, kSmallBody);
      co_return;
    }
    exchange.CloseAfterResponse();
    co_await exchange.Respond(200, {}, std::string(kBodyBytes, 'x'));
  }
};

// Guards against an answer whose end is lost, because the connection is closed while bytes of the
// caller's next request are unread, which resets it.
TEST_F(LingeringCloseTest, AnswerArrivesWholeAlthoughTheNextRequestIsUnread) {
  SendRequest();
  SendNextRequest();
  AwaitEndOfHandler();
  EXPECT_EQ(BodySize(), kBodyBytes);
}

// Guards against the same loss when the next request arrives after the decision to close.
TEST_F(LingeringCloseTest, AnswerArrivesWholeAlthoughTheNextRequestCrossesTheClose) {
  SendRequest();
  AwaitEndOfHandler();
  SendNextRequest();
  EXPECT_EQ(BodySize(), kBodyBytes);
}

// Guards against a stop that takes an answer for delivered as soon as the kernel has it.
TEST_F(LingeringCloseTest, ConnectionIsOpenUntilTheCallerHasTheAnswer) {
  SendRequest();
  AwaitEndOfHandler();
  EXPECT_EQ(server_.open_connections(), 2U);
  EXPECT_EQ(server_.undelivered_responses(), 1U);
  EXPECT_EQ(BodySize(), kBodyBytes);
  // The caller keeps its side of the connection open.
  while (server_.open_connections() != 1) {
    std::this_thread::yield();
  }
}

// Guards against a caller that keeps a closed connection by sending without end. A failure shows as
// a write without an error.
TEST_F(LingeringCloseTest, EndlessInputAfterTheAnswerIsCutOff) {
  SendRequest();
  AwaitEndOfHandler();
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(std::string(kEndlessBytes, 'x')), error);
  EXPECT_TRUE(error.failed());
}

}  // namespace
}  // namespace savoryglade
