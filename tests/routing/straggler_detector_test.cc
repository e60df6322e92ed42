#include "routing/straggler_detector.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

const TimePoint kStart{};

// Guards against one mispredicted request taking an upstream out of use.
TEST(StragglerDetectorTest, OneMispredictedAnswerIsNoEvidence) {
  StragglerDetector fresh;
  fresh.OnSample(LatencyKind::kTotal, 20, 20, kStart);
  EXPECT_LT(fresh.Ratio(kStart), StragglerDetector::kLeaveRatio);
  StragglerDetector known;
  for (int i = 0; i < 10; ++i) {
    known.OnSample(LatencyKind::kTotal, 1, 1, kStart);
  }
  known.OnSample(LatencyKind::kTotal, StragglerDetector::kSureRatio, StragglerDetector::kSureRatio,
                 kStart);
  EXPECT_LT(known.Ratio(kStart), StragglerDetector::kLeaveRatio);
}

// Guards against a straggler that hides behind many good answers from before.
TEST(StragglerDetectorTest, FewSlowAnswersOutweighManyGoodOnes) {
  StragglerDetector detector;
  for (int i = 0; i < 1000; ++i) {
    detector.OnSample(LatencyKind::kFirstToken, 1, 1, kStart);
  }
  detector.OnSample(LatencyKind::kFirstToken, 10, 10, kStart + 1s);
  EXPECT_GE(detector.Ratio(kStart + 1s), StragglerDetector::kLeaveRatio);
}

// Guards against latencies of the past that count after the upstream was idle.
TEST(StragglerDetectorTest, OldAnswersNoLongerCount) {
  StragglerDetector detector;
  detector.OnSample(LatencyKind::kTotal, 10, 10, kStart);
  detector.OnSample(LatencyKind::kTotal, 10, 10, kStart);
  EXPECT_GE(detector.Ratio(kStart), StragglerDetector::kLeaveRatio);
  EXPECT_DOUBLE_EQ(detector.Ratio(kStart + 10s), 0);
}

// Guards against an upstream that flaps in and out of use at the threshold.
TEST(StragglerDetectorTest, ReturnNeedsConsecutiveProbesClearlyBelowTheThreshold) {
  StragglerDetector detector;
  detector.Leave(kStart);
  const TimePoint now = kStart + 10s;
  EXPECT_FALSE(detector.OnProbeEnd(1, now));
  EXPECT_FALSE(detector.OnProbeEnd(2.5, now));
  EXPECT_FALSE(detector.OnProbeEnd(1, now));
  EXPECT_TRUE(detector.left());
  EXPECT_TRUE(detector.OnProbeEnd(1, now));
  EXPECT_FALSE(detector.left());
}

// Guards against several requests at once probing a straggler.
TEST(StragglerDetectorTest, ProbesAreSingleAndSpacedFurtherApartEachTime) {
  StragglerDetector detector;
  detector.Leave(kStart);
  EXPECT_FALSE(detector.ProbeDue(kStart));
  TimePoint now = kStart;
  Duration previous{};
  for (int i = 0; i < 4; ++i) {
    const TimePoint begin = now;
    while (!detector.ProbeDue(now)) {
      now += 1ms;
    }
    EXPECT_GT(now - begin, previous);
    previous = now - begin;
    detector.OnProbeStart();
    EXPECT_FALSE(detector.ProbeDue(now + 100s));
    detector.OnProbeEnd(10, now);
  }
}

// Guards against a verdict from a group that is too small to have a usual latency.
TEST(StragglerDetectorTest, MedianOfTwoUpstreamsIsUnknown) {
  std::vector<double> two = {1, 10};
  EXPECT_DOUBLE_EQ(MedianOf(two), 0);
  std::vector<double> three = {10, 1, 2};
  EXPECT_DOUBLE_EQ(MedianOf(three), 2);
}

// Guards against probes with callers' requests while running streams already show that the upstream
// is still slow, and against waiting for probes when they show that it no longer is.
TEST(StragglerDetectorTest, RunningStreamsTakeThePlaceOfProbes) {
  StragglerDetector detector;
  detector.Leave(kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += 400ms;
    EXPECT_FALSE(detector.OnStreamEvidence(10, now - 400ms, now));
    EXPECT_FALSE(detector.ProbeDue(now + 300ms));
  }
  EXPECT_FALSE(detector.OnStreamEvidence(1, now - 40ms, now));
  EXPECT_TRUE(detector.OnStreamEvidence(1, now - 40ms, now));
  EXPECT_FALSE(detector.left());
}

// Guards against an upstream with a long prompt queue that comes back because its running streams,
// which do not wait in that queue, are as fast as ever.
TEST(StragglerDetectorTest, StreamsThatWereNeverSlowDoNotEndAStraggler) {
  StragglerDetector detector;
  detector.Leave(kStart);
  for (int i = 1; i < 20; ++i) {
    EXPECT_FALSE(detector.OnStreamEvidence(1, kStart + i * 100ms, kStart + i * 140ms));
  }
  EXPECT_TRUE(detector.left());
}

}  // namespace
}  // namespace savoryglade
