#pragma once

#include "config/route_table.h"
#include "core/time.h"

namespace savoryglade {

struct DrainOptions {
  // Time from the order to stop until the process is killed.
  Duration grace_period = 8s;
  // Time until the balancer has noticed and sends no new connections.
  Duration balancer_delay = 3s;
  // Part of the grace after which requests in flight are cut off.
  double grace_use = 0.92;
  // Part of the grace up to which calls that end within a second or two are taken.
  double call_use = 0.5;
};

// Which requests a daemon still takes after the order to stop, and when it ends. Requests come on
// kept connections until the end; one that may not be whole by then is refused, which its caller
// can repeat elsewhere, instead of being cut off.
class DrainPolicy {
 public:
  explicit DrainPolicy(DrainOptions options) : options_(options) {}

  // Returns true if a request that arrives this long after the order is still taken.
  bool Accepts(CallKind kind, Duration since_order) const {
    if (kind == CallKind::kStream) {
      return since_order < options_.balancer_delay;
    }
    return ToSeconds(since_order) < ToSeconds(options_.grace_period) * options_.call_use;
  }

  // Returns true if the process is to end.
  bool ShouldExit(Duration since_order, int active) const {
    if (ToSeconds(since_order) >= ToSeconds(options_.grace_period) * options_.grace_use) {
      return true;
    }
    return active == 0 && since_order >= options_.balancer_delay;
  }

 private:
  DrainOptions options_;
};

}  // namespace savoryglade
