#pragma once

#include "core/time.h"
#include "net/http_client.h"

namespace savoryglade {

// Time limits and connection pool of requests to upstreams.
struct UpstreamClientOptions {
  Duration connect_timeout = 1s;
  Duration send_timeout = 5s;
  // An engine that sends neither an event nor a comment for this long is silent: another one is
  // asked beside it. Engines send a comment every second.
  Duration silence_timeout = 5s;
  // Idle connections to upstreams.
  PoolOptions pool;
};

}  // namespace savoryglade
