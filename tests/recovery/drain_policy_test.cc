#include "recovery/drain_policy.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

// Guards against streams on kept connections that were taken five seconds after the order to stop
// and cut off at its end.
TEST(DrainPolicyTest, TakesNoStreamThatMayBeCutOff) {
  const DrainPolicy policy({.grace = 8s});
  EXPECT_TRUE(policy.Takes(CallKind::kStream, 2900ms));
  EXPECT_FALSE(policy.Takes(CallKind::kStream, 3s));
  EXPECT_FALSE(policy.Takes(CallKind::kStream, 5s));
}

TEST(DrainPolicyTest, TakesShortCallsUntilTheyCouldBeCutOff) {
  const DrainPolicy policy({.grace = 8s});
  EXPECT_TRUE(policy.Takes(CallKind::kAtMostOnce, 3900ms));
  EXPECT_FALSE(policy.Takes(CallKind::kAtMostOnce, 4s));
  EXPECT_FALSE(policy.Takes(CallKind::kIdempotent, 4s));
}

TEST(DrainPolicyTest, EndsWhenTheBalancerHasNoticedAndNothingIsInFlight) {
  const DrainPolicy policy({.grace = 8s});
  EXPECT_FALSE(policy.Ends(1s, 0));
  EXPECT_TRUE(policy.Ends(3s, 0));
  EXPECT_FALSE(policy.Ends(3s, 1));
}

TEST(DrainPolicyTest, EndsBeforeTheProcessIsKilled) {
  const DrainPolicy policy({.grace = 8s});
  EXPECT_FALSE(policy.Ends(7300ms, 5));
  EXPECT_TRUE(policy.Ends(7400ms, 5));
}

}  // namespace
}  // namespace savoryglade
