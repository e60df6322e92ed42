#include "net/tunnel.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <string>
#include <utility>

#include "net/log_exception.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kBytes = 100'000;

// Two connections, caller to relay and relay to target, between which bytes are relayed.
class TunnelTest : public testing::Test {
 protected:
  TunnelTest()
      : caller_(context_), target_(context_), relay_caller_(context_), relay_target_(context_) {
    Connect(caller_, relay_caller_);
    Connect(target_, relay_target_);
  }

  void Connect(tcp::socket& outer, boost::beast::tcp_stream& inner) {
    tcp::acceptor acceptor(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    outer.connect(acceptor.local_endpoint());
    acceptor.accept(inner.socket());
  }

  // Relays until one side ends.
  void Relay(Duration lifetime = 60s) {
    asio::co_spawn(context_, RelayBytes(relay_caller_, relay_target_, lifetime),
                   LogException("tunnel"));
    context_.run();
  }

  static void Reset(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  // Reads until the connection ends. Returns the bytes and how it ended.
  static std::pair<std::string, boost::system::error_code> ReadToEnd(tcp::socket& socket) {
    std::string bytes;
    std::array<char, 4096> chunk;
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = socket.read_some(asio::buffer(chunk), error);
      bytes.append(chunk.data(), size);
    }
    return {bytes, error};
  }

  asio::io_context context_;
  tcp::socket caller_;
  tcp::socket target_;
  boost::beast::tcp_stream relay_caller_;
  boost::beast::tcp_stream relay_target_;
};

TEST_F(TunnelTest, BytesReachBothSidesUnchanged) {
  asio::write(caller_, asio::buffer(std::string("request")));
  const std::string response(kBytes, 'x');
  asio::write(target_, asio::buffer(response));
  target_.shutdown(tcp::socket::shutdown_send);
  Relay();
  const auto [bytes, error] = ReadToEnd(caller_);
  EXPECT_EQ(bytes, response);
  EXPECT_EQ(error, asio::error::eof);
  EXPECT_EQ(ReadToEnd(target_).first, "request");
}

// Guards against a response that ends with its connection and looks complete although its upstream
// broke it off.
TEST_F(TunnelTest, ResetOfTheTargetResetsTheCaller) {
  asio::write(target_, asio::buffer(std::string("half")));
  Reset(target_);
  Relay();
  EXPECT_EQ(ReadToEnd(caller_).second, asio::error::connection_reset);
}

// Guards against an upstream that goes on with a request whose caller has left.
TEST_F(TunnelTest, ResetOfTheCallerResetsTheTarget) {
  Reset(caller_);
  Relay();
  EXPECT_EQ(ReadToEnd(target_).second, asio::error::connection_reset);
}

// Guards against a relay that reads late and passes on what its caller has withdrawn.
TEST_F(TunnelTest, BytesOfACallerThatHasResetAreNotPassedOn) {
  asio::write(caller_, asio::buffer(std::string("request")));
  Reset(caller_);
  Relay();
  EXPECT_EQ(ReadToEnd(target_).first, "");
}

// Guards against a relay that waits for a target that does not read, although its caller has left.
TEST_F(TunnelTest, ResetOfTheCallerEndsAWriteThatTheTargetBlocks) {
  caller_.non_blocking(true);
  const std::string block(kBytes, 'x');
  asio::co_spawn(context_, RelayBytes(relay_caller_, relay_target_, 60s), LogException("tunnel"));
  boost::system::error_code error;
  while (!error) {
    caller_.write_some(asio::buffer(block), error);
    context_.poll();
  }
  Reset(caller_);
  context_.run();
  EXPECT_EQ(ReadToEnd(target_).second, asio::error::connection_reset);
}

// Guards against tunnels that stay open for ever because both sides are silent.
TEST_F(TunnelTest, TunnelEndsAfterItsLifetime) {
  Relay(1ms);
  EXPECT_EQ(ReadToEnd(caller_).second, asio::error::connection_reset);
  EXPECT_EQ(ReadToEnd(target_).second, asio::error::connection_reset);
}

}  // namespace
}  // namespace savoryglade
