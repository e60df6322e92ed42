#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "capacity/usage_ledger.h"
#include "capacity/work_meter.h"
#include "config/route_table.h"
#include "core/prefix_hash.h"
#include "core/time.h"
#include "gateway/gateway_settings.h"
#include "membership/document_sources.h"
#include "membership/fleet_clock.h"
#include "membership/fleet_groups.h"
#include "membership/store_era.h"
#include "membership/upstream_notices.h"
#include "metrics/registry.h"
#include "net/event_loop_monitor.h"
#include "recovery/crash_registry.h"
#include "recovery/drain_sequence.h"
#include "recovery/stream_version_directory.h"
#include "recovery/window_retry_budget.h"
#include "rollout/response_tracker.h"
#include "rollout/rollout_directory.h"
#include "routing/fleet_load_balancer.h"
#include "routing/upstream_paths.h"
#include "scheduling/account_rate_limiter.h"
#include "scheduling/admission_queue.h"

namespace savoryglade::gateway {

// Announcement of the daemon that holds the lease on the fleet's duties. Reports that relay the
// same announcement say nothing new, whatever its age in them.
struct HolderAnnouncement {
  std::uint64_t incarnation = 0;
  // The holder's clock at the announcement.
  Duration time = Duration::zero();
  friend auto operator<=>(const HolderAnnouncement&, const HolderAnnouncement&) = default;
};

// Time for which a version that is new to a daemon gets no work, and age of the oldest view from
// which versions are inferred, as fractions of the time in which an upstream's notice must be
// known.
inline constexpr double kVersionHoldFraction = 0.6;
inline constexpr double kVersionViewFraction = 0.5;

// Shared state of the gateway on one VM: its view of the fleet and the objects that make decisions
// for requests, store watches, peer reports and the fleet's duties, which are usage reports and
// capacity orders to the platform. Not thread-safe; used on one thread.
struct FleetState {
  FleetState(GatewaySettings gateway_settings, std::uint64_t daemon_incarnation,
             Duration time_of_day, TimePoint now)
      : settings(std::move(gateway_settings)),
        incarnation(daemon_incarnation),
        load_balancer(
            FleetLoadBalancerOptions{.local_domain = settings.failure_domain, .seed = incarnation}),
        rate_limiter(RateLimiterOptions{}),
        retry_budget(WindowRetryBudgetOptions{}, now),
        rollouts(daemon_incarnation),
        clock(time_of_day, now),
        groups(Self(), FleetGroupOptions{}),
        drain(DrainOptions{}) {
    ApplyBounds();
  }

  // Passes the bounds in the settings to the objects that enforce them.
  void ApplyBounds() {
    const FleetBounds& bounds = settings.bounds;
    rate_limiter.SetTolerance(bounds.allowance_overshoot, bounds.allowance_slack,
                              bounds.allowance_window);
    retry_budget.SetOptions({.window = bounds.retry_window,
                             .ratio = bounds.retry_ratio,
                             .allowance = bounds.retry_allowance});
    drain.SetOptions(
        {.grace_period = bounds.stop_grace, .load_balancer_delay = bounds.balancer_delay});
    rollouts.SetBounds(settings.rolls_out
                           ? rollout::RolloutBounds{.exposure_share = bounds.exposure_share,
                                                    .exposure_allowance = bounds.exposure_allowance,
                                                    .rollback = bounds.rollback}
                           : rollout::RolloutBounds{});
    const double upstream_drain = ToSeconds(bounds.upstream_drain);
    stream_versions.SetHoldTime(FromSeconds(upstream_drain * kVersionHoldFraction),
                                FromSeconds(upstream_drain * kVersionViewFraction));
  }

  CrashRegistry& CrashRegistryOf(CrashSubject subject) {
    switch (subject) {
      case CrashSubject::kPath:
        return path_crash_registry;
      case CrashSubject::kPromptPart:
        return part_crash_registry;
      case CrashSubject::kRequest:
        break;
    }
    return crash_registry;
  }

