#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "capacity/usage_ledger.h"
#include "core/report_source.h"
#include "core/time.h"
#include "gateway/adapter.h"
#include "gateway/fleet_state.h"
#include "membership/feed_reorder_buffer.h"
#include "membership/fleet_groups.h"
#include "membership/registration_view.h"
#include "recovery/crash_registry.h"
#include "recovery/stream_version_directory.h"
#include "rollout/rollout_directory.h"
#include "routing/engine_speeds.h"
#include "routing/fleet_load_balancer.h"
#include "scheduling/account_rate_limiter.h"

namespace savoryglade::gateway {

// Number of an account's requests that began in a reporting window. The account is identified by
// the hash of its name.
struct BegunCount {
  capacity::WindowNumber window = 0;
  std::uint64_t account = 0;
  std::uint64_t count = 0;

  friend auto operator<=>(const BegunCount&, const BegunCount&) = default;
};

// Report on one daemon, on its failure domain, or on all other failure domains. Accounts and
// services are identified by the hashes of their names.
struct FleetReport {
  FleetDaemon sender;
  std::uint64_t incarnation = 0;
  ReportScope scope = ReportScope::kDaemon;
  // Number of daemons that the report covers.
  int daemons = 1;
  // Time since the start of 1970 by the sender's clock.
  Duration time_of_day = Duration::zero();
  bool leaving = false;
  // Greatest fencing token of the duties that the sender knows of.
  std::uint64_t highest_fencing = 0;
  // Era of the store that the sender knows of, and the time for which the fleet has known it. The
  // age does not include the time that reports were under way, so that it is never too long.
  std::uint64_t store_era = 0;
  Duration store_era_age = Duration::zero();
  // TCP port on which the sender responds to requests of other daemons; zero if there is none.
  std::uint16_t requests_port = 0;
  // Time since the holder of the duties last reported that it holds them, if a report is known.
  std::optional<Duration> holder_age;
  HolderAnnouncement holder_announcement;
  // Version of the routes that the sender holds, and time since a read by the sender itself showed
  // that this version is the newest.
  std::uint64_t routes_version = 0;
  Duration routes_age = Duration::zero();
  std::vector<ReportedLoad> loads;
  std::map<std::uint64_t, AllowanceUsage> allowances;
  std::vector<BegunCount> begun;
  std::map<std::uint64_t, double> work;
  // Whether the sender has read the crash records of the fleet, or heard of them.
  bool crash_records_known = false;
  // Records of requests, of paths and of prompt parts.
  std::vector<CrashRecord> crashes;
  std::vector<CrashRecord> path_crashes;
  std::vector<CrashRecord> part_crashes;
  // Limits that upstreams name, and those that have ended recently.
  std::vector<ReportedRateLimit> rate_limits;
  // Upstreams that leave, by their own word.
  std::vector<ReportedNotice> notices;
  // Upstreams that have rejected a request, and crash if they reject too many.
  std::vector<ReportedNotice> rejections;
  // Paces of engines that the sender has observed; empty in reports on several daemons.
  std::vector<ReportedPace> paces;
  // Registration changes that the sender has read from the store, and time since that read began.
  std::optional<FeedUpdate> feed_update;
  Duration feed_update_age = Duration::zero();
  // Streams that the sender has begun; empty in reports on several daemons.
  std::vector<StreamVersionRecord> streams;
  // Roll-outs that the sender knows of, and time since a read by the sender itself found all their
  // orders.
  std::vector<rollout::ReportedRollout> rollouts;
  std::optional<Duration> rollout_orders_age;

  // Adds the time that the report was under way to the ages in it.
  void AddDelay(Duration delay) {
    routes_age += delay;
    feed_update_age += delay;
    if (holder_age) {
      *holder_age += delay;
    }
    if (rollout_orders_age) {
      *rollout_orders_age += delay;
    }
    for (rollout::ReportedRollout& rollout : rollouts) {
      rollout.order_age += delay;
      if (rollout.step_age) {
        *rollout.step_age += delay;
      }
    }
    for (ReportedRateLimit& limit : rate_limits) {
      limit.age += delay;
    }
    for (std::vector<ReportedNotice>* reported : {&notices, &rejections}) {
      for (ReportedNotice& notice : *reported) {
        notice.age += delay;
      }
    }
    for (std::vector<CrashRecord>* records : {&crashes, &path_crashes, &part_crashes}) {
      for (CrashRecord& record : *records) {
        for (UpstreamLoss& loss : record.losses) {
          loss.age += delay;
        }
        if (record.answer_age) {
          *record.answer_age += delay;
        }
      }
    }
  }
};

}  // namespace savoryglade::gateway
