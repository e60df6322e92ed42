#include "membership/membership.h"

#include <gtest/gtest.h>

#include "tests/membership/fleet_model.h"

namespace savoryglade::membership {
namespace {

MemberState StateOf(FleetModel& fleet, int observer, int daemon) {
  const auto member = fleet.node(observer).Find(fleet.Name(daemon));
  return member ? member->state : MemberState::kDead;
}

void ExpectAllAlive(FleetModel& fleet, int daemons) {
  for (int i = 0; i < daemons; ++i) {
    for (int j = 0; j < daemons; ++j) {
      if (i != j) {
        EXPECT_EQ(StateOf(fleet, i, j), MemberState::kAlive) << i << " sees " << j;
      }
    }
  }
}

// Guards against daemons that discover only their own failure domain.
TEST(Membership, EveryDaemonDiscoversAllOthers) {
  FleetModel fleet({.domains = 4, .daemons = 12});
  fleet.clock().RunUntil(TimePoint(5s));
  ExpectAllAlive(fleet, 12);
  EXPECT_TRUE(fleet.node(0).is_representative());
  EXPECT_FALSE(fleet.node(4).is_representative());
}

// Guards against late detection of a failure, within the failure domain and in others.
TEST(Membership, ACrashedDaemonIsDeadWithinFiveSecondsInItsFailureDomain) {
  FleetModel fleet({.domains = 2, .daemons = 6});
  fleet.clock().RunUntil(TimePoint(10s));
  fleet.Stop(2);
  fleet.clock().RunUntil(TimePoint(12s));
  EXPECT_EQ(StateOf(fleet, 0, 2), MemberState::kAlive);
  fleet.clock().RunUntil(TimePoint(15s));
  EXPECT_EQ(StateOf(fleet, 0, 2), MemberState::kDead);
  EXPECT_EQ(StateOf(fleet, 4, 2), MemberState::kDead);
  fleet.clock().RunUntil(TimePoint(17s));
  EXPECT_EQ(StateOf(fleet, 1, 2), MemberState::kDead);
  EXPECT_EQ(StateOf(fleet, 5, 2), MemberState::kDead);
}

// Guards against declaring a whole failure domain dead when only its representative is.
TEST(Membership, TheNextLowestIdReplacesADeadRepresentative) {
  FleetModel fleet({.domains = 2, .daemons = 6});
  fleet.clock().RunUntil(TimePoint(10s));
  fleet.Observe([&fleet](int observer, const MemberChange& change) {
    if (change.member.state == MemberState::kDead) {
      EXPECT_EQ(change.member.daemon, fleet.Name(0)) << observer;
    }
  });
  fleet.Stop(0);
  fleet.clock().RunUntil(TimePoint(30s));
  EXPECT_TRUE(fleet.node(2).is_representative());
  EXPECT_EQ(StateOf(fleet, 5, 0), MemberState::kDead);
  EXPECT_EQ(StateOf(fleet, 5, 2), MemberState::kAlive);
}

// Guards against a restarted daemon that is rejected or mistaken for the previous process at the
// same address.
TEST(Membership, ARestartedDaemonIsAcceptedWithItsHigherIncarnation) {
  FleetModel fleet({.domains = 2, .daemons = 4});
  fleet.clock().RunUntil(TimePoint(10s));
  fleet.Stop(2);
  fleet.clock().RunUntil(TimePoint(11s));
  fleet.Start(2);
  fleet.clock().RunUntil(TimePoint(13s));
  const auto member = fleet.node(0).Find(fleet.Name(2));
  ASSERT_TRUE(member.has_value());
  EXPECT_EQ(member->incarnation, 11001U);
  EXPECT_EQ(member->state, MemberState::kAlive);
  ExpectAllAlive(fleet, 4);
}

// Guards against a daemon that is ignored permanently because its clock went back before a restart.
TEST(Membership, ARestartedDaemonWithAClockThatWentBackIsAccepted) {
  FleetModel fleet({.domains = 1, .daemons = 3});
  fleet.clock().RunUntil(TimePoint(10s));
  fleet.Stop(2);
  fleet.clock().RunUntil(TimePoint(20s));
  fleet.Start(2, 0);
  fleet.clock().RunUntil(TimePoint(25s));
  EXPECT_GT(fleet.node(2).incarnation(), 1U);
  ExpectAllAlive(fleet, 3);
}

// Guards against a paused daemon that continues with an incarnation that others have declared dead,
// and that declares all others dead because of its own pause.
TEST(Membership, APausedDaemonThatWasDeclaredDeadTakesAHigherIncarnation) {
  FleetModel fleet({.domains = 2, .daemons = 6});
  fleet.clock().RunUntil(TimePoint(10s));
  const std::uint64_t before = fleet.node(2).incarnation();
  fleet.Pause(2);
  fleet.clock().RunUntil(TimePoint(20s));
  EXPECT_EQ(StateOf(fleet, 0, 2), MemberState::kDead);
  fleet.Observe([](int observer, const MemberChange& change) {
    EXPECT_NE(change.member.state, MemberState::kDead) << observer;
  });
  fleet.Resume(2);
  fleet.clock().RunUntil(TimePoint(25s));
  EXPECT_GT(fleet.node(2).incarnation(), before);
  ExpectAllAlive(fleet, 6);
}

// Guards against failure domains that stay disconnected after a partition has ended.
TEST(Membership, FailureDomainsReconnectAfterAPartition) {
  FleetModel fleet({.domains = 3, .daemons = 9});
  fleet.clock().RunUntil(TimePoint(10s));
  fleet.SetPartitioned(0, 1, true);
  fleet.clock().RunUntil(TimePoint(40s));
  for (const int daemon : {1, 4, 7}) {
    EXPECT_EQ(StateOf(fleet, 0, daemon), MemberState::kDead);
    EXPECT_EQ(StateOf(fleet, 2, daemon), MemberState::kAlive);
  }
  fleet.SetPartitioned(0, 1, false);
  fleet.clock().RunUntil(TimePoint(60s));
  ExpectAllAlive(fleet, 9);
}

// Guards against declaring a daemon dead because of message loss alone, when five consecutive
// heartbeats are lost.
TEST(Membership, ASuspectIsProbedBeforeItIsDeclaredDead) {
  const DaemonId peer("peer");
  const FailureDomainId domain("verona");
  Membership membership(DaemonId("self"), domain, 1, {}, TimePoint{});
  membership.SetPeers({{.daemon = peer, .failure_domain = domain}}, TimePoint{});
  membership.OnHeartbeat({.daemon = peer, .failure_domain = domain, .incarnation = 1}, TimePoint{});
  int probes = 0;
  for (Duration t = 0s; t < 4900ms; t += 50ms) {
    membership.Tick(TimePoint(t));
    for (const DueHeartbeat& heartbeat : membership.TakeDueHeartbeats(TimePoint(t))) {
      probes += heartbeat.answer_wanted ? 1 : 0;
    }
  }
  EXPECT_GE(probes, 7);
  EXPECT_EQ(membership.Find(peer)->state, MemberState::kSuspect);
  membership.Tick(TimePoint(4900ms));
  EXPECT_EQ(membership.Find(peer)->state, MemberState::kDead);
}

// Guards against sending the view with every heartbeat, which would exceed 8 KB/s.
TEST(Membership, AConfirmedViewIsNotSentAgain) {
  FleetModel fleet({.domains = 4, .daemons = 16});
  fleet.clock().RunUntil(TimePoint(10s));
  const std::uint64_t before = fleet.heartbeats();
  for (int i = 0; i < 16; ++i) {
    for (int j = 0; j < 16; ++j) {
      if (i != j) {
        EXPECT_TRUE(fleet.node(i).MakeHeartbeat(fleet.Name(j), false).members.empty() ||
                    !fleet.node(i).ShouldConnect(fleet.Name(j)));
      }
    }
  }
  fleet.clock().RunUntil(TimePoint(20s));
  // One heartbeat per second in each direction: 4 x 4 x 3 in the failure domains, 4 x 3 between
  // them.
  EXPECT_LE(fleet.heartbeats() - before, 10U * 60U);
}

// Guards against a daemon that stays undiscovered because it is in no list and only the
// representative knows it, for example because it started during an outage of the platform.
TEST(Membership, ADaemonDiscoversMembersOfItsDomainFromTheRepresentative) {
  const FailureDomainId domain("verona");
  Membership lowest(DaemonId("a"), domain, 1, {}, TimePoint{});
  Membership late(DaemonId("c"), domain, 1, {}, TimePoint{});
  lowest.SetPeers({{.daemon = DaemonId("b"), .failure_domain = domain, .address = "127.0.0.1:2"}},
                  TimePoint{});
  lowest.OnHeartbeat({.daemon = DaemonId("b"), .failure_domain = domain, .incarnation = 1},
                     TimePoint{});
  late.SetPeers({{.daemon = DaemonId("a"), .failure_domain = domain}}, TimePoint{});
  lowest.OnHeartbeat(late.MakeHeartbeat(DaemonId("a"), false), TimePoint{});
  late.OnHeartbeat(lowest.MakeHeartbeat(DaemonId("c"), false), TimePoint{});
  ASSERT_TRUE(late.Find(DaemonId("b")).has_value());
  EXPECT_EQ(late.Find(DaemonId("b"))->address, "127.0.0.1:2");
  EXPECT_TRUE(late.ShouldConnect(DaemonId("b")));
  EXPECT_EQ(late.Find(DaemonId("b"))->state, MemberState::kSuspect);
}

// Guards against a suspicion that other failure domains keep forever, because its end is not sent.
TEST(Membership, ASuspicionIsNotSentToOthers) {
  const FailureDomainId domain("verona");
  const DaemonId peer("peer");
  const DaemonId remote("remote");
  Membership membership(DaemonId("a"), domain, 1, {}, TimePoint{});
  membership.OnHeartbeat({.daemon = peer, .failure_domain = domain, .incarnation = 1}, TimePoint{});
  membership.OnHeartbeat(
      {.daemon = remote, .failure_domain = FailureDomainId("mantova"), .incarnation = 1},
      TimePoint{});
  membership.Tick(TimePoint(900ms));
  membership.Tick(TimePoint(1800ms));
  membership.Tick(TimePoint(2700ms));
  membership.Tick(TimePoint(3500ms));
  ASSERT_EQ(membership.Find(peer)->state, MemberState::kSuspect);
  for (const Member& member : membership.MakeHeartbeat(remote, false).members) {
    EXPECT_EQ(member.state, MemberState::kAlive) << member.daemon.value();
  }
}

// Guards against keeping a dead daemon forever after its VM has been removed from the VM list.
TEST(Membership, ADeadDaemonThatIsNoLongerListedIsRemoved) {
  const DaemonId peer("peer");
  const FailureDomainId domain("verona");
  Membership membership(DaemonId("self"), domain, 1, {}, TimePoint{});
  membership.SetPeers({{.daemon = peer, .failure_domain = domain}}, TimePoint{});
  membership.SetPeers({}, TimePoint(1s));
  EXPECT_TRUE(membership.Find(peer).has_value());
  for (Duration t = 1s; t < 6s; t += 50ms) {
    membership.Tick(TimePoint(t));
  }
  membership.SetPeers({}, TimePoint(6s));
  EXPECT_FALSE(membership.Find(peer).has_value());
}

}  // namespace
}  // namespace savoryglade::membership
