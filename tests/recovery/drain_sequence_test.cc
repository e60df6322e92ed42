#include "recovery/drain_policy.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

// Guards against accepting a stream on a keep-alive connection five seconds after the stop order,
// which is then cut off at the end of the grace period.
TEST(DrainPolicyTest, RefusesStreamThatMayBeCutOff) {
  const DrainPolicy policy({.grace_period = 8s});
  EXPECT_TRUE(policy.Accepts(CallKind::kStream, 2900ms));
  EXPECT_FALSE(policy.Accepts(CallKind::kStream, 3s));
  EXPECT_FALSE(policy.Accepts(CallKind::kStream, 5s));
}

TEST(DrainPolicyTest, AcceptsShortCallsUntilTheyCouldBeCutOff) {
  const DrainPolicy policy({.grace_period = 8s});
  EXPECT_TRUE(policy.Accepts(CallKind::kAtMostOnce, 3900ms));
  EXPECT_FALSE(policy.Accepts(CallKind::kAtMostOnce, 4s));
  EXPECT_FALSE(policy.Accepts(CallKind::kIdempotent, 4s));
}

TEST(DrainPolicyTest, ExitsWhenLoadBalancerHasNoticedAndNothingIsInFlight) {
  const DrainPolicy policy({.grace_period = 8s});
  EXPECT_FALSE(policy.ShouldExit(1s, 0));
  EXPECT_TRUE(policy.ShouldExit(3s, 0));
  EXPECT_FALSE(policy.ShouldExit(3s, 1));
}

TEST(DrainPolicyTest, ExitsBeforeProcessIsKilled) {
  const DrainPolicy policy({.grace_period = 8s});
  EXPECT_FALSE(policy.ShouldExit(7300ms, 5));
  EXPECT_TRUE(policy.ShouldExit(7400ms, 5));
}

}  // namespace
}  // namespace savoryglade
