#pragma once

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "core/time.h"
#include "net/endpoint.h"
#include "net/worker_pool.h"

namespace savoryglade {

// TCP relay to one endpoint that carries a limited number of bytes per second in each direction,
// shared by all its connections. It can be cut for some source addresses. Thread-safe.
class EmulatedLink {
 public:
  static constexpr double kUnlimited = 1e12;

  explicit EmulatedLink(Endpoint target, double bytes_per_s = kUnlimited);
  ~EmulatedLink();
  EmulatedLink(const EmulatedLink&) = delete;
  EmulatedLink& operator=(const EmulatedLink&) = delete;

  // Endpoint that relays to the target.
  const Endpoint& endpoint() const { return endpoint_; }
  // Returns the number of connections that were opened so far.
  int connections() const { return connections_; }

  // Cuts the link for these source addresses, and for no others. New connections from them hang.
  // Open ones are reset or, without reset, hang like those on a partitioned network.
  void SetPartitioned(const std::set<std::string>& source_addresses, bool reset);

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection {
    Connection(Socket caller_socket, boost::asio::io_context& context)
        : caller(std::move(caller_socket)), target(context) {}

    Socket caller;
    Socket target;
    std::uint32_t source = 0;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Open(ConnectionPointer connection);
  // Relays bytes in one direction until one of the sockets ends, then closes both.
  boost::asio::awaitable<void> Relay(ConnectionPointer connection, Socket& from, Socket& to,
                                     std::size_t direction);
  // Lets the kernel drop what arrives on the socket from partitioned addresses.
  void ApplyFilter(int socket) const;

  Endpoint target_;
  double bytes_per_s_;
  Endpoint endpoint_;
  std::atomic<int> connections_{0};
  // Partitioned source addresses in host byte order.
  std::set<std::uint32_t> partitioned_;
  std::set<ConnectionPointer> open_;
  // Time at which each direction can carry more bytes.
  std::array<TimePoint, 2> free_at_{};
  WorkerPool pool_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace savoryglade
