#include "membership/config_replica.h"

#include <gtest/gtest.h>

namespace savoryglade::membership {
namespace {

const TimePoint kStart{};
const DaemonId kPeer("peer");
const DaemonId kOtherPeer("other");

ConfigReplica::Snapshot MakeSnapshot(std::uint64_t version) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = version;
  return configuration;
}

// Guards against a late push that reverts a daemon to an older configuration.
TEST(ConfigReplica, OnlyAHigherVersionIsApplied) {
  ConfigReplica replica({}, kStart);
  EXPECT_TRUE(replica.ApplyIfNewer(MakeSnapshot(3), ConfigSource::kTable, {}, kStart));
  EXPECT_FALSE(replica.ApplyIfNewer(MakeSnapshot(3), ConfigSource::kPeer, kPeer, kStart));
  EXPECT_FALSE(replica.ApplyIfNewer(MakeSnapshot(2), ConfigSource::kPeer, kPeer, kStart));
  EXPECT_EQ(replica.version(), 3U);
  EXPECT_EQ(replica.source(), ConfigSource::kTable);
}

// Guards against a restarted daemon that serves the version of a lagging table although a peer has
// a higher one.
TEST(ConfigReplica, IsNotReadyWhileAPeerHasAHigherVersion) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 5);
  replica.ApplyIfNewer(MakeSnapshot(4), ConfigSource::kTable, {}, kStart);
  EXPECT_FALSE(replica.UpdateReady(kStart));
  EXPECT_EQ(replica.advertised_version(), 0U);
  EXPECT_EQ(replica.StartFetch(kStart), kPeer);
  replica.ApplyIfNewer(MakeSnapshot(5), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_TRUE(replica.UpdateReady(kStart));
  EXPECT_EQ(replica.advertised_version(), 5U);
}

// Guards against a fleet that restarts during an outage and serves a configuration that
// neither the table nor a ready peer has confirmed.
TEST(ConfigReplica, IsNeverReadyWithoutTheTableAndAReadyPeer) {
  ConfigReplica replica({}, kStart);
  replica.OnTableUnavailable();
  replica.OnPeerVersion(kPeer, 0);
  EXPECT_FALSE(replica.UpdateReady(kStart + 1h));
}

// Guards against a daemon that, without the table, uses the version of the first peer that
// responds.
TEST(ConfigReplica, WithoutTheTableItIsReadyOnlyAfterAllExpectedPeersResponded) {
  ConfigReplica replica({}, kStart);
  replica.SetExpectedPeers({kPeer, kOtherPeer});
  replica.OnTableUnavailable();
  replica.OnPeerVersion(kPeer, 4);
  replica.ApplyIfNewer(MakeSnapshot(4), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_FALSE(replica.UpdateReady(kStart + 1s));
  replica.OnPeerVersion(kOtherPeer, 5);
  EXPECT_FALSE(replica.UpdateReady(kStart + 6s));
  replica.ApplyIfNewer(MakeSnapshot(5), ConfigSource::kPeer, kOtherPeer, kStart);
  EXPECT_TRUE(replica.UpdateReady(kStart + 1s));
}

// Guards against relying on peers at once when the table is slow but available.
TEST(ConfigReplica, ASlowTableIsWaitedForBeforePeersAreUsedAlone) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 4);
  replica.ApplyIfNewer(MakeSnapshot(4), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_FALSE(replica.UpdateReady(kStart + 2s));
  EXPECT_TRUE(replica.UpdateReady(kStart + 3s));
}

// Guards against a fetch that waits forever for one unresponsive peer, and against duplicate
// fetches.
TEST(ConfigReplica, AnUnansweredFetchIsRetriedWithAnotherPeer) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 5);
  replica.OnPeerVersion(kOtherPeer, 5);
  const auto first = replica.StartFetch(kStart);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(replica.StartFetch(kStart + 1s), std::nullopt);
  const auto second = replica.StartFetch(kStart + 2s);
  ASSERT_TRUE(second.has_value());
  EXPECT_NE(*first, *second);
  replica.OnPeerDisconnected(*second);
  EXPECT_EQ(replica.StartFetch(kStart + 2s), *first);
}

// Guards against a large configuration that is requested again and again while it arrives over a
// slow link.
TEST(ConfigReplica, AFetchThatMakesProgressIsNotRepeated) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 5);
  EXPECT_EQ(replica.StartFetch(kStart), kPeer);
  for (Duration time = 1s; time < 8s; time += 1s) {
    replica.OnFetchProgress(kPeer, kStart + time);
    replica.OnFetchProgress(kOtherPeer, kStart + time);
    EXPECT_EQ(replica.StartFetch(kStart + time), std::nullopt);
  }
  EXPECT_EQ(replica.StartFetch(kStart + 8500ms), std::nullopt);
  EXPECT_EQ(replica.StartFetch(kStart + 9s), kPeer);
}

TEST(ConfigReplica, AFetchIsRepeatedInTheEndWhateverThePeerSends) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 5);
  EXPECT_EQ(replica.StartFetch(kStart), kPeer);
  replica.OnFetchProgress(kPeer, kStart + 10s);
  EXPECT_EQ(replica.StartFetch(kStart + 10s), kPeer);
}

// Guards against a status that reports a daemon as up to date without a confirmation by the table.
TEST(ConfigReplica, StalenessCountsFromTheLastConfirmationByTheTable) {
  ConfigReplica replica({}, kStart);
  EXPECT_EQ(replica.Staleness(kStart), std::nullopt);
  replica.ApplyIfNewer(MakeSnapshot(4), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_EQ(replica.Staleness(kStart), std::nullopt);
  replica.OnTableVersion(4, kStart + 1s);
  EXPECT_EQ(replica.Staleness(kStart + 5s), Duration(4s));
  replica.OnTableVersion(5, kStart + 6s);
  EXPECT_EQ(replica.Staleness(kStart + 7s), Duration(6s));
}

}  // namespace
}  // namespace savoryglade::membership
