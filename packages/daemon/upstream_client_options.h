#pragma once

#include "core/time.h"
#include "net/http_client.h"

namespace savoryglade {

// Time limits of the path from caller to upstream.
struct UpstreamClientOptions {
  Duration connect_timeout = 1s;
  Duration send_timeout = 5s;
  // An engine that sends neither event nor comment for this long is taken for lost. Engines send a
  // comment each second.
  Duration silence_timeout = 5s;
  // Idle connections to upstreams.
  PoolOptions pool;
};

}  // namespace savoryglade
