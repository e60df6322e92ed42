#include "gateway/report_exchange.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/prefix_hash.h"
#include "gateway/digest_codec.h"

namespace savoryglade::gateway {
namespace {

const AccountId kDrivers("drivers");
const ServiceId kModel("model");
const UpstreamId kEngine("engine");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

// Daemons of several failure domains on a virtual clock, which exchange reports within their groups
// as PeerReportTransport does.
class GroupedFleet {
 public:
  GroupedFleet(int domains, int members) {
    for (int domain = 0; domain < domains; ++domain) {
      for (int number = 0; number < members; ++number) {
        GatewaySettings settings{
            .daemon = DaemonId("daemon-" + std::to_string(domain) + "-" + std::to_string(number)),
            .failure_domain = FailureDomainId("domain-" + std::to_string(domain))};
        settings.bounds.usage_window = 5s;
        auto fleet = std::make_unique<FleetState>(settings, nodes_.size() + 1, 1'000'000s, At(0s));
        RouteDocument document;
        document.accounts.push_back({.name = kDrivers, .rate = 1000, .burst = 1000});
        document.services.push_back({.name = kModel});
        fleet->rate_limiter.Configure(document.accounts, At(0s));
        fleet->rate_limiter.SetDaemonCount(domains * members);
        fleet->routes = std::make_shared<const RouteTable>(std::move(document));
        fleet->load_balancer.Update(
            {.id = kEngine, .service = kModel, .address = "127.0.0.1:1", .slots = 1000});
        fleet->work.Add(kModel, 0);
        nodes_.push_back({.fleet = std::move(fleet)});
        nodes_.back().exchange = std::make_unique<ReportExchange>(*nodes_.back().fleet);
      }
    }
    for (Node& node : nodes_) {
      for (const Node& other : nodes_) {
        node.fleet->groups.AddDaemon(other.fleet->Self());
      }
    }
  }

  FleetState& fleet(std::size_t i) { return *nodes_[i].fleet; }
  std::size_t size() const { return nodes_.size(); }
  std::size_t datagrams() const { return datagrams_; }
  void Kill(std::size_t i) { nodes_[i].alive = false; }

  // Sets the time that a report takes to arrive.
  void SetTransitTime(Duration transit_time) { transit_time_ = transit_time; }

  // Runs one round of reports from each live daemon. Each daemon sends once the report of the one
  // before has arrived.
  void ExchangeReports(TimePoint now) {
    for (Node& node : nodes_) {
      now += transit_time_;
      if (!node.alive) {
        continue;
      }
      FleetGroups& groups = node.fleet->groups;
      Send(node, ReportScope::kDaemon, groups.Group(), now);
      const bool representative = groups.IsRepresentative(now);
      if (representative != node.representative) {
        node.representative = representative;
        node.exchange->DropScope(representative ? ReportScope::kBeyond : ReportScope::kDomain);
      }
      if (representative) {
        Send(node, ReportScope::kDomain, groups.Representatives(now), now);
        Send(node, ReportScope::kBeyond, groups.Group(), now);
      }
    }
  }

 private:
  struct Node {
    std::unique_ptr<FleetState> fleet;
    std::unique_ptr<ReportExchange> exchange;
    bool alive = true;
    bool representative = false;
  };

  void Send(Node& from, ReportScope scope, const std::vector<DaemonId>& receivers, TimePoint now) {
    const std::string datagram = EncodeDigest(from.exchange->BuildReport(scope, true, now));
    for (Node& to : nodes_) {
      const DaemonId& id = to.fleet->settings.daemon;
      if (!to.alive || std::ranges::find(receivers, id) == receivers.end()) {
        continue;
      }
      ++datagrams_;
      const Result<FleetReport> report = DecodeDigest(datagram);
      ASSERT_TRUE(report);
      FleetGroups& groups = to.fleet->groups;
      if (scope == ReportScope::kDaemon) {
        groups.OnReport(report->sender.id, now);
      } else {
        groups.OnSummary(report->sender.id, now);
      }
      if (scope == ReportScope::kDaemon || (scope == ReportScope::kDomain) == to.representative) {
        to.exchange->Apply(*report, now + transit_time_);
      }
    }
  }

