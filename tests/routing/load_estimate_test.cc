#include "routing/load_estimate.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

const TimePoint kStart{};

// Guards against counting own load twice, as own load and as part of the report.
TEST(LoadEstimateTest, ReportThatContainsOnlyOwnLoadAddsNothing) {
  LoadEstimate load;
  for (int i = 0; i < 5; ++i) {
    load.Start(1, 0.1, kStart + 1s);
  }
  load.OnReport({.running = 5, .age = 1s}, kStart + 3s);
  EXPECT_DOUBLE_EQ(load.OthersRunning(kStart + 3s), 0);
}

// Guards against treating a report as current although own attempts started or ended after it.
TEST(LoadEstimateTest, DelayedReportIsComparedWithOwnLoadAtItsTime) {
  LoadEstimate load;
  for (int i = 0; i < 5; ++i) {
    load.Start(1, 0.1, kStart + 1s);
  }
  for (int i = 0; i < 5; ++i) {
    load.Finish(1, 0.1, kStart + 4s);
  }
  load.OnReport({.running = 5, .age = 5s}, kStart + 7s);
  EXPECT_DOUBLE_EQ(load.OthersRunning(kStart + 7s), 0);
}

// Guards against an old report that diverts work from the upstream permanently.
TEST(LoadEstimateTest, LoadOfOtherDaemonsDecaysWithTheAgeOfTheReport) {
  LoadEstimate load;
  load.OnReport({.running = 8}, kStart + 1s);
  EXPECT_DOUBLE_EQ(load.OthersRunning(kStart + 1s), 8);
  EXPECT_LT(load.OthersRunning(kStart + 6s), 3);
  EXPECT_LT(load.OthersRunning(kStart + 60s), 0.01);
}

// Guards against a predicted wait in which reports outweigh own running attempts.
TEST(LoadEstimateTest, OwnRunningAttemptsIncreaseThePredictedWait) {
  LoadEstimate idle;
  LoadEstimate busy;
  for (int i = 0; i < 8; ++i) {
    busy.Start(2, 0.2, kStart + 1s);
  }
  EXPECT_GT(busy.PredictedWait(0.1, 8, kStart + 1s), idle.PredictedWait(0.1, 8, kStart + 1s) + 1);
}

// Guards against estimates that drift after many attempts.
TEST(LoadEstimateTest, LoadIsZeroWhenAllAttemptsEnded) {
  LoadEstimate load;
  for (int i = 0; i < 1000; ++i) {
    load.Start(0.1 * i, 0.01, kStart + 1s);
  }
  for (int i = 0; i < 1000; ++i) {
    load.FinishPrompt(0.01);
    load.Finish(0.1 * i, 0, kStart + 2s);
  }
  EXPECT_EQ(load.running(), 0);
  EXPECT_DOUBLE_EQ(load.PredictedWait(0, 8, kStart + 2s), 0);
}

// Guards against an upstream that is avoided permanently after a slow phase, because it receives no
// requests that would show its recovery.
TEST(LoadEstimateTest, LatencyRatioDecaysWithoutNewSamples) {
  LoadEstimate load;
  for (int i = 0; i < 100; ++i) {
    load.OnLatency(5, kStart + 1s);
  }
  EXPECT_GT(load.LatencyRatioAt(kStart + 1s), 4);
  EXPECT_LT(load.LatencyRatioAt(kStart + 61s), 1.1);
}

}  // namespace
}  // namespace savoryglade
