#pragma once

#include <boost/asio/awaitable.hpp>
#include <string_view>

#include "gateway/adapter.h"
#include "gateway/fleet_state.h"
#include "gateway/open_attempts.h"
#include "gateway/upstream_signal_recorder.h"
#include "net/http_server.h"

namespace savoryglade::gateway {

// Relays the requests of peers that do not reach an upstream. Connects directly only, so that no
// request takes more than one hop. Not thread-safe.
class PeerTunnels {
 public:
  PeerTunnels(FleetState& fleet, const MessageCodec& codec, const OpenAttempts& open_attempts,
              UpstreamSignalRecorder& signals)
      : fleet_(fleet), codec_(codec), open_attempts_(open_attempts), signals_(signals) {}

  // Connects to the upstream that a CONNECT request names and relays bytes until one side ends.
  // Reads from the header of the answer what the upstream says of itself.
  // Responds with 404 if the upstream is unknown, with 503 if this daemon does not relay now, with
  // 429 if the upstream leaves or wants no requests of this daemon, and with 502 if the upstream
  // does not accept the connection.
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange);

  // Returns the number of connections that are being relayed or opened. A daemon that drains waits
  // for them.
  int open_tunnels() const { return open_tunnels_; }

 private:
  // Returns the status with which to reject a tunnel, or zero.
  unsigned RejectionStatus(const UpstreamRecord* upstream, std::string_view target) const;
  // Returns the headers that tell the peer what this daemon knows of an upstream.
  HttpHeaders RejectionHeaders(const UpstreamRecord* upstream) const;

  FleetState& fleet_;
  const MessageCodec& codec_;
  const OpenAttempts& open_attempts_;
  UpstreamSignalRecorder& signals_;
  int open_tunnels_ = 0;
};

}  // namespace savoryglade::gateway
