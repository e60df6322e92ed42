#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/error.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Pool of idle connections to upstreams. A connection is not reused shortly before its upstream
// would close it, because a request sent during the close may or may not have run. Not thread-safe.
class UpstreamConnectionPool {
 public:
  // Returns a connection to the endpoint that has been idle for at most the given time, or null.
  std::unique_ptr<HttpConnection> Take(const UpstreamId& upstream, const Endpoint& endpoint,
                                       Duration max_idle_time);

  // Returns a connection whose response was read completely to the pool. Closes it instead if it is
  // not reusable or the upstream already has max_idle idle connections.
  void Release(const UpstreamId& upstream, std::unique_ptr<HttpConnection> connection,
               std::optional<Duration> idle_timeout, std::size_t max_idle);

  // Returns the number of idle connections that each daemon may keep to an upstream that accepts
  // max_connections from all daemons together. Zero means that the upstream states no limit.
  static std::size_t MaxIdleConnections(int max_connections, int daemons);

  // Closes the idle connections to an upstream.
  void Drop(const UpstreamId& upstream) { idle_.erase(upstream); }
  // Closes connections whose idle time has expired.
  void Expire(TimePoint now);

 private:
  struct IdleEntry {
    std::unique_ptr<HttpConnection> connection;
    TimePoint since;
    TimePoint until;
  };

  std::map<UpstreamId, std::vector<IdleEntry>> idle_;
};

}  // namespace savoryglade::gateway
