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
  // Longest time from the store's acknowledgement of new routes until they are in force.
  Duration routes_apply = 2s;
  // Time from the SIGTERM that tells a daemon to shut down until its SIGKILL.
  Duration stop_grace = 8s;
  // Time from that SIGTERM until the load balancer sends no new connections.
  Duration balancer_delay = 3s;
  double retry_ratio = 0.2;
  Duration retry_window = 10s;
  double retry_allowance = 0;
  // In any window of length allowance_window, the fleet may exceed a client account's allowance by
  // the fraction allowance_overshoot of the account's rate and burst, plus allowance_slack units.
  Duration allowance_window = 8s;
  double allowance_overshoot = 0;
  double allowance_slack = 0;
  // Time after which the lease on the fleet's duties (usage reports and capacity orders) expires
  // unless its holder renews it.
  Duration lease = 3s;
  // Length of a usage reporting window. The usage of the client accounts in each window is reported
  // to the platform; zero disables these reports.
  Duration usage_window = Duration::zero();
  // Time from the end of a usage reporting window until the report on the client accounts' usage in
  // this window is due at the platform.
  Duration usage_due = 10s;
  // Bounds of roll-outs; see rollout::RolloutBounds.
  double exposure_share = 0;
  double exposure_allowance = 0;
  Duration rollback = Duration::zero();

  friend auto operator<=>(const FleetBounds&, const FleetBounds&) = default;
};

// Settings of a gateway daemon.
struct GatewaySettings {
  DaemonId daemon;
  FailureDomainId failure_domain;
  Endpoint callers;
  Endpoint readiness;
  // UDP endpoint that receives the load and usage reports of the other daemons.
  Endpoint peers;
  Endpoint metrics;
  Endpoint store;
  Endpoint duties;
  // Address from which the daemon connects to upstreams; empty lets the system choose it.
  std::string source_address;
  bool reports_usage = false;
  bool orders_capacity = false;
  // Whether the fleet carries out the operators' orders to roll out versions.
  bool rolls_out = false;
  std::size_t max_descriptors = 1024;
  std::size_t memory_bytes = 256ULL * 1024 * 1024;
  FleetBounds bounds;

  friend auto operator<=>(const GatewaySettings&, const GatewaySettings&) = default;
};

}  // namespace savoryglade::gateway
