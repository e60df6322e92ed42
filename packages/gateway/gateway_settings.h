#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "net/endpoint.h"

namespace savoryglade::gateway {

// Limits and timing that the operators set for all daemons. They can change at run time.
struct FleetBounds {
  // Longest time for which an upstream that announced its departure may still get new work.
  Duration upstream_drain = 2s;
  // Time from SIGTERM to SIGKILL.
  Duration stop_grace = 8s;
  double retry_ratio = 0.2;
  Duration retry_window = 10s;
  double retry_allowance = 0;
  // The fleet may admit this fraction of an account's rate and burst, and this number of units,
  // beyond the account's allowance in any window.
  Duration allowance_window = 8s;
  double allowance_overshoot = 0;
  double allowance_slack = 0;
  // Time after which a lease expires unless it is renewed.
  Duration lease = 3s;
  // Length of a usage reporting window; zero disables usage reports.
  Duration usage_window = Duration::zero();
  // Time from the end of a window until its report is due.
  Duration usage_due = 10s;

  friend auto operator<=>(const FleetBounds&, const FleetBounds&) = default;
};

// Settings of a gateway daemon.
struct GatewaySettings {
  DaemonId daemon;
  FailureDomainId failure_domain;
  Endpoint callers;
  Endpoint readiness;
  // UDP endpoint that receives the peers' digests.
  Endpoint peers;
  Endpoint metrics;
  Endpoint store;
  Endpoint duties;
  bool reports_usage = false;
  bool orders_capacity = false;
  std::size_t max_descriptors = 1024;
  std::size_t memory_bytes = 256ULL * 1024 * 1024;
  FleetBounds bounds;

  friend auto operator<=>(const GatewaySettings&, const GatewaySettings&) = default;
};

}  // namespace savoryglade::gateway