  AdmissionQueue& AdmissionQueueOf(const ServiceId& service) {
    return admission_queues.try_emplace(service, AdmissionOptions{}).first->second;
  }

  FleetDaemon Self() const {
    return {.id = settings.daemon,
            .failure_domain = settings.failure_domain,
            .memory_bytes = settings.memory_bytes};
  }

  // Returns the number of the reporting window that contains this instant.
  capacity::WindowNumber WindowAt(TimePoint now) const {
    return clock.Now(now) / settings.bounds.usage_window;
  }

  void OnStoreEra(const StoreEra& seen) { store_era = Combine(store_era, seen); }

  GatewaySettings settings;
  const std::uint64_t incarnation;
  MetricRegistry metrics;
  EventLoopMonitor loop_monitor{metrics.GetTiming("savoryglade_gateway_loop_delay_seconds")};
  // Null until the first routes have been read.
  std::shared_ptr<const RouteTable> routes;
  // Latest instant at which these routes were known to be the newest, from this daemon's own reads
  // or from a peer's.
  TimePoint routes_confirmed_at{};
  // Latest instant at which a read by this daemon showed that. Only this is reported to peers: the
  // age of a relayed confirmation would lack the transit time of each report.
  TimePoint routes_read_at{};
  // Peers by the versions of the routes that they hold.
  DocumentSources route_sources{DocumentSourceOptions{}};
  // Endpoints at which the peers respond to requests.
  std::map<DaemonId, Endpoint> peer_requests;
  // TCP port on which this daemon responds to requests of other daemons.
  std::uint16_t requests_port = 0;
  FleetLoadBalancer load_balancer;
  UpstreamPaths upstream_paths{UpstreamPathOptions{}};
  // Queues of the requests that this daemon holds back, by service.
  std::map<ServiceId, AdmissionQueue> admission_queues;
  AccountRateLimiter rate_limiter;
  WindowRetryBudget retry_budget;
  CrashRegistry crash_registry{kRequestCrashPolicy, Fnv1aHash(settings.daemon.value())};
  // True once the crash records have been read from the store or reported by a peer. Until then the
  // daemon can't tell which requests the fleet refuses.
  bool crash_records_known = false;
  CrashRegistry path_crash_registry{kPathCrashPolicy, Fnv1aHash(settings.daemon.value())};
  CrashRegistry part_crash_registry{kPartCrashPolicy, Fnv1aHash(settings.daemon.value())};
  StreamVersionDirectory stream_versions{StreamVersionOptions{}};
  rollout::RolloutDirectory rollouts;
  rollout::ResponseTracker rollout_responses{rollouts};
  // Latest instant at which a read by this daemon found all orders of roll-outs.
  std::optional<TimePoint> rollout_orders_read_at;
  capacity::UsageLedger usage;
  capacity::WorkMeter work;
  FleetClock clock;
  UpstreamNotices notices;
  FleetGroups groups;
  DrainSequence drain;
  // Time between two rounds of reports to peers; grows with the size of this daemon's peer group.
  Duration digest_interval = 150ms;
  // True while this daemon holds the lease on the fleet's duties: usage reports and capacity orders
  // to the platform.
  bool holds_duties = false;
  // Latest instant at which a peer is known to have held the lease on the fleet's duties, which are
  // usage reports and capacity orders to the platform.
  TimePoint holder_last_reported{};
  HolderAnnouncement holder_announcement;
  // Greatest fencing token of the duties that this daemon knows of.
  std::uint64_t highest_fencing = 0;
  // Latest era of the store that this daemon or a peer has seen.
  StoreEra store_era;
  // Number of peers with lower ids, which contend for the lease on the fleet's duties before this
  // daemon does.
  int lower_id_peers = 0;
  // Requests in progress.
  int active_requests = 0;
};

}  // namespace savoryglade::gateway
