#include "routing/concurrency_limit.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

void Complete(ConcurrencyLimit& limit, double ratio, int count) {
  for (int i = 0; i < count; ++i) {
    limit.OnCompleted(ratio, limit.limit() - 1);
  }
}

// Guards against a new upstream that gets its full load before it answered anything.
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

// Guards against a limit that stays high while the upstream queues: one round of slow answers must
// halve it.
TEST(ConcurrencyLimitTest, LimitFallsByHalfInOneSlowRound) {
  ConcurrencyLimit limit(64);
  Complete(limit, 1, 200);
  ASSERT_EQ(limit.limit(), 64);
  Complete(limit, 6, 64);
  EXPECT_LT(limit.limit(), 32);
  EXPECT_GE(limit.limit(), 1);
}

// Guards against a limit that never recovers after the load has gone.
TEST(ConcurrencyLimitTest, LimitRisesAgainWhenLatencyIsNormal) {
  ConcurrencyLimit limit(64);
  Complete(limit, 1, 200);
  Complete(limit, 6, 64);
  Complete(limit, 1, 1500);
  EXPECT_GE(limit.limit(), 60);
}

// Guards against an upstream that is shut out because its limit reaches zero.
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

// Guards against a limit that grows without bound while few requests arrive, and then lets a burst
// through that was never tried.
TEST(ConcurrencyLimitTest, UnusedLimitDoesNotGrow) {
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