  std::vector<Node> nodes_;
  std::size_t datagrams_ = 0;
  Duration transit_time_ = Duration::zero();
};

// Time within which all daemons have to refuse a request that has crashed three upstreams.
constexpr Duration kRefusalDelay = 3s;
constexpr Duration kReportInterval = 150ms;
constexpr std::uint64_t kCrashingRequest = 7;

// Guards against orders, steps or counts of roll-outs that do not pass from one failure domain to
// another, and against counts that are summed twice or lost with their daemon.
TEST(ReportExchangeTest, RolloutsReachAllDaemonsOfAGroupedFleet) {
  GroupedFleet fleet(3, 8);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.fleet(i).rollouts.SetBounds(
        {.exposure_share = 0.1, .exposure_allowance = 50, .rollback = 5s});
  }
  fleet.fleet(3).rollouts.OnOrder({.service = kModel, .to = "v2", .duration = 12s, .version = 1},
                                  Duration::zero(), At(0s));
  constexpr int kRounds = 4;
  TimePoint now = At(0s);
  const auto exchange = [&] {
    for (int i = 0; i < kRounds; ++i, now += kReportInterval) {
      fleet.ExchangeReports(now);
    }
  };
  exchange();
  constexpr std::uint64_t kRoute = 7;
  std::uint32_t sent = 0;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    ASSERT_NE(fleet.fleet(i).rollouts.Find(kModel), nullptr) << i;
    EXPECT_EQ(fleet.fleet(i).rollouts.Find(kModel)->ordered_at, At(0s)) << i;
    for (std::size_t request = 0; request <= i; ++request, ++sent) {
      fleet.fleet(i).rollouts.OnRequest(kModel, kRoute);
    }
  }
  exchange();
  fleet.Kill(9);
  rollout::RolloutDirectory& leader = fleet.fleet(20).rollouts;
  leader.Publish(kModel,
                 {.fencing = 1, .stage = rollout::RolloutStage::kRamp, .share = 1, .upstreams = 1},
                 now);
  const TimePoint published_at = now;
  exchange();
  EXPECT_EQ(rollout::SumOf(leader.Find(kModel)->ledger.Total()).requests, sent);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const rollout::RolloutDirectory& rollouts = fleet.fleet(i).rollouts;
    // The daemon that was killed has not heard of the step.
    EXPECT_EQ(rollouts.Admits(kModel, kRoute, 0, now), i != 9) << i;
    EXPECT_FALSE(rollouts.Admits(kModel, kRoute, 0, published_at + 2001ms)) << i;
  }
}

// Guards against routes that the whole fleet believes to be the newest although no daemon reads the
// store any more.
TEST(ReportExchangeTest, RepeatedReportsDoNotRenewTheConfirmationOfRoutes) {
  GroupedFleet fleet(3, 8);
  fleet.SetTransitTime(5ms);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.fleet(i).routes_confirmed_at = At(0s);
  }
  fleet.fleet(0).routes_read_at = At(0s);
  for (Duration time = 0s; time < 5s; time += kReportInterval) {
    fleet.ExchangeReports(At(time));
  }
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    EXPECT_LE(fleet.fleet(i).routes_confirmed_at, At(10ms)) << i;
  }
}

// Guards against a daemon that has stopped and is charged as a silent one, if its usage is counted
// for as long as it drains.
TEST(ReportExchangeTest, UsageOfADrainingDaemonIsCountedUntilItsReportsEnd) {
  constexpr double kUnits = 10;
  GroupedFleet fleet(1, 2);
  AccountRateLimiter& limiter = fleet.fleet(0).rate_limiter;
  fleet.ExchangeReports(At(0s));
  fleet.fleet(1).drain.Begin(At(0s));
  limiter.SetDaemonCount(1);
  double taken = 0;
  for (Duration time = kReportInterval; time < 2s; time += kReportInterval) {
    taken += fleet.fleet(1).rate_limiter.TryAcquire(kDrivers, kUnits, At(time)) ? kUnits : 0;
    fleet.ExchangeReports(At(time));
  }
  EXPECT_EQ(limiter.UsageOf(ReportScope::kDomain, At(2s)).at(kDrivers).taken, taken);
  fleet.Kill(1);
  limiter.TryAcquire(kDrivers, kUnits, At(4s));
  limiter.UpdateRates(At(4s));
  // Without silent peers there is no limit to an even part.
  EXPECT_FALSE(limiter.StateOf(kDrivers, At(4s)).local_level);
}

