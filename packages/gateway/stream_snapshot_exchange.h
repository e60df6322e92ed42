#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string_view>

#include "gateway/fleet_state.h"
#include "net/endpoint.h"
#include "net/http_server.h"

namespace savoryglade::gateway {

// Fetches from a peer which versions began the streams of the group, after a start or a time
// without reports, and responds to such requests of peers.
class StreamSnapshotExchange {
 public:
  static constexpr std::string_view kTarget = "/streams";

  StreamSnapshotExchange(FleetState& fleet, boost::asio::io_context& context)
      : fleet_(fleet), timer_(context) {}

  // Responds to another daemon's request for a snapshot.
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange) const;

  // Records that reports of a peer arrive, for the first time or after a pause. The peer responds
  // to requests at this endpoint.
  void OnPeerReturned(const Endpoint& peer);

  // Fetches snapshots until its context stops.
  boost::asio::awaitable<void> Loop();

 private:
  struct Source {
    Endpoint peer;
    int attempts = 0;
  };

  // Returns false if the peer does not respond, or cannot tell which versions have served.
  boost::asio::awaitable<bool> Fetch(const Endpoint& peer);

  FleetState& fleet_;
  // Cancelled when a peer returns.
  boost::asio::steady_timer timer_;
  std::deque<Source> sources_;
};

}  // namespace savoryglade::gateway
