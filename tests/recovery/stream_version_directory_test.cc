#include "recovery/stream_version_directory.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace savoryglade {
namespace {

using Source = StreamOrigin::Source;

const ServiceId kChat("chat");
const ServiceId kSearch("search");
const UpstreamId kOld("engine-1");
const UpstreamId kNew("engine-2");
constexpr Duration kLifetime = 30s;
constexpr Duration kHold = 1200ms;
constexpr std::size_t kLimit = 512;
// Views follow each other at this interval.
constexpr Duration kViewInterval = 500ms;

constexpr std::uint64_t kV1 = Fnv1aHash("v1");
constexpr std::uint64_t kV2 = Fnv1aHash("v2");
constexpr std::uint64_t kS9 = Fnv1aHash("s9");

TimePoint At(Duration time) { return TimePoint(1000s) + time; }

StreamOrigin Recorded(std::uint64_t version) {
  return {.source = Source::kRecorded, .version = version};
}

StreamOrigin Inferred(std::uint64_t version) {
  return {.source = Source::kInferred, .version = version};
}

StreamVersionOptions Options() {
  return {.lifetime = kLifetime, .hold_time = kHold, .max_view_age = 1s};
}

// Directory of a daemon that has read its first view at the instant 0 s, with one version.
class StreamVersionDirectoryTest : public testing::Test {
 protected:
  StreamVersionDirectoryTest() { Start(directory_); }

  static void Start(StreamVersionDirectory& directory, Duration time = 0s) {
    directory.OnUpstream(kOld, kChat, kV1, At(time));
    directory.OnViewConfirmed(At(time));
  }

  static std::size_t ReportTo(StreamVersionDirectory& from, StreamVersionDirectory& to,
                              TimePoint now) {
    const auto records = from.SelectForReport(kLimit, now);
    to.OnPeerRecords(records, now);
    return records.size();
  }