// Guards against daemons that tell each other for ever that the holder of the duties is alive.
TEST(ReportExchangeTest, RepeatedReportsDoNotRenewTheAnnouncementOfTheDutyHolder) {
  GroupedFleet fleet(3, 8);
  fleet.SetTransitTime(5ms);
  fleet.fleet(0).holds_duties = true;
  Duration time = 0s;
  for (; time < 1s; time += kReportInterval) {
    fleet.ExchangeReports(At(time));
  }
  for (std::size_t i = 1; i < fleet.size(); ++i) {
    EXPECT_GT(fleet.fleet(i).holder_last_reported, At(0s)) << i;
  }
  fleet.Kill(0);
  const TimePoint stopped_at = At(time);
  for (; time < 6s; time += kReportInterval) {
    fleet.ExchangeReports(At(time));
  }
  for (std::size_t i = 1; i < fleet.size(); ++i) {
    EXPECT_LE(fleet.fleet(i).holder_last_reported, stopped_at + kReportInterval) << i;
  }
}

// Guards against a crash record that stays behind those of requests whose responses were lost for
// another reason.
TEST(ReportExchangeTest, CrashRecordsReachAllDaemonsWhileOtherResponsesAreLost) {
  GroupedFleet fleet(1, 8);
  std::uint64_t other = 1000;
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    fleet.fleet(crash).crash_registry.OnLoss(kCrashingRequest, 100 + crash, At(0s));
  }
  for (Duration time = Duration::zero(); time < kRefusalDelay; time += kReportInterval) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      for (int lost = 0; lost < 20; ++lost) {
        fleet.fleet(i).crash_registry.OnLoss(++other, 1, At(time));
      }
    }
    fleet.ExchangeReports(At(time));
  }
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    EXPECT_TRUE(fleet.fleet(i).crash_registry.IsRefused(kCrashingRequest, At(kRefusalDelay))) << i;
  }
}

TEST(ReportExchangeTest, DaemonThatJoinsLearnsOfCrashingRequestsBehindNewerRecords) {
  GroupedFleet fleet(2, 10);
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    fleet.fleet(0).crash_registry.OnLoss(kCrashingRequest, 100 + crash, At(0s));
  }
  for (std::uint64_t other = 1000; other < 1100; ++other) {
    fleet.fleet(0).crash_registry.OnLoss(other, 1, At(1s));
  }
  for (Duration time = Duration::zero(); time < kRefusalDelay; time += kReportInterval) {
    fleet.ExchangeReports(At(2s + time));
  }
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    EXPECT_TRUE(fleet.fleet(i).crash_registry.IsRefused(kCrashingRequest, At(2s + kRefusalDelay)))
        << i;
  }
}

// Guards against a crashing request that ends one upstream after the other when a refusal is over,
// because each daemon tests it again on its own.
TEST(ReportExchangeTest, RequestIsTestedByOneDaemonAtATimeAfterItsRefusal) {
  constexpr Duration kStep = 10ms;
  constexpr Duration kRunTime = 100ms;
  constexpr Duration kDay = 200s;
  constexpr int kAllowedSends = 3;
  // Interval in which callers send the request to each daemon.
  constexpr Duration kReturnInterval = 500ms;
  for (std::uint64_t request = 1; request <= 20; ++request) {
    GroupedFleet fleet(2, 3);
    std::multimap<Duration, std::size_t> runs;
    std::uint64_t crashes = 0;
    std::optional<Duration> third_crash;
    int late_sends = 0;
    Duration next_report = 0s;
    for (Duration time = 0s; time < kDay; time += kStep) {
      for (; !runs.empty() && runs.begin()->first <= time; runs.erase(runs.begin())) {
        fleet.fleet(runs.begin()->second).crash_registry.OnLoss(request, ++crashes, At(time));
        third_crash = crashes == 3 ? time : third_crash;
      }
      if (time >= next_report) {
        fleet.ExchangeReports(At(time));
        next_report += kReportInterval;
      }
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        const Duration phase = kReturnInterval * static_cast<int>(i) / fleet.size() / kStep * kStep;
        if ((time + phase) % kReturnInterval == 0s &&
            !fleet.fleet(i).crash_registry.IsRefused(request, At(time))) {
          fleet.fleet(i).crash_registry.OnSent(request, At(time));
          runs.emplace(time + kRunTime, i);
          late_sends += third_crash && time > *third_crash + kRefusalDelay ? 1 : 0;
        }
      }
    }
    EXPECT_LE(late_sends, kAllowedSends) << "request " << request;
    EXPECT_GE(late_sends, 1) << "request " << request;
  }
}

