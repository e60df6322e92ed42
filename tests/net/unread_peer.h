#pragma once

#include <array>
#include <boost/asio.hpp>
#include <cstddef>
#include <utility>

#include "net/endpoint.h"

namespace savoryglade {

// Peer of one connection that reads only when it is told to, so that a request stays in the
// sender's kernel as if the path were cut.
class UnreadPeer {
 public:
  UnreadPeer() : acceptor_(context_), socket_(context_) {
    const boost::asio::ip::tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any_port.protocol());
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
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
      total += socket_.read_some(boost::asio::buffer(buffer), error);
    }
    return {total, error};
  }

 private:
  static constexpr int kReceiveBufferBytes = 4 * 1024;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace savoryglade
