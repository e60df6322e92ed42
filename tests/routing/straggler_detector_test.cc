#include "routing/straggler_detector.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

const TimePoint kStart{};

// Guards against ejecting an upstream for a single request with a wrong prediction.
TEST(StragglerDetectorTest, SingleSlowAnswerDoesNotEject) {
  StragglerDetector fresh;
  fresh.OnSample(LatencyKind::kTotal, 20, 20, kStart);
  EXPECT_LT(fresh.MaxRecentRatio(kStart), StragglerDetector::kEjectRatio);
  StragglerDetector known;
  for (int i = 0; i < 10; ++i) {
    known.OnSample(LatencyKind::kTotal, 1, 1, kStart);
  }
  known.OnSample(LatencyKind::kTotal, StragglerDetector::kSingleAttemptEjectRatio,
                 StragglerDetector::kSingleAttemptEjectRatio, kStart);
  EXPECT_LT(known.MaxRecentRatio(kStart), StragglerDetector::kEjectRatio);
}

// Guards against a straggler that is not detected because of its many normal answers before.
TEST(StragglerDetectorTest, OneVerySlowAnswerOutweighsManyNormalOnes) {
  StragglerDetector detector;
  for (int i = 0; i < 1000; ++i) {
    detector.OnSample(LatencyKind::kFirstToken, 1, 1, kStart);
  }
  detector.OnSample(LatencyKind::kFirstToken, 10, 10, kStart + 1s);
  EXPECT_GE(detector.MaxRecentRatio(kStart + 1s), StragglerDetector::kEjectRatio);
}

// Guards against samples that still count after the upstream was idle.
TEST(StragglerDetectorTest, OldSamplesExpire) {
  StragglerDetector detector;
  detector.OnSample(LatencyKind::kTotal, 10, 10, kStart);
  detector.OnSample(LatencyKind::kTotal, 10, 10, kStart);
  EXPECT_GE(detector.MaxRecentRatio(kStart), StragglerDetector::kEjectRatio);
  EXPECT_DOUBLE_EQ(detector.MaxRecentRatio(kStart + 10s), 0);
}

// Guards against an upstream that is ejected and readmitted repeatedly at the threshold.
TEST(StragglerDetectorTest, ReadmissionNeedsConsecutiveSuccessfulProbes) {
  StragglerDetector detector;
  detector.Eject(kStart);
  const TimePoint now = kStart + 10s;
  EXPECT_FALSE(detector.OnProbeEnd(1, now));
  EXPECT_FALSE(detector.OnProbeEnd(2.5, now));
  EXPECT_FALSE(detector.OnProbeEnd(1, now));
  EXPECT_TRUE(detector.ejected());
  EXPECT_TRUE(detector.OnProbeEnd(1, now));
  EXPECT_FALSE(detector.ejected());
}

// Guards against several concurrent probes of a straggler.
TEST(StragglerDetectorTest, OnlyOneProbeRunsAndIntervalsGrow) {
  StragglerDetector detector;
  detector.Eject(kStart);
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

// Guards against ejections in a group that is too small for a meaningful median.
TEST(StragglerDetectorTest, MedianOfTwoUpstreamsIsUnknown) {
  std::vector<double> two = {1, 10};
  EXPECT_DOUBLE_EQ(MedianOf(two), 0);
  std::vector<double> three = {10, 1, 2};
  EXPECT_DOUBLE_EQ(MedianOf(three), 2);
}

// Guards against using callers' requests as probes while running streams already show that the
// upstream is slow, and against waiting for probes after they show that it has recovered.
TEST(StragglerDetectorTest, RunningStreamsReplaceProbes) {
  StragglerDetector detector;
  detector.Eject(kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    now += 400ms;
    EXPECT_FALSE(detector.OnStreamSample(10, now - 400ms, now));
    EXPECT_FALSE(detector.ProbeDue(now + 300ms));
  }
  EXPECT_FALSE(detector.OnStreamSample(1, now - 40ms, now));
  EXPECT_TRUE(detector.OnStreamSample(1, now - 40ms, now));
  EXPECT_FALSE(detector.ejected());
}

// Guards against readmitting an upstream with a long prompt queue because its running streams,
// which do not wait in that queue, are fast.
TEST(StragglerDetectorTest, StreamsThatWereNeverSlowDoNotReadmit) {
  StragglerDetector detector;
  detector.Eject(kStart);
  for (int i = 1; i < 20; ++i) {
    EXPECT_FALSE(detector.OnStreamSample(1, kStart + i * 100ms, kStart + i * 140ms));
  }
  EXPECT_TRUE(detector.ejected());
}

}  // namespace
}  // namespace savoryglade