// Guards against counts that are lost or counted twice on the way through the representatives.
TEST(ReportExchangeTest, PropagatesTheCountsOfEachDaemonToAllOthersOnce) {
  GroupedFleet fleet(4, 6);
  for (int round = 0; round < 8; ++round) {
    fleet.ExchangeReports(At(200ms * round));
  }
  const TimePoint now = At(2s);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.fleet(i).load_balancer.OnSent(kEngine, {.service = kModel, .prompt_tokens = 10}, 10, now);
    fleet.fleet(i).usage.OnRequestStarted(fleet.fleet(i).WindowAt(now), kDrivers);
    fleet.fleet(i).work.Add(kModel, 1);
  }
  for (int round = 0; round < 8; ++round) {
    fleet.ExchangeReports(now + 200ms * round);
  }
  const TimePoint end = now + 1600ms;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    FleetState& state = fleet.fleet(i);
    EXPECT_EQ(state.load_balancer.FreeSlots(kModel, end), 1000 - 24) << i;
    EXPECT_EQ(state.usage.Total(state.WindowAt(now)), (capacity::WindowCounts{{kDrivers, 24}}))
        << i;
    EXPECT_DOUBLE_EQ(state.work.Total(kModel), 24) << i;
    EXPECT_EQ(state.rate_limiter.ReportingDaemons(end), 24) << i;
  }
}

// Guards against losing the counts of a usage window when a representative is killed.
TEST(ReportExchangeTest, KeepsUsageCountsWhenARepresentativeStops) {
  GroupedFleet fleet(3, 6);
  const TimePoint now = At(1s);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.fleet(i).usage.OnRequestStarted(fleet.fleet(i).WindowAt(now), kDrivers);
  }
  for (int round = 0; round < 6; ++round) {
    fleet.ExchangeReports(now + 200ms * round);
  }
  fleet.Kill(0);
  for (int round = 6; round < 20; ++round) {
    fleet.ExchangeReports(now + 200ms * round);
  }
  for (std::size_t i = 1; i < fleet.size(); ++i) {
    FleetState& state = fleet.fleet(i);
    EXPECT_EQ(state.usage.Total(state.WindowAt(now)), (capacity::WindowCounts{{kDrivers, 18}}))
        << i;
  }
}

// Guards against losing the counts of the last second when a daemon is killed: every report, not
// only each full one, must include the counts that changed.
TEST(ReportExchangeTest, EachReportContainsOnlyChangedCounts) {
  GroupedFleet fleet(1, 2);
  FleetState& state = fleet.fleet(0);
  ReportExchange exchange(state);
  const auto window = state.WindowAt(At(5s));
  EXPECT_TRUE(exchange.BuildReport(ReportScope::kDaemon, true, At(5s)).begun.empty());
  state.usage.OnRequestStarted(window, kDrivers);
  const FleetReport first = exchange.BuildReport(ReportScope::kDaemon, false, At(5s));
  EXPECT_EQ(first.begun.size(), 1U);
  EXPECT_TRUE(exchange.BuildReport(ReportScope::kDaemon, false, At(5s)).begun.empty());
  ReportExchange other(fleet.fleet(1));
  other.Apply(first, At(5s));
  other.Apply(exchange.BuildReport(ReportScope::kDaemon, false, At(5s)), At(5s));
  EXPECT_EQ(fleet.fleet(1).usage.Total(window), (capacity::WindowCounts{{kDrivers, 1}}));
}

