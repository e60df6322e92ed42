#pragma once

#include "config/route_table.h"
#include "core/time.h"

namespace savoryglade {

struct DrainOptions {
  // Time from the stop order until the process is killed.
  Duration grace_period = 8s;
  // Time until the load balancer has noticed the stop and sends no new connections.
  Duration load_balancer_delay = 3s;
  // Fraction of the grace period after which requests in flight are cut off.
  double in_flight_grace_fraction = 0.92;
  // Fraction of the grace period during which calls that usually end within one or two seconds are
  // accepted.
  double short_call_grace_fraction = 0.5;
};

// Decides which requests a daemon still accepts after the stop order, and when the process exits.
// Requests keep arriving on keep-alive connections until the end. A request that may not complete
// in time is refused rather than cut off, because the caller can safely repeat a refused request at
// another daemon.
class DrainPolicy {
 public:
  explicit DrainPolicy(DrainOptions options) : options_(options) {}

  // Returns true if a request that arrives this long after the stop order is accepted.
  bool Accepts(CallKind kind, Duration since_order) const {
    if (kind == CallKind::kStream) {
      return since_order < options_.load_balancer_delay;
    }
    return ToSeconds(since_order) <
           ToSeconds(options_.grace_period) * options_.short_call_grace_fraction;
  }

  // Returns true if the process should exit. `active` is the number of requests in flight.
  bool ShouldExit(Duration since_order, int active) const {
    if (ToSeconds(since_order) >=
        ToSeconds(options_.grace_period) * options_.in_flight_grace_fraction) {
      return true;
    }
    return active == 0 && since_order >= options_.load_balancer_delay;
  }

 private:
  DrainOptions options_;
};

}  // namespace savoryglade
