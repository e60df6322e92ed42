#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "bench/fleet/measures.h"
#include "tests/membership/fleet_model.h"

namespace savoryglade::bench {
namespace {

using membership::FleetModel;
using membership::MemberChange;
using membership::MemberState;

constexpr int kSeeds = 10;
constexpr double kLossRate = 0.02;
constexpr Duration kDowntime = 20s;

struct FleetCase {
  int daemons;
  int domains;
  Duration length;
  Duration failure_interval;
};

struct Outcome {
  std::uint64_t seed = 0;
  // Longest times until all live daemons of the failure domain, and of the fleet, detect a failure.
  double max_detection_s_in_domain = 0;
  double max_detection_s_in_fleet = 0;
  int failures = 0;
  int false_detections = 0;
  double heartbeats_per_second = 0;
};

Outcome Run(const FleetCase& c, std::uint64_t seed) {
  FleetModel fleet({.domains = c.domains,
                    .daemons = c.daemons,
                    .loss = kLossRate,
                    .tick = c.daemons > 100 ? 100ms : 50ms,
                    .seed = seed});
  Outcome outcome = {.seed = seed};
  Random random(seed * 1000 + 1);
  int stopped = -1;
  TimePoint stopped_at;
  fleet.Observe([&](int observer, const MemberChange& change) {
    if (change.member.state != MemberState::kDead) {
      return;
    }
    const int failed = fleet.IndexOf(change.member.daemon);
    if (fleet.running(failed)) {
      // Only a report about the running incarnation is false; older incarnations are dead.
      outcome.false_detections +=
          change.member.incarnation == fleet.node(failed).incarnation() ? 1 : 0;
      return;
    }
    if (failed != stopped) {
      return;
    }
    const double time = ToSeconds(fleet.clock().now() - stopped_at);
    outcome.max_detection_s_in_fleet = std::max(outcome.max_detection_s_in_fleet, time);
    if (fleet.Domain(observer) == fleet.Domain(failed)) {
      outcome.max_detection_s_in_domain = std::max(outcome.max_detection_s_in_domain, time);
    }
  });
  fleet.clock().RunUntil(TimePoint(10s));
  while (fleet.clock().now() + c.failure_interval <= TimePoint(c.length)) {
    const TimePoint next = fleet.clock().now() + c.failure_interval;
    stopped = static_cast<int>(random.UniformInt(static_cast<std::uint64_t>(c.daemons)));
    fleet.clock().RunUntil(fleet.clock().now() + FromSeconds(random.UniformReal()));
    stopped_at = fleet.clock().now();
    fleet.Stop(stopped);
    ++outcome.failures;
    fleet.clock().RunUntil(stopped_at + kDowntime);
    fleet.Start(stopped);
    fleet.clock().RunUntil(next);
  }
  outcome.heartbeats_per_second = static_cast<double>(fleet.heartbeats()) /
                                  ToSeconds(fleet.clock().now().time_since_epoch()) / c.daemons;
  return outcome;
}

void PrintMedianAndWorst(const FleetCase& c, const std::string& name, const std::string& unit,
                         std::vector<Outcome> outcomes, double (*value)(const Outcome&)) {
  std::sort(outcomes.begin(), outcomes.end(),
            [value](const Outcome& a, const Outcome& b) { return value(a) < value(b); });
  const Outcome& median = outcomes[outcomes.size() / 2];
  const Outcome& worst = outcomes.back();
  const std::string prefix = fmt::format("{} daemons, {} failure domains, {} s, 2% loss: {}",
                                         c.daemons, c.domains, c.length / 1s, name);
  const double no_baseline = std::numeric_limits<double>::quiet_NaN();
  Print({"membership", prefix + ", median", no_baseline, value(median), unit,
         fmt::to_string(median.seed)});
  Print({"membership", prefix + ", worst", no_baseline, value(worst), unit,
         fmt::to_string(worst.seed)});
}

}  // namespace

int RunMembership() {
  for (const FleetCase& c : {FleetCase{8, 4, 1h, 60s}, FleetCase{350, 28, 60s, 45s}}) {
    std::vector<Outcome> outcomes;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      outcomes.push_back(Run(c, seed));
    }
    PrintMedianAndWorst(c, "slowest detection in the failure domain", "s", outcomes,
                        [](const Outcome& o) { return o.max_detection_s_in_domain; });
    PrintMedianAndWorst(c, "slowest detection in the fleet", "s", outcomes,
                        [](const Outcome& o) { return o.max_detection_s_in_fleet; });
    PrintMedianAndWorst(c, "false detections", "count", outcomes,
                        [](const Outcome& o) { return static_cast<double>(o.false_detections); });
    PrintMedianAndWorst(c, "failures", "count", outcomes,
                        [](const Outcome& o) { return static_cast<double>(o.failures); });
    PrintMedianAndWorst(c, "heartbeats sent by each daemon", "1/s", outcomes,
                        [](const Outcome& o) { return o.heartbeats_per_second; });
  }
  return 0;
}

}  // namespace savoryglade::bench