// Guards against counting a daemon's requests twice when a growing fleet becomes grouped: once from
// its own reports and once from the reports on its failure domain.
TEST(ReportExchangeTest, CountsADaemonOnceWhenItsDomainIsReported) {
  GroupedFleet fleet(2, 2);
  FleetState& local = fleet.fleet(0);
  FleetState& remote = fleet.fleet(2);
  const auto window = local.WindowAt(At(5s));
  remote.usage.OnRequestStarted(window, kDrivers);
  ReportExchange exchange(local);
  exchange.Apply(ReportExchange(remote).BuildReport(ReportScope::kDaemon, true, At(5s)), At(5s));
  exchange.DropDaemonReports(remote.settings.daemon);
  exchange.Apply(ReportExchange(remote).BuildReport(ReportScope::kDomain, true, At(5s)), At(5s));
  EXPECT_EQ(local.usage.Total(window), (capacity::WindowCounts{{kDrivers, 1}}));
}

// Guards against exceeding the allowance when one account sends many times its rate through all
// daemons of a grouped fleet, and a representative is killed meanwhile.
TEST(ReportExchangeTest, LimitsABusyAccountToItsAllowanceInAGroupedFleet) {
  GroupedFleet fleet(4, 10);
  constexpr Duration kStep = 10ms;
  constexpr Duration kWindow = 8s;
  constexpr double kUnits = 5;
  constexpr double kRate = 1000;
  std::map<TimePoint, double> taken;
  double sum = 0;
  double peak = 0;
  for (Duration time = 0s; time < 40s; time += kStep) {
    const TimePoint now = At(time);
    if (time == 20s) {
      fleet.Kill(0);
    }
    for (std::size_t i = time < 20s ? 0 : 1; i < fleet.size(); ++i) {
      if (fleet.fleet(i).rate_limiter.TryAcquire(kDrivers, kUnits, now)) {
        taken[now] += kUnits;
        sum += kUnits;
      }
    }
    while (!taken.empty() && now - taken.begin()->first >= kWindow) {
      sum -= taken.begin()->second;
      taken.erase(taken.begin());
    }
    peak = time > 10s ? std::max(peak, sum) : peak;
    if (time % 200ms == 0ms) {
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.fleet(i).rate_limiter.UpdateRates(now);
      }
      fleet.ExchangeReports(now);
    }
  }
  EXPECT_LE(peak, (kRate * 8 + kRate) * 1.1);
  EXPECT_GE(peak, kRate * 8 * 0.8);
}

// Guards against a number of datagrams that grows with the square of the fleet size.
TEST(ReportExchangeTest, DatagramCountGrowsLinearlyWithTheDomains) {
  GroupedFleet small(4, 10);
  GroupedFleet large(8, 10);
  for (int round = 0; round < 20; ++round) {
    small.ExchangeReports(At(200ms * round));
    large.ExchangeReports(At(200ms * round));
  }
  EXPECT_LT(static_cast<double>(large.datagrams()), 2.3 * static_cast<double>(small.datagrams()));
}

constexpr std::uint64_t kV1 = Fnv1aHash("v1");
constexpr std::uint64_t kV2 = Fnv1aHash("v2");

// Lets two versions of the service serve at a daemon, so that it reports its streams.
void RegisterVersions(FleetState& fleet) {
  fleet.stream_versions.OnUpstream(kEngine, kModel, kV1, At(0s));
  fleet.stream_versions.OnUpstream(UpstreamId("engine-2"), kModel, kV2, At(0s));
  fleet.stream_versions.OnViewConfirmed(At(0s));
}

StreamOrigin OriginAt(FleetState& fleet, const std::string& attempt, TimePoint now) {
  return fleet.stream_versions.Find(attempt, kModel, now);
}

