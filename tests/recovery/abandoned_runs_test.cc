#include "recovery/abandoned_runs.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade {
namespace {

TimePoint At(Duration time) { return TimePoint(100s) + time; }

RequestRun MakeRun(const std::string& attempt) { return {.attempt_id = attempt}; }

TEST(AbandonedRunsTest, AttributesTheEndOfAProcessToItsRunsOnce) {
  AbandonedRuns runs;
  runs.Add(1, MakeRun("a"), At(0s));
  runs.Add(2, MakeRun("b"), At(0s));
  runs.Add(1, MakeRun("c"), At(1s));
  const std::vector<RequestRun> taken = runs.Take(1, At(2s));
  ASSERT_EQ(taken.size(), 2U);
  EXPECT_EQ(taken[0].attempt_id, "a");
  EXPECT_EQ(taken[1].attempt_id, "c");
  EXPECT_TRUE(runs.Take(1, At(2s)).empty());
  EXPECT_EQ(runs.Take(2, At(2s)).size(), 1U);
}

// Guards against losses for requests that were abandoned long before the process ended.
TEST(AbandonedRunsTest, ForgetsRunsAfterTheAttributionTime) {
  AbandonedRuns runs;
  runs.Add(1, MakeRun("a"), At(0s));
  runs.Add(1, MakeRun("b"), At(2s));
  EXPECT_EQ(runs.Take(1, At(4s)).size(), 1U);
  EXPECT_EQ(runs.size(), 0U);
}

// Guards against losses for a request that the upstream survived although its caller had left.
TEST(AbandonedRunsTest, ProcessThatAnswersLaterRequestsHasSurvivedTheRun) {
  AbandonedRuns runs;
  runs.Add(1, MakeRun("a"), At(0s));
  // The crash may follow some time after the caller has left.
  runs.OnAnswer(1, At(500ms));
  EXPECT_EQ(runs.size(), 1U);
  runs.OnAnswer(2, At(1s));
  EXPECT_EQ(runs.size(), 1U);
  runs.OnAnswer(1, At(1s));
  EXPECT_TRUE(runs.Take(1, At(1100ms)).empty());
}

TEST(AbandonedRunsTest, NumberOfRunsIsBounded) {
  AbandonedRuns runs;
  for (int i = 0; i < 10'000; ++i) {
    runs.Add(1, MakeRun("a"), At(0s));
  }
  EXPECT_EQ(runs.size(), 4096U);
}

}  // namespace
}  // namespace savoryglade
