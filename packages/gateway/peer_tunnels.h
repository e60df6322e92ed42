#pragma once

#include <boost/asio/awaitable.hpp>
#include <string_view>

#include "gateway/fleet_state.h"
#include "gateway/open_attempts.h"
#include "net/http_server.h"

namespace savoryglade::gateway {

// Relays the requests of peers that do not reach an upstream. Connects directly only, so that no
// request takes more than one hop. Not thread-safe.
class PeerTunnels {
 public:
  PeerTunnels(FleetState& fleet, const OpenAttempts& open_attempts)
      : fleet_(fleet), open_attempts_(open_attempts) {}

  // Connects to the upstream that a CONNECT request names and relays bytes until one side ends.
  // Responds with 404 if the upstream is unknown or leaves, with 503 if this daemon does not relay
  // to it now, and with 502 if the upstream does not accept the connection.
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange);

 private:
  // Returns the status with which to reject a tunnel, or zero.
  unsigned RejectionStatus(const UpstreamRecord* upstream, std::string_view target) const;

  FleetState& fleet_;
  const OpenAttempts& open_attempts_;
  int open_tunnels_ = 0;
};

}  // namespace savoryglade::gateway