// Guards against a stream that goes on at another version because its daemon was killed.
TEST(ReportExchangeTest, VersionOfAStreamIsKnownToTheGroupWhenItsDaemonIsKilled) {
  GroupedFleet fleet(2, 12);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    RegisterVersions(fleet.fleet(i));
  }
  fleet.fleet(0).stream_versions.OnStreamBegan("a1", kModel, kV2, At(1s));
  fleet.ExchangeReports(At(1s));
  fleet.Kill(0);
  for (std::size_t i = 1; i < fleet.size(); ++i) {
    const StreamOrigin origin = OriginAt(fleet.fleet(i), "a1", At(2s));
    // Daemons of another failure domain hear of sums only, and refuse.
    EXPECT_EQ(origin.known(), i < 12) << i;
    EXPECT_EQ(origin.version, i < 12 ? kV2 : 0) << i;
  }
}

// Guards against a stream that goes on at any version because its daemon was killed before its next
// report.
TEST(ReportExchangeTest, VersionThatWasNotReportedIsUnknownToTheGroup) {
  GroupedFleet fleet(1, 2);
  RegisterVersions(fleet.fleet(0));
  RegisterVersions(fleet.fleet(1));
  fleet.ExchangeReports(At(1s));
  fleet.fleet(0).stream_versions.OnStreamBegan("a1", kModel, kV2, At(1s));
  fleet.Kill(0);
  fleet.ExchangeReports(At(1s + kReportInterval));
  EXPECT_FALSE(OriginAt(fleet.fleet(1), "a1", At(2s)).known());
}

// Guards against refusals of all streams whose first report was lost.
TEST(ReportExchangeTest, VersionOfAStreamIsKnownAfterTwoLostReports) {
  GroupedFleet fleet(1, 2);
  RegisterVersions(fleet.fleet(0));
  ReportExchange exchange(fleet.fleet(0));
  ReportExchange other(fleet.fleet(1));
  fleet.fleet(0).stream_versions.OnStreamBegan("a1", kModel, kV2, At(1s));
  exchange.BuildReport(ReportScope::kDaemon, true, At(1s));
  exchange.BuildReport(ReportScope::kDaemon, false, At(1s + kReportInterval));
  const TimePoint now = At(1s + 2 * kReportInterval);
  other.Apply(exchange.BuildReport(ReportScope::kDaemon, false, now), now);
  EXPECT_EQ(OriginAt(fleet.fleet(1), "a1", now).version, kV2);
}

// Guards against records that are sent to daemons that receive a sum of many daemons only.
TEST(ReportExchangeTest, ReportsOnSeveralDaemonsContainNoStreams) {
  GroupedFleet fleet(2, 12);
  RegisterVersions(fleet.fleet(0));
  ReportExchange exchange(fleet.fleet(0));
  fleet.fleet(0).stream_versions.OnStreamBegan("a1", kModel, kV2, At(1s));
  EXPECT_TRUE(exchange.BuildReport(ReportScope::kDomain, true, At(1s)).streams.empty());
  EXPECT_TRUE(exchange.BuildReport(ReportScope::kBeyond, true, At(1s)).streams.empty());
  EXPECT_EQ(exchange.BuildReport(ReportScope::kDaemon, true, At(1s)).streams.size(), 1U);
}

// Guards against partial reports that include accounts without requests since the last report.
TEST(ReportExchangeTest, OmitsIdleAccountsFromPartialReports) {
  GroupedFleet fleet(1, 2);
  ReportExchange exchange(fleet.fleet(0));
  EXPECT_EQ(exchange.BuildReport(ReportScope::kDaemon, true, At(5s)).allowances.size(), 1U);
  EXPECT_TRUE(exchange.BuildReport(ReportScope::kDaemon, false, At(5s)).allowances.empty());
  fleet.fleet(0).rate_limiter.TryAcquire(kDrivers, 10, At(5s));
  EXPECT_EQ(exchange.BuildReport(ReportScope::kDaemon, false, At(5s)).allowances.size(), 1U);
  EXPECT_TRUE(exchange.BuildReport(ReportScope::kDaemon, false, At(5s)).allowances.empty());
}

}  // namespace
}  // namespace savoryglade::gateway
