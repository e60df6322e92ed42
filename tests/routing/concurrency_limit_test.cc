#include "routing/concurrency_limit.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

void Complete(ConcurrencyLimit& limit, double ratio, int count) {
  for (int i = 0; i < count; ++i) {
    limit.OnCompleted(ratio, limit.limit() - 1);
  }
}

// Guards against a new upstream that receives its full load before it has answered a request.
TEST(ConcurrencyLimitTest, NewUpstreamStartsLowAndDoublesWithEachRound) {
  ConcurrencyLimit limit(64);
  EXPECT_EQ(limit.limit(), 4);
  Complete(limit, 1, 4);
  EXPECT_EQ(limit.limit(), 8);
  Complete(limit, 1, 8);
  EXPECT_EQ(limit.limit(), 16);
  Complete(limit, 1, 100);
  EXPECT_EQ(limit.limit(), 64);
}

// Guards against a limit that stays high while the upstream queues. One round of slow answers must
// halve it.
TEST(ConcurrencyLimitTest, LimitFallsByHalfInOneSlowRound) {
  ConcurrencyLimit limit(64);
  Complete(limit, 1, 200);
  ASSERT_EQ(limit.limit(), 64);
  Complete(limit, 6, 64);
  EXPECT_LT(limit.limit(), 32);
  EXPECT_GE(limit.limit(), 1);
}

// Guards against a limit that does not recover after an overload.
TEST(ConcurrencyLimitTest, LimitRisesAgainWhenLatencyIsNormal) {
  ConcurrencyLimit limit(64);
  Complete(limit, 1, 200);
  Complete(limit, 6, 64);
  Complete(limit, 1, 1500);
  EXPECT_GE(limit.limit(), 60);
}

// Guards against an upstream that receives no requests because its limit reached zero.
TEST(ConcurrencyLimitTest, LimitStaysBetweenMinimumAndMaximum) {
  ConcurrencyLimit limit(8);
  for (int i = 0; i < 50; ++i) {
    limit.OnRefused(0);
  }
  EXPECT_EQ(limit.limit(), 1);
  Complete(limit, 1, 5000);
  EXPECT_EQ(limit.limit(), 8);
  limit.SetMaximum(2);
  EXPECT_EQ(limit.limit(), 2);
}

// Guards against a limit that grows while few requests arrive and then admits a burst larger than
// any load the upstream has handled.
TEST(ConcurrencyLimitTest, LimitDoesNotGrowWhileItIsNotReached) {
  ConcurrencyLimit limit(1000);
  limit.OnRefused(20);
  const int before = limit.limit();
  for (int i = 0; i < 500; ++i) {
    limit.OnCompleted(1, 0);
  }
  EXPECT_EQ(limit.limit(), before);
}

}  // namespace
}  // namespace savoryglade
