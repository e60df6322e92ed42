#include "capacity/window_commits.h"

#include <gtest/gtest.h>

namespace savoryglade::capacity {
namespace {

const AccountId kDrivers("drivers");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

// Guards against a window that is reported twice with different counts, because the store has lost
// the counts that an earlier holder reported.
TEST(MissingCountsTest, MayBeReportedIfTheyWereCommittedBeforeTheStoreReturned) {
  EXPECT_FALSE(AreNeverCommitted(
      {.earliest_commit = At(5s), .lease_since = At(8s), .rows_lost_before = At(7s)}));
  EXPECT_FALSE(AreNeverCommitted(
      {.earliest_commit = At(5s), .lease_since = At(5s), .rows_lost_before = At(5s)}));
}

TEST(MissingCountsTest, AreNeverCommittedIfTheWindowEndedAfterTheStoreReturned) {
  EXPECT_TRUE(AreNeverCommitted(
      {.earliest_commit = At(9s), .lease_since = At(10s), .rows_lost_before = At(7s)}));
}

TEST(MissingCountsTest, AreNeverCommittedIfThisDaemonHasHeldTheLeaseSinceTheWindow) {
  EXPECT_TRUE(AreNeverCommitted(
      {.earliest_commit = At(5s), .lease_since = At(1s), .rows_lost_before = At(7s)}));
}

TEST(MissingCountsTest, AreNeverCommittedIfTheStoreHasAlwaysKeptItsRows) {
  EXPECT_TRUE(AreNeverCommitted({.earliest_commit = At(5s), .lease_since = At(8s)}));
}

TEST(WindowCommitsTest, ReturnsTheCountsThatWereCommitted) {
  WindowCommits commits;
  EXPECT_EQ(commits.Find(5), nullptr);
  commits.Record(5, {{kDrivers, 3}}, 1);
  ASSERT_NE(commits.Find(5), nullptr);
  EXPECT_EQ(*commits.Find(5), (WindowCounts{{kDrivers, 3}}));
  commits.Forget(5);
  EXPECT_EQ(commits.Find(5), nullptr);
}

TEST(WindowCommitsTest, NamesTheWindowsOfEarlierErasUntilTheyAreRecordedAgain) {
  WindowCommits commits;
  commits.Record(5, {{kDrivers, 3}}, 1);
  commits.Record(6, {{kDrivers, 4}}, 2);
  EXPECT_EQ(commits.RecordedBefore(1), std::vector<WindowNumber>());
  EXPECT_EQ(commits.RecordedBefore(2), std::vector<WindowNumber>{5});
  commits.Record(5, {{kDrivers, 3}}, 2);
  EXPECT_EQ(commits.RecordedBefore(2), std::vector<WindowNumber>());
}

TEST(WindowCommitsTest, ForgetsOldWindows) {
  WindowCommits commits;
  commits.Record(5, {{kDrivers, 3}}, 1);
  commits.Record(6, {{kDrivers, 4}}, 1);
  commits.Expire(6);
  EXPECT_EQ(commits.Find(5), nullptr);
  EXPECT_NE(commits.Find(6), nullptr);
}

}  // namespace
}  // namespace savoryglade::capacity
