#include "membership/fleet_groups.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "membership/feed_schedule.h"

namespace savoryglade {
namespace {

TimePoint At(Duration time) { return TimePoint(100s) + time; }

FleetDaemon Daemon(int domain, int number, std::uint64_t memory = 1) {
  const std::string name = "daemon-" + std::to_string(domain) + "-" + std::to_string(number);
  return {.id = DaemonId(name),
          .failure_domain = FailureDomainId("domain-" + std::to_string(domain)),
          .memory_bytes = memory};
}

DaemonId Id(int domain, int number) { return Daemon(domain, number).id; }

// Returns the groups as seen by a daemon of domain 0 in a fleet of domains x members daemons.
FleetGroups MakeGroups(int domains, int members, int self = 0) {
  FleetGroups groups(Daemon(0, self), {});
  for (int domain = 0; domain < domains; ++domain) {
    for (int number = 0; number < members; ++number) {
      groups.AddDaemon(Daemon(domain, number));
    }
  }
  return groups;
}

TEST(FleetGroupsTest, ASmallFleetIsOneGroup) {
  FleetGroups groups = MakeGroups(4, 4);
  EXPECT_EQ(groups.daemons(), 16);
  EXPECT_FALSE(groups.grouped());
  EXPECT_EQ(groups.Group().size(), 15U);
  EXPECT_FALSE(groups.IsRepresentative(At(0s)));
}

// Guards against a number of reports that grows with the square of the fleet size.
TEST(FleetGroupsTest, InALargeFleetADaemonReportsToItsDomainAndOtherRepresentatives) {
  FleetGroups groups = MakeGroups(28, 13);
  EXPECT_TRUE(groups.grouped());
  EXPECT_EQ(groups.Group().size(), 12U);
  EXPECT_TRUE(groups.IsRepresentative(At(0s)));
  EXPECT_EQ(groups.Representatives(At(0s)).size(), 2U * 27);
  for (int domain = 1; domain < 28; ++domain) {
    groups.OnSummary(Id(domain, 5), At(0s));
  }
  EXPECT_EQ(groups.Representatives(At(0s)).size(), 27U);
}

TEST(FleetGroupsTest, LiveDaemonsOfAGroupAreThoseThatReportedRecently) {
  FleetGroups groups = MakeGroups(3, 8);
  EXPECT_EQ(groups.Domains().size(), 3U);
  EXPECT_TRUE(groups.LiveGroup(At(0s)).empty());
  groups.OnReport(Id(0, 1), At(0s));
  groups.OnReport(Id(0, 2), At(600ms));
  groups.OnReport(Id(1, 1), At(600ms));
  EXPECT_EQ(groups.LiveGroup(At(1s)), (std::vector<DaemonId>{Id(0, 1), Id(0, 2)}));
  EXPECT_EQ(groups.LiveGroup(At(1500ms)), (std::vector<DaemonId>{Id(0, 2)}));
}

TEST(FleetGroupsTest, TheFirstLiveDaemonRepresentsItsDomain) {
  FleetGroups groups = MakeGroups(2, 10, 3);
  EXPECT_TRUE(groups.IsRepresentative(At(0s)));
  groups.OnReport(Id(0, 2), At(0s));
  groups.OnReport(Id(0, 7), At(0s));
  EXPECT_EQ(groups.Rank(At(500ms)), 1);
  EXPECT_FALSE(groups.IsRepresentative(At(500ms)));
  EXPECT_TRUE(groups.IsRepresentative(At(2s)));
}

TEST(FleetGroupsTest, DaemonsWithMoreMemoryPrecedeOthers) {
  FleetGroups groups = MakeGroups(2, 10);
  groups.AddDaemon(Daemon(0, 9, 512));
  groups.OnReport(Id(0, 9), At(0s));
  EXPECT_FALSE(groups.IsRepresentative(At(0s)));
}

// Guards against a domain that is never reached because its first daemons have stopped.
TEST(FleetGroupsTest, WithoutSummariesFromADomainItsDaemonsAreContactedInRotation) {
  FleetGroups groups = MakeGroups(2, 10);
  std::vector<DaemonId> reached;
  for (int i = 0; i < 10; ++i) {
    for (const DaemonId& daemon : groups.Representatives(At(0s))) {
      if (std::ranges::find(reached, daemon) == reached.end()) {
        reached.push_back(daemon);
      }
    }
  }
  EXPECT_EQ(reached.size(), 10U);
}

// Guards against a daemon that knows too few others to use groups, is considered the representative
// by the others, and does not act as one.
TEST(FleetGroupsTest, ASummaryMakesADaemonUseGroups) {
  FleetGroups groups = MakeGroups(4, 2);
  EXPECT_FALSE(groups.grouped());
  groups.OnSummary(Id(1, 0), At(0s));
  EXPECT_TRUE(groups.grouped());
  EXPECT_TRUE(groups.IsRepresentative(At(0s)));
  EXPECT_EQ(groups.Group().size(), 1U);
}

// Guards against counting a domain twice while two of its daemons send summaries.
TEST(FleetGroupsTest, OnlyTheSummaryOfADomainsFirstDaemonIsUsed) {
  FleetGroups groups = MakeGroups(2, 10);
  groups.OnSummary(Id(1, 4), At(0s));
  EXPECT_TRUE(groups.Represents(Id(1, 4), At(0s)));
  groups.OnSummary(Id(1, 2), At(100ms));
  EXPECT_FALSE(groups.Represents(Id(1, 4), At(100ms)));
  EXPECT_TRUE(groups.Represents(Id(1, 2), At(100ms)));
  EXPECT_TRUE(groups.Represents(Id(1, 4), At(2s)));
}

// Guards against every daemon reading the same table, and against a view that exceeds its maximum
// age in a daemon that receives no updates.
TEST(FeedScheduleTest, ReadsAreDelayedByRankUpToTheMaximumAge) {
  FeedSchedule schedule({.first_read_age = 600ms, .max_age = 900ms, .rank_steps = 3});
  schedule.OnConfirmed(At(0s));
  EXPECT_EQ(schedule.DueAt(0), At(600ms));
  EXPECT_EQ(schedule.DueAt(1), At(700ms));
  EXPECT_EQ(schedule.DueAt(50), At(900ms));
  schedule.OnConfirmed(At(500ms));
  schedule.OnConfirmed(At(400ms));
  EXPECT_EQ(schedule.DueAt(0), At(1100ms));
}

}  // namespace
}  // namespace savoryglade
