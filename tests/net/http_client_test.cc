#include "net/http_client.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <utility>

#include "tests/net/unread_peer.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

// Size of a request that does not fit into the receiver's socket buffer.
constexpr std::size_t kRequestBodyBytes = 128 * 1024;

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
