#include "recovery/window_retry_budget.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

const ServiceId kOrders("orders");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

int TakeAll(WindowRetryBudget& budget, TimePoint now) {
  int taken = 0;
  while (taken < 1000 && budget.TryConsume(kOrders, now)) {
    ++taken;
  }
  return taken;
}

// All upstreams fail at the same time, and every request asks for a retry.
TEST(WindowRetryBudgetTest, DaemonsTogetherStayWithinFleetLimit) {
  constexpr int kDaemons = 8;
  constexpr int kRequests = 100;
  int taken = 0;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    WindowRetryBudget budget({.ratio = 0.2, .allowance = 56}, At(-60s));
    budget.SetDaemonCount(kDaemons, At(-60s));
    for (int i = 0; i < kRequests; ++i) {
      budget.OnRequest(kOrders, At(i * 10ms));
    }
    taken += TakeAll(budget, At(1s));
  }
  EXPECT_LE(taken, 0.2 * kDaemons * kRequests + 56);
  EXPECT_GE(taken, 0.2 * kDaemons * kRequests / 2);
}

TEST(WindowRetryBudgetTest, RetriesAreAvailableAgainAfterWindow) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 10, .usable_fraction = 1}, At(-60s));
  EXPECT_EQ(TakeAll(budget, At(0s)), 10);
  EXPECT_EQ(TakeAll(budget, At(9s)), 0);
  EXPECT_EQ(TakeAll(budget, At(10s)), 10);
}

// Guards against an allowance that is granted again because the process that used it has restarted.
TEST(WindowRetryBudgetTest, RestartedDaemonsStayWithinFleetLimit) {
  constexpr int kDaemons = 8;
  constexpr double kAllowance = 56;
  int taken = 0;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    for (const TimePoint started_at : {At(-60s), At(5s)}) {
      WindowRetryBudget budget({.ratio = 0, .allowance = kAllowance}, started_at);
      budget.SetDaemonCount(kDaemons, started_at);
      taken += TakeAll(budget, At(5s));
    }
  }
  EXPECT_LE(taken, kAllowance);
  EXPECT_GT(taken, kAllowance / 2);
}

TEST(WindowRetryBudgetTest, WholeShareIsAvailableOneWindowAfterTheStart) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 100}, At(0s));
  EXPECT_EQ(TakeAll(budget, At(9s)), 20);
  EXPECT_EQ(TakeAll(budget, At(20s)), 80);
}

// Guards against daemons that divide the allowance among fewer daemons because they hear only their
// side of a partition.
TEST(WindowRetryBudgetTest, PartitionedDaemonsStayWithinFleetLimit) {
  constexpr int kDaemons = 8;
  constexpr double kAllowance = 56;
  int taken = 0;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    WindowRetryBudget budget({.ratio = 0, .allowance = kAllowance}, At(-60s));
    budget.SetDaemonCount(kDaemons, At(0s));
    budget.SetDaemonCount(kDaemons / 2, At(31s));
    taken += TakeAll(budget, At(300s));
  }
  EXPECT_LE(taken, kAllowance);
}

TEST(WindowRetryBudgetTest, SharesGrowAfterTheFleetHasShrunkForGood) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 80, .usable_fraction = 1}, At(-60s));
  budget.SetDaemonCount(8, At(0s));
  budget.SetDaemonCount(4, At(1s));
  EXPECT_EQ(TakeAll(budget, At(1s)), 10);
  budget.SetDaemonCount(4, At(602s));
  EXPECT_EQ(TakeAll(budget, At(602s)), 20);
}

// Guards against the return of a stream to the engine that stopped it, which can't be refused any
// more and would be missing in the sum.
TEST(WindowRetryBudgetTest, RetriesOfAMoveAreConsumedTogether) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 10, .usable_fraction = 1}, At(-60s));
  for (int i = 0; i < 9; ++i) {
    EXPECT_TRUE(budget.TryConsume(kOrders, At(0s)));
  }
  EXPECT_FALSE(budget.TryConsume(kOrders, At(1s), 2));
  EXPECT_EQ(TakeAll(budget, At(1s)), 1);
}

TEST(WindowRetryBudgetTest, RefundedRetriesAreAvailableAgain) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 10, .usable_fraction = 1}, At(-60s));
  EXPECT_EQ(TakeAll(budget, At(0s)), 10);
  budget.Refund(kOrders, 1, At(0s), At(1s));
  EXPECT_EQ(TakeAll(budget, At(1s)), 1);
  budget.Refund(ServiceId("model"), 1, At(0s), At(1s));
}

// Guards against a return that is given back in the place of a later retry, which would then be
// missing in the windows that follow.
TEST(WindowRetryBudgetTest, RefundLeavesLaterRetriesInTheWindow) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 10, .usable_fraction = 1}, At(-60s));
  EXPECT_TRUE(budget.TryConsume(kOrders, At(0s), 5));
  EXPECT_TRUE(budget.TryConsume(kOrders, At(5s), 5));
  budget.Refund(kOrders, 5, At(0s), At(6s));
  EXPECT_EQ(TakeAll(budget, At(6s)), 5);
  EXPECT_EQ(TakeAll(budget, At(11s)), 0);
  EXPECT_EQ(TakeAll(budget, At(15s)), 5);
}

// Guards against a return that is given back after it has left the window, and takes a retry that
// was made out of it.
TEST(WindowRetryBudgetTest, LateRefundLeavesRetriesInTheWindow) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 10, .usable_fraction = 1}, At(-60s));
  EXPECT_TRUE(budget.TryConsume(kOrders, At(0s), 5));
  EXPECT_TRUE(budget.TryConsume(kOrders, At(9s), 5));
  EXPECT_TRUE(budget.TryConsume(kOrders, At(11s), 5));
  budget.Refund(kOrders, 5, At(0s), At(12s));
  EXPECT_EQ(TakeAll(budget, At(12s)), 0);
}

// Guards against requests that pay for retries here after their callers have gone to other daemons,
// where the same requests pay for more.
TEST(WindowRetryBudgetTest, RetriesArePaidByRequestsOfTheLastQuarterOfTheWindow) {
  WindowRetryBudget budget({.ratio = 0.2, .allowance = 0, .usable_fraction = 1}, At(-60s));
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest(kOrders, At(i * 100ms));
  }
  EXPECT_EQ(TakeAll(budget, At(9900ms)), 5);
}

// Guards against a service with few requests that gets no retry at all.
TEST(WindowRetryBudgetTest, FewRequestsPayForARetryTogether) {
  WindowRetryBudget budget({.ratio = 0.2, .allowance = 0, .usable_fraction = 1}, At(-60s));
  for (int i = 0; i < 10; ++i) {
    budget.OnRequest(kOrders, At(i * 1s));
  }
  EXPECT_EQ(TakeAll(budget, At(9s)), 1);
}

TEST(WindowRetryBudgetTest, EachServiceHasItsOwnBudget) {
  WindowRetryBudget budget({.ratio = 0, .allowance = 1, .usable_fraction = 1}, At(-60s));
  EXPECT_TRUE(budget.TryConsume(kOrders, At(0s)));
  EXPECT_FALSE(budget.TryConsume(kOrders, At(0s)));
  EXPECT_TRUE(budget.TryConsume(ServiceId("model"), At(0s)));
}

}  // namespace
}  // namespace savoryglade
