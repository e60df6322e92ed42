#include "gateway/open_attempts.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "net/http_client.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against an attempt that was connecting while all others were closed, and then sends its
// request.
TEST(OpenAttemptsTest, ClosesConnectionsThatRegisterAfterAllWereClosed) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  boost::beast::tcp_stream stream(context);
  stream.socket().connect(acceptor.local_endpoint());
  HttpConnection connection(std::move(stream), Endpoint{});
  OpenAttempts attempts(context);
  attempts.CloseAll();
  const OpenAttempts::Registration registration(attempts, UpstreamId("worker-0"), connection);
  EXPECT_FALSE(connection.is_open());
}

}  // namespace
}  // namespace savoryglade::gateway
