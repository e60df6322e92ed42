#pragma once

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>

#include "core/time.h"
#include "net/endpoint.h"
#include "net/worker_pool.h"

namespace savoryglade {

// TCP relay to one endpoint that carries a limited number of bytes per second in each direction,
// shared by all its connections.
class EmulatedLink {
 public:
  EmulatedLink(Endpoint target, double bytes_per_s);
  ~EmulatedLink();
  EmulatedLink(const EmulatedLink&) = delete;
  EmulatedLink& operator=(const EmulatedLink&) = delete;

  // Endpoint that relays to the target.
  const Endpoint& endpoint() const { return endpoint_; }
  // Returns the number of connections that were opened so far.
  int connections() const { return connections_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Open(std::shared_ptr<Socket> caller);
  // Relays bytes until one of the connections ends, then closes both.
  boost::asio::awaitable<void> Relay(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to,
                                     std::size_t direction);

  Endpoint target_;
  double bytes_per_s_;
  Endpoint endpoint_;
  std::atomic<int> connections_{0};
  // Time at which each direction can carry more bytes.
  std::array<TimePoint, 2> free_at_{};
  WorkerPool pool_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace savoryglade
