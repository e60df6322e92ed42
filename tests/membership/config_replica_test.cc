#include "membership/config_replica.h"

#include <gtest/gtest.h>

namespace savoryglade::membership {
namespace {

const TimePoint kStart{};
const DaemonId kPeer("peer");
const DaemonId kOther("other");

ConfigReplica::Snapshot Version(std::uint64_t version) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = version;
  return configuration;
}

// Guards against a late push that takes a daemon back to an older configuration.
TEST(ConfigReplica, VersionsOnlyRise) {
  ConfigReplica replica({}, kStart);
  EXPECT_TRUE(replica.ApplyIfNewer(Version(3), ConfigSource::kTable, {}, kStart));
  EXPECT_FALSE(replica.ApplyIfNewer(Version(3), ConfigSource::kPeer, kPeer, kStart));
  EXPECT_FALSE(replica.ApplyIfNewer(Version(2), ConfigSource::kPeer, kPeer, kStart));
  EXPECT_EQ(replica.version(), 3U);
  EXPECT_EQ(replica.source(), ConfigSource::kTable);
}

// Guards against a restarted daemon that serves the version of a slow table although a peer has a
// higher one.
TEST(ConfigReplica, IsNotReadyBelowThePeersVersion) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 5);
  replica.ApplyIfNewer(Version(4), ConfigSource::kTable, {}, kStart);
  EXPECT_FALSE(replica.UpdateReady(kStart));
  EXPECT_EQ(replica.advertised_version(), 0U);
  EXPECT_EQ(replica.StartFetch(kStart), kPeer);
  replica.ApplyIfNewer(Version(5), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_TRUE(replica.UpdateReady(kStart));
  EXPECT_EQ(replica.advertised_version(), 5U);
}

// Guards against a fleet that restarts during an outage and serves what some daemon made up.
TEST(ConfigReplica, IsNeverReadyWithoutTableAndReadyPeers) {
  ConfigReplica replica({}, kStart);
  replica.OnTableUnavailable();
  replica.OnPeerVersion(kPeer, 0);
  EXPECT_FALSE(replica.UpdateReady(kStart + 1h));
}

// Guards against a daemon without the table that starts from the first peer that answers.
TEST(ConfigReplica, WithoutTheTableItWaitsForItsPeers) {
  ConfigReplica replica({}, kStart);
  replica.SetExpectedPeers({kPeer, kOther});
  replica.OnTableUnavailable();
  replica.OnPeerVersion(kPeer, 4);
  replica.ApplyIfNewer(Version(4), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_FALSE(replica.UpdateReady(kStart + 1s));
  replica.OnPeerVersion(kOther, 5);
  EXPECT_FALSE(replica.UpdateReady(kStart + 6s));
  replica.ApplyIfNewer(Version(5), ConfigSource::kPeer, kOther, kStart);
  EXPECT_TRUE(replica.UpdateReady(kStart + 1s));
}

// Guards against a table that is slow but not down and is passed over at once.
TEST(ConfigReplica, ASlowTableIsWaitedForBeforePeersAlone) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 4);
  replica.ApplyIfNewer(Version(4), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_FALSE(replica.UpdateReady(kStart + 2s));
  EXPECT_TRUE(replica.UpdateReady(kStart + 3s));
}

// Guards against a fetch that hangs on one silent peer, and against the same fetch many times.
TEST(ConfigReplica, AnUnansweredFetchGoesToAnotherPeer) {
  ConfigReplica replica({}, kStart);
  replica.OnPeerVersion(kPeer, 5);
  replica.OnPeerVersion(kOther, 5);
  const auto first = replica.StartFetch(kStart);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(replica.StartFetch(kStart + 1s), std::nullopt);
  const auto second = replica.StartFetch(kStart + 2s);
  ASSERT_TRUE(second.has_value());
  EXPECT_NE(*first, *second);
  replica.OnPeerDisconnected(*second);
  EXPECT_EQ(replica.StartFetch(kStart + 2s), *first);
}

// Guards against a status that calls a daemon up to date while it can't know.
TEST(ConfigReplica, StalenessCountsFromTheLastConfirmationByTheTable) {
  ConfigReplica replica({}, kStart);
  EXPECT_EQ(replica.Staleness(kStart), std::nullopt);
  replica.ApplyIfNewer(Version(4), ConfigSource::kPeer, kPeer, kStart);
  EXPECT_EQ(replica.Staleness(kStart), std::nullopt);
  replica.OnTableVersion(4, kStart + 1s);
  EXPECT_EQ(replica.Staleness(kStart + 5s), Duration(4s));
  replica.OnTableVersion(5, kStart + 6s);
  EXPECT_EQ(replica.Staleness(kStart + 7s), Duration(6s));
}

}  // namespace
}  // namespace savoryglade::membership
