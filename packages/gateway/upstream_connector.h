#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "gateway/fleet_state.h"
#include "gateway/upstream_connection_pool.h"
#include "gateway/upstream_signal_recorder.h"
#include "net/http_client.h"
#include "net/tunnel.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Connection of an attempt to its upstream.
struct UpstreamConnection {
  std::unique_ptr<HttpConnection> connection;
  // Peer that relays the connection; empty for a direct one.
  DaemonId peer;
};

// Connects attempts to upstreams: on an idle connection, on a new one, or through a peer if this
// daemon does not reach the upstream. A tunnel carries one request. The daemon that holds the
// request decides on everything else as on a direct connection, and the peer only relays bytes.
// Not thread-safe.
class UpstreamConnector {
 public:
  UpstreamConnector(FleetState& fleet, UpstreamConnectionPool& idle_connections,
                    UpstreamSignalRecorder& signals)
      : fleet_(fleet),
        idle_connections_(idle_connections),
        signals_(signals),
        random_(fleet.incarnation) {}

  // Connects for a request with this time left. Returns kTimeout if nothing shows that the
  // upstream has ended.
  boost::asio::awaitable<Result<UpstreamConnection>> Connect(const UpstreamRecord& upstream,
                                                             Duration max_idle_time,
                                                             Duration remaining);

  // Returns true if a new direct connection to the upstream gets no response within the time that
  // one may take. One that is refused shows that the path works. Returns false if the time left is
  // too short to tell.
  boost::asio::awaitable<bool> IsPathLost(const UpstreamRecord& upstream, Duration remaining);

  // Probes the upstreams that this daemon does not reach until its context stops.
  boost::asio::awaitable<void> ProbeLoop();

 private:
  // What became of a request for a tunnel.
  enum class TunnelOutcome { kConnected, kUpstreamDown, kRefused, kFailed, kUnwanted, kUnknown };

  static std::string NameOf(TunnelOutcome outcome);
  TunnelOutcome RecordReply(const UpstreamRecord& upstream, const DaemonId& peer,
                            const TunnelReply& reply);
  boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> ConnectDirectly(
      const UpstreamRecord& upstream, Duration timeout);
  boost::asio::awaitable<Result<UpstreamConnection>> ConnectThroughPeer(
      const UpstreamRecord& upstream, Error direct_error, Duration remaining);
  // Returns the peers that are known to respond to requests.
  std::vector<RelayPeer> RelayPeers(TimePoint now) const;

  FleetState& fleet_;
  UpstreamConnectionPool& idle_connections_;
  UpstreamSignalRecorder& signals_;
  Random random_;
};

}  // namespace savoryglade::gateway
