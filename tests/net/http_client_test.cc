#include "net/http_client.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <utility>

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Size of a request that does not fit into the receiver's socket buffer.
constexpr std::size_t kRequestBodyBytes = 128 * 1024;
constexpr int kReceiverBufferBytes = 4 * 1024;

// Peer of one connection that reads only when it is told to, so that a request stays in the
// sender's kernel as if the path were cut.
class UnreadPeer {
 public:
  UnreadPeer() : acceptor_(context_), socket_(context_) {
    const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any_port.protocol());
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiverBufferBytes));
    acceptor_.bind(any_port);
    acceptor_.listen();
  }

  Endpoint endpoint() const {
    return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }
  void Accept() { acceptor_.accept(socket_); }
  // Reads until the connection ends. Returns the number of bytes and how the connection ended.
  std::pair<std::size_t, boost::system::error_code> ReadToEnd() {
    std::array<char, 4096> buffer;
    std::size_t total = 0;
    boost::system::error_code error;
    while (!error) {
      total += socket_.read_some(asio::buffer(buffer), error);
    }
    return {total, error};
  }

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  tcp::socket socket_;
};

HttpRequest LargeRequest() {
  HttpRequest request(boost::beast::http::verb::post, "/orders", 11);
  request.set(boost::beast::http::field::host, "h");
  request.body() = std::string(kRequestBodyBytes, 'x');
  request.prepare_payload();
  return request;
}

// Sends the request on a new connection to the peer and returns the connection.
std::unique_ptr<HttpConnection> SendTo(UnreadPeer& peer, asio::io_context& context) {
  std::unique_ptr<HttpConnection> connection;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        auto connected = co_await HttpConnection::Connect(peer.endpoint(), 5s);
        if (!connected) {
          ADD_FAILURE() << connected.error().message;
          co_return;
        }
        connection = std::move(*connected);
        const Result<void> sent = co_await connection->Send(LargeRequest(), 5s);
        EXPECT_TRUE(sent);
      },
      asio::detached);
  context.run();
  peer.Accept();
  return connection;
}

// Guards against a request that reaches an upstream after its attempt was given up, because the
// kernel went on sending it.
TEST(HttpConnectionTest, DoesNotDeliverARequestAfterItsConnectionIsDestroyed) {
  UnreadPeer peer;
  asio::io_context context;
  SendTo(peer, context).reset();
  const auto [bytes, error] = peer.ReadToEnd();
  EXPECT_LT(bytes, kRequestBodyBytes);
  EXPECT_EQ(error, asio::error::connection_reset);
}

// As above, for a caller that disconnects while its request is on the way.
TEST(HttpConnectionTest, DoesNotDeliverARequestAfterItsConnectionIsClosed) {
  UnreadPeer peer;
  asio::io_context context;
  const std::unique_ptr<HttpConnection> connection = SendTo(peer, context);
  connection->Close();
  const auto [bytes, error] = peer.ReadToEnd();
  EXPECT_LT(bytes, kRequestBodyBytes);
  EXPECT_EQ(error, asio::error::connection_reset);
}

}  // namespace
}  // namespace savoryglade