  StreamVersionDirectory directory_{Options()};
};

TEST_F(StreamVersionDirectoryTest, StreamOfAPeerIsKnownAfterItsReport) {
  StreamVersionDirectory peer(Options());
  Start(peer);
  peer.OnUpstream(kNew, kChat, kV2, At(1s));
  peer.OnStreamBegan("a1", kChat, kV2, At(3s));
  peer.OnStreamBegan("a2", kChat, kV1, At(3s));
  ReportTo(peer, directory_, At(3s));
  EXPECT_EQ(directory_.Find("a1", kChat, At(4s)), Recorded(kV2));
  EXPECT_EQ(directory_.Find("a2", kChat, At(4s)), Recorded(kV1));
}

// Guards against going on at any version when the record of the stream was never received.
TEST_F(StreamVersionDirectoryTest, StreamWithoutARecordIsUnknownWhileTwoVersionsServe) {
  directory_.OnUpstream(kNew, kChat, kV2, At(40s));
  directory_.OnViewConfirmed(At(50s));
  EXPECT_EQ(directory_.Find("a1", kChat, At(50s)), StreamOrigin{});
}

TEST_F(StreamVersionDirectoryTest, OnlyVersionOfTheLifetimeIsInferred) {
  directory_.OnViewConfirmed(At(kLifetime));
  EXPECT_EQ(directory_.Find("a1", kChat, At(kLifetime)), Inferred(kV1));
}

// Guards against a daemon that has just started and takes the only version that it sees for the
// only one that has served.
TEST_F(StreamVersionDirectoryTest, StartedDaemonInfersNothingBeforeItsFirstLifetimeHasPassed) {
  directory_.OnViewConfirmed(At(kLifetime - 1s));
  EXPECT_EQ(directory_.Find("a1", kChat, At(kLifetime - 1ms)), StreamOrigin{});
}

// Guards against inferring the version from a view that may lack a newer one, in a cut.
TEST_F(StreamVersionDirectoryTest, NothingIsInferredFromAnOldView) {
  directory_.OnViewConfirmed(At(40s));
  EXPECT_TRUE(directory_.Find("a1", kChat, At(41s)).known());
  EXPECT_FALSE(directory_.Find("a1", kChat, At(41s + 1ms)).known());
}

// Guards against streams of a version that left shortly before and go on at the one that stayed.
TEST_F(StreamVersionDirectoryTest, VersionThatHasLeftCountsForTheLifetimeOfAStream) {
  directory_.OnUpstream(kNew, kChat, kV2, At(40s));
  directory_.OnUpstreamRemoved(kOld, At(50s));
  directory_.OnViewConfirmed(At(50s) + kLifetime);
  EXPECT_FALSE(directory_.Find("a1", kChat, At(50s) + kLifetime).known());
  EXPECT_EQ(directory_.Find("a1", kChat, At(50s) + kLifetime + 1ms), Inferred(kV2));
}

// Guards against a daemon that sends streams to a new version before all others, whose views are a
// little older, infer nothing any more.
TEST_F(StreamVersionDirectoryTest, NewVersionIsHeldUntilNoViewLacksIt) {
  StreamVersionDirectory behind(Options());
  Start(behind);
  directory_.OnViewConfirmed(At(40s));
  const TimePoint held_until = directory_.OnUpstream(kNew, kChat, kV2, At(40s));
  EXPECT_EQ(held_until, At(40s) + kHold);
  // The oldest view that may lack the version.
  behind.OnViewConfirmed(At(40s));
  EXPECT_FALSE(behind.Find("a1", kChat, held_until).known());
}

// Guards against refusals of streams that were begun before a second version served.
TEST_F(StreamVersionDirectoryTest, VersionIsInferredUntilTheNewOneBegins) {
  directory_.OnViewConfirmed(At(40s));
  directory_.OnUpstream(kNew, kChat, kV2, At(40s + kViewInterval));
  directory_.OnViewConfirmed(At(40s + kViewInterval));
  EXPECT_EQ(directory_.Find("a1", kChat, At(41s)), Inferred(kV1));
  directory_.OnViewConfirmed(At(41s));
  EXPECT_FALSE(directory_.Find("a1", kChat, At(40s) + kHold).known());
}

TEST_F(StreamVersionDirectoryTest, UpstreamsOfTheFirstViewAreNotHeld) {
  StreamVersionDirectory started(Options());
  EXPECT_LE(started.OnUpstream(kOld, kChat, kV1, At(0s)), At(0s));
  EXPECT_LE(started.OnUpstream(kNew, kChat, kV2, At(0s)), At(0s));
}

// Guards against a new service that gets no work although no other version of it can be inferred.
TEST_F(StreamVersionDirectoryTest, FirstVersionOfAServiceIsNotHeld) {
  EXPECT_LE(directory_.OnUpstream(kNew, kSearch, kS9, At(40s)), At(40s));
}

// Guards against reports that grow with the number of streams although all have one version.
TEST_F(StreamVersionDirectoryTest, StreamsOfTheOnlyVersionAreNotReported) {
  directory_.OnViewConfirmed(At(40s));
  directory_.OnStreamBegan("a1", kChat, kV1, At(40s));
  EXPECT_TRUE(directory_.SelectForReport(kLimit, At(40s)).empty());
}

// Guards against streams that were begun before a release and are unknown to all others after it.
TEST_F(StreamVersionDirectoryTest, EarlierStreamsAreReportedWhenASecondVersionRegisters) {
  StreamVersionDirectory peer(Options());
  Start(peer);
  directory_.OnViewConfirmed(At(40s));
  directory_.OnStreamBegan("a1", kChat, kV1, At(40s));
  directory_.SelectForReport(kLimit, At(40s));
  directory_.OnUpstream(kNew, kChat, kV2, At(40500ms));
  EXPECT_EQ(ReportTo(directory_, peer, At(40500ms)), 1U);
  EXPECT_EQ(peer.Find("a1", kChat, At(50s)), Recorded(kV1));
}

TEST_F(StreamVersionDirectoryTest, StreamsAreReportedWhileTheViewIsOld) {
  directory_.OnViewConfirmed(At(40s));
  directory_.OnStreamBegan("a1", kChat, kV1, At(40s));
  EXPECT_EQ(directory_.SelectForReport(kLimit, At(42s)).size(), 1U);
}

// Guards against streams that nobody knows because one datagram was lost.
TEST_F(StreamVersionDirectoryTest, EachRecordIsReportedThreeTimes) {
  directory_.OnUpstream(kNew, kChat, kV2, At(1s));
  directory_.OnStreamBegan("a1", kChat, kV1, At(3s));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(directory_.SelectForReport(kLimit, At(3s)).size(), 1U) << i;
  }
  EXPECT_TRUE(directory_.SelectForReport(kLimit, At(3s)).empty());
}

// Guards against a backlog in which records are left out when a report has no room for all.
TEST_F(StreamVersionDirectoryTest, RecordsBeyondTheLimitFollowInLaterReports) {
  StreamVersionDirectory peer(Options());
  directory_.OnUpstream(kNew, kChat, kV2, At(1s));
  for (int i = 0; i < 100; ++i) {
    directory_.OnStreamBegan("a" + std::to_string(i), kChat, kV1, At(3s));
  }
  std::size_t reported = 0;
  for (int i = 0; i < 30; ++i) {
    const auto records = directory_.SelectForReport(10, At(3s));
    EXPECT_EQ(records.size(), 10U);
    reported += records.size();
    peer.OnPeerRecords(records, At(3s));
  }
  EXPECT_EQ(peer.size(), 100U);
  EXPECT_TRUE(directory_.SelectForReport(10, At(3s)).empty());
}

