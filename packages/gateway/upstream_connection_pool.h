#pragma once

#include <boost/asio/awaitable.hpp>
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

// IdleEntry connections to upstreams. A connection is not used again close to the time at which its
// upstream closes it, because a request that crosses that close may or may not have run. Used by
// one thread.
class UpstreamConnectionPool {
 public:
  // Returns an idle connection that has been idle for at most the given time, or a new one.
  boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Acquire(
      const UpstreamRecord& upstream, Duration max_idle_time, Duration timeout);

  // Keeps a connection whose answer was read whole. Nothing is kept if it can't be used again, or
  // if so many to this upstream are idle already.
  void Release(const UpstreamId& upstream, std::unique_ptr<HttpConnection> connection,
               std::optional<Duration> idle_timeout, std::size_t max_idle);

  // IdleEntry connections that one of several daemons may keep to an upstream that accepts so many
  // from all of them; an upstream that does not say accepts any number.
  static std::size_t MaxIdleConnections(int max_connections, int daemons);

  // Closes the idle connections to an upstream.
  void Drop(const UpstreamId& upstream) { idle_.erase(upstream); }
  // Closes connections that were idle for too long.
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
