#include "routing/upstream_paths.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace savoryglade {
namespace {

const ServiceId kService("orders");
const ServiceId kOtherService("assistant");
const std::vector<RelayPeer> kPeers = {{.daemon = DaemonId("local-1"), .same_domain = true},
                                       {.daemon = DaemonId("remote-1"), .same_domain = false},
                                       {.daemon = DaemonId("local-2"), .same_domain = true}};

class UpstreamPathsTest : public testing::Test {
 protected:
  UpstreamPathsTest() {
    for (int i = 0; i < 10; ++i) {
      paths_.Add(Upstream(i), kService);
    }
    paths_.Add(UpstreamId("other"), kOtherService);
  }

  static UpstreamId Upstream(int i) { return UpstreamId("u" + std::to_string(i)); }

  // Returns the peer that is chosen for the first upstream; empty if there is none.
  DaemonId Choose(const std::vector<RelayPeer>& peers) {
    return paths_.ChoosePeer(Upstream(0), peers, now_, random_).value_or(DaemonId());
  }

  UpstreamPaths paths_{UpstreamPathOptions{}};
  Random random_{1};
  TimePoint now_ = TimePoint{} + 1h;
};

// Guards against a connect time-out for each of many upstreams that can't be reached.
TEST_F(UpstreamPathsTest, AfterTwoUpstreamsTheOthersOfTheServiceAreOutOfReachToo) {
  paths_.OnUnreached(Upstream(0), now_);
  EXPECT_FALSE(paths_.IsDirect(Upstream(0), now_));
  EXPECT_TRUE(paths_.IsDirect(Upstream(1), now_));
  paths_.OnUnreached(Upstream(1), now_);
  EXPECT_TRUE(paths_.IsServiceLost(kService, now_));
  EXPECT_FALSE(paths_.IsDirect(Upstream(9), now_));
  EXPECT_TRUE(paths_.IsDirect(UpstreamId("other"), now_));
}

// Guards against a daemon that uses peers for upstreams that it reaches, in a partition from nine
// of ten.
TEST_F(UpstreamPathsTest, AnUpstreamThatIsReachedStaysDirectInAPartialPartition) {
  for (int i = 0; i < 9; ++i) {
    paths_.OnUnreached(Upstream(i), now_);
  }
  EXPECT_FALSE(paths_.IsDirect(Upstream(9), now_));
  paths_.OnReached(Upstream(9), now_ + 1ms);
  EXPECT_TRUE(paths_.IsDirect(Upstream(9), now_ + 1ms));
  EXPECT_FALSE(paths_.IsDirect(Upstream(0), now_ + 1ms));
}

TEST_F(UpstreamPathsTest, TheOnlyUpstreamOfAServiceIsEnoughToLoseTheService) {
  paths_.OnUnreached(UpstreamId("other"), now_);
  EXPECT_TRUE(paths_.IsServiceLost(kOtherService, now_));
  EXPECT_FALSE(paths_.IsServiceLost(kService, now_));
}

// Guards against requests through peers to upstreams that have crashed.
TEST_F(UpstreamPathsTest, AnUpstreamThatAPeerDoesNotReachEitherIsDown) {
  paths_.OnUnreached(Upstream(0), now_);
  EXPECT_NE(Choose(kPeers), DaemonId());
  paths_.OnUpstreamDown(Upstream(0), now_);
  EXPECT_EQ(Choose(kPeers), DaemonId());
  EXPECT_TRUE(paths_.IsDirect(Upstream(0), now_));
  now_ += 1s;
  EXPECT_FALSE(paths_.IsDirect(Upstream(0), now_));
}

TEST_F(UpstreamPathsTest, UpstreamsThatAreDownDoNotCountAsLost) {
  for (int i = 0; i < 2; ++i) {
    paths_.OnUnreached(Upstream(i), now_);
    paths_.OnUpstreamDown(Upstream(i), now_);
  }
  EXPECT_FALSE(paths_.IsServiceLost(kService, now_));
}

// Guards against one peer that carries the requests of all daemons of a partitioned domain.
TEST_F(UpstreamPathsTest, ConnectionsSpreadOverThePeersOfTheOwnDomain) {
  paths_.OnUnreached(Upstream(0), now_);
  std::set<DaemonId> chosen;
  for (int i = 0; i < 100; ++i) {
    chosen.insert(Choose(kPeers));
  }
  EXPECT_EQ(chosen, (std::set<DaemonId>{DaemonId("local-1"), DaemonId("local-2")}));
}

// Guards against a whole domain that is partitioned and finds no peer among its own daemons.
TEST_F(UpstreamPathsTest, OtherDomainsAreAskedWhenThePeersOfTheOwnDomainFail) {
  paths_.OnUnreached(Upstream(0), now_);
  paths_.OnPeerFailed(Upstream(0), DaemonId("local-1"), now_);
  EXPECT_EQ(Choose(kPeers), DaemonId("local-2"));
  paths_.OnPeerFailed(Upstream(0), DaemonId("local-2"), now_);
  EXPECT_EQ(Choose(kPeers), DaemonId("remote-1"));
}

// Guards against requests that are refused while a daemon asks one peer of its partitioned domain
// after the other.
TEST_F(UpstreamPathsTest, OtherDomainsAreAskedAfterTwoPeersOfALargeDomainRefused) {
  paths_.OnUnreached(Upstream(0), now_);
  std::vector<RelayPeer> peers = {{.daemon = DaemonId("remote"), .same_domain = false}};
  constexpr int kPeerCount = 16;
  for (int i = 0; i < kPeerCount; ++i) {
    peers.push_back({.daemon = DaemonId("local-" + std::to_string(i)), .same_domain = true});
  }
  for (int i = 0; i < 2; ++i) {
    const DaemonId peer = Choose(peers);
    EXPECT_NE(peer, DaemonId("remote"));
    paths_.OnPeerRefused(Upstream(0), peer, now_);
  }
  EXPECT_EQ(Choose(peers), DaemonId("remote"));
  EXPECT_NE(Choose({peers.begin() + 1, peers.end()}), DaemonId());
  now_ += 2s;
  EXPECT_NE(Choose(peers), DaemonId("remote"));
}

// Guards against a pause while peers respond, which only the next one needs to be asked instead.
TEST_F(UpstreamPathsTest, PeersThatRefuseCauseNoPause) {
  paths_.OnUnreached(Upstream(0), now_);
  std::vector<RelayPeer> peers;
  constexpr int kPeerCount = 10;
  peers.reserve(kPeerCount);
  for (int i = 0; i < kPeerCount; ++i) {
    peers.push_back({.daemon = DaemonId("peer-" + std::to_string(i)), .same_domain = false});
  }
  for (int i = 0; i < kPeerCount; ++i) {
    const DaemonId peer = Choose(peers);
    ASSERT_NE(peer, DaemonId());
    paths_.OnPeerRefused(Upstream(0), peer, now_);
  }
  EXPECT_EQ(Choose(peers), DaemonId());
}

// Guards against a daemon that waits for its peers on every request while it reaches nobody.
TEST_F(UpstreamPathsTest, NoPeerIsAskedForAWhileAfterThreeFailedInARow) {
  paths_.OnUnreached(Upstream(0), now_);
  constexpr int kPeerCount = 20;
  std::vector<RelayPeer> peers;
  peers.reserve(kPeerCount);
  for (int i = 0; i < kPeerCount; ++i) {
    peers.push_back({.daemon = DaemonId("peer-" + std::to_string(i)), .same_domain = true});
  }
  for (int i = 0; i < 3; ++i) {
    paths_.OnPeerFailed(Upstream(0), Choose(peers), now_);
  }
  EXPECT_EQ(Choose(peers), DaemonId());
  now_ += 500ms;
  const DaemonId next = Choose(peers);
  EXPECT_NE(next, DaemonId());
  paths_.OnPeerConnected(Upstream(0), next, now_);
  EXPECT_NE(Choose(peers), DaemonId());
}

// Guards against a daemon that uses its peers long after the partition has ended.
TEST_F(UpstreamPathsTest, ProbesGoThroughTheUpstreamsThatAreOutOfReach) {
  EXPECT_FALSE(paths_.TakeProbe(now_));
  paths_.OnUnreached(Upstream(3), now_);
  paths_.OnUnreached(Upstream(5), now_);
  now_ += 250ms;
  std::set<UpstreamId> probed;
  for (int i = 0; i < 10; ++i) {
    const auto probe = paths_.TakeProbe(now_);
    ASSERT_TRUE(probe);
    EXPECT_FALSE(paths_.TakeProbe(now_));
    probed.insert(*probe);
    now_ += 250ms;
  }
  EXPECT_EQ(probed.size(), 10U);
}

TEST_F(UpstreamPathsTest, TheNextUpstreamIsProbedAtOnceAfterOneWasReached) {
  paths_.OnUnreached(Upstream(3), now_);
  paths_.OnUnreached(Upstream(5), now_);
  const auto first = paths_.TakeProbe(now_ + 250ms);
  ASSERT_TRUE(first);
  paths_.OnReached(*first, now_ + 251ms);
  const auto second = paths_.TakeProbe(now_ + 251ms);
  ASSERT_TRUE(second);
  EXPECT_NE(*second, *first);
}

// Guards against the failures of an earlier process that count against a new one.
TEST_F(UpstreamPathsTest, AnUpstreamThatStartsAgainIsWithinReach) {
  paths_.OnUnreached(Upstream(0), now_);
  paths_.Add(Upstream(0), kService);
  EXPECT_TRUE(paths_.IsDirect(Upstream(0), now_));
}

// Guards against a daemon that asks no peer at all because several requests at once have met one
// that is frozen.
TEST_F(UpstreamPathsTest, FailuresOfOnePeerCountOnce) {
  for (int i = 0; i < 10; ++i) {
    paths_.OnPeerFailed(Upstream(0), DaemonId("local-1"), now_);
  }
  EXPECT_EQ(Choose(kPeers), DaemonId("local-2"));
}

// Guards against a daemon that asks a peer again for an upstream that the peer has just refused.
TEST_F(UpstreamPathsTest, PeerThatRefusesOneUpstreamIsAskedForOthers) {
  const std::vector<RelayPeer> peers = {{.daemon = DaemonId("p"), .same_domain = true}};
  paths_.OnPeerRefusedUpstream(Upstream(0), DaemonId("p"), now_);
  EXPECT_EQ(Choose(peers), DaemonId());
  EXPECT_EQ(paths_.ChoosePeer(Upstream(1), peers, now_, random_), DaemonId("p"));
  now_ += 2s;
  EXPECT_EQ(Choose(peers), DaemonId("p"));
}

// Guards against a peer that is passed over for a whole service because it does not know one
// upstream of it.
TEST_F(UpstreamPathsTest, PeerThatLacksOneUpstreamIsAskedForOthers) {
  const std::vector<RelayPeer> peers = {{.daemon = DaemonId("p"), .same_domain = true}};
  for (int i = 0; i < 5; ++i) {
    paths_.OnPeerLacksUpstream(Upstream(0), DaemonId("p"), now_);
    EXPECT_EQ(paths_.ChoosePeer(Upstream(1), peers, now_, random_), DaemonId("p"));
    now_ += 2s;
  }
  // It relays to some, so that another one that it does not know says nothing of the service.
  paths_.OnPeerConnected(Upstream(1), DaemonId("p"), now_);
  paths_.OnPeerLacksUpstream(Upstream(2), DaemonId("p"), now_);
  EXPECT_EQ(paths_.ChoosePeer(Upstream(1), peers, now_, random_), DaemonId("p"));
}

// Guards against a peer of an earlier build, which relays nothing, that is asked for each upstream.
TEST_F(UpstreamPathsTest, PeerThatLacksTwoUpstreamsIsPassedOver) {
  const std::vector<RelayPeer> peers = {{.daemon = DaemonId("p"), .same_domain = true}};
  paths_.OnPeerLacksUpstream(Upstream(0), DaemonId("p"), now_);
  paths_.OnPeerLacksUpstream(Upstream(1), DaemonId("p"), now_);
  EXPECT_EQ(paths_.ChoosePeer(Upstream(2), peers, now_, random_), std::nullopt);
  now_ += 2s;
  EXPECT_EQ(paths_.ChoosePeer(Upstream(2), peers, now_, random_), DaemonId("p"));
}

}  // namespace
}  // namespace savoryglade