// Guards against one attempt id of two callers, whose streams have different versions.
TEST_F(StreamVersionDirectoryTest, ContradictingRecordsLeaveTheVersionUnknown) {
  directory_.OnViewConfirmed(At(40s));
  directory_.OnStreamBegan("a1", kChat, kV1, At(40s));
  const StreamVersionRecord other{.attempt = StreamVersionDirectory::KeyOf("a1"), .version = kV2};
  directory_.OnPeerRecords({other}, At(40s));
  EXPECT_FALSE(directory_.Find("a1", kChat, At(40s)).known());
}

// Guards against a stream that was resumed twice and is forgotten before its third part.
TEST_F(StreamVersionDirectoryTest, ResumedStreamIsRememberedForAnotherLifetime) {
  directory_.OnUpstream(kNew, kChat, kV2, At(1s));
  directory_.OnStreamBegan("a1", kChat, kV1, At(3s));
  directory_.OnStreamBegan("a1", kChat, kV1, At(3s) + kLifetime / 2);
  EXPECT_EQ(directory_.Find("a1", kChat, At(4s) + kLifetime), Recorded(kV1));
  EXPECT_FALSE(directory_.Find("a1", kChat, At(4s) + 2 * kLifetime).known());
}

TEST_F(StreamVersionDirectoryTest, RecordsAreBounded) {
  StreamVersionOptions options = Options();
  options.max_streams = 10;
  StreamVersionDirectory small(options);
  for (int i = 0; i < 1000; ++i) {
    small.OnStreamBegan("a" + std::to_string(i), kChat, kV1, At(3s));
  }
  EXPECT_EQ(small.size(), 10U);
  EXPECT_TRUE(small.Find("a999", kChat, At(3s)).known());
}

// Guards against a restart after which every resumption is refused, or goes on at any version.
TEST_F(StreamVersionDirectoryTest, RestartedDaemonKnowsWhatItsPeerKnows) {
  directory_.OnUpstream(kNew, kChat, kV2, At(40s));
  directory_.OnStreamBegan("a1", kChat, kV2, At(45s));
  directory_.OnViewConfirmed(At(50s));
  StreamVersionDirectory started(Options());
  Start(started, 50s);
  started.OnUpstream(kNew, kChat, kV2, At(50s));
  started.OnPeerSnapshot(directory_.MakeSnapshot(At(50s)), 10ms, At(50s));
  EXPECT_EQ(started.Find("a1", kChat, At(51s)), Recorded(kV2));
  EXPECT_FALSE(started.Find("a2", kChat, At(51s)).known());
}

TEST_F(StreamVersionDirectoryTest, RestartedDaemonInfersTheOnlyVersionOfItsPeer) {
  directory_.OnViewConfirmed(At(50s));
  StreamVersionDirectory started(Options());
  started.OnPeerSnapshot(directory_.MakeSnapshot(At(50s)), 10ms, At(50s));
  EXPECT_FALSE(started.Find("a1", kChat, At(50s)).known());
  Start(started, 50s);
  EXPECT_EQ(started.Find("a1", kChat, At(50s)), Inferred(kV1));
}

// Guards against a restarted daemon that doesn't know of a version that left before it started.
TEST_F(StreamVersionDirectoryTest, RestartedDaemonLearnsOfAVersionThatHasLeft) {
  directory_.OnUpstream(kNew, kChat, kV2, At(40s));
  directory_.OnUpstreamRemoved(kNew, At(45s));
  directory_.OnViewConfirmed(At(50s));
  StreamVersionDirectory started(Options());
  Start(started, 50s);
  started.OnPeerSnapshot(directory_.MakeSnapshot(At(50s)), 10ms, At(50s));
  EXPECT_FALSE(started.Find("a1", kChat, At(50s)).known());
  started.OnViewConfirmed(At(46s) + kLifetime);
  EXPECT_EQ(started.Find("a1", kChat, At(46s) + kLifetime), Inferred(kV1));
}

// Guards against a peer that is cut off from the store and passes on that it knows all versions.
TEST_F(StreamVersionDirectoryTest, SnapshotFromAnOldViewAllowsNoInference) {
  directory_.OnViewConfirmed(At(50s));
  StreamVersionDirectory started(Options());
  Start(started, 55s);
  started.OnPeerSnapshot(directory_.MakeSnapshot(At(55s)), 10ms, At(55s));
  EXPECT_FALSE(started.Find("a1", kChat, At(55s)).known());
}

// Guards against a stream of one service that goes on at the only version of the service to which
// its route leads now.
TEST_F(StreamVersionDirectoryTest, VersionsOfTheServiceBeforeOnTheRouteCount) {
  const UpstreamId other("engine-3");
  directory_.OnUpstream(other, kSearch, kS9, At(0s));
  directory_.OnServiceReplaced(kChat, kSearch, At(40s));
  directory_.OnViewConfirmed(At(41s));
  EXPECT_FALSE(directory_.Find("a1", kSearch, At(41s)).known());
  directory_.OnViewConfirmed(At(41s) + kLifetime);
  EXPECT_EQ(directory_.Find("a1", kSearch, At(41s) + kLifetime), Inferred(kS9));
}

}  // namespace
}  // namespace savoryglade
