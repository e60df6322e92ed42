#include "routing/hedge_budget.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against hedges that exceed the budget of 2% while all upstreams are slow.
TEST(HedgeBudgetTest, HedgesThatWasteTheirWholeCostStayBelowTwoPercent) {
  HedgeBudget budget;
  double dispatched = 0;
  double hedged = 0;
  for (int i = 0; i < 100000; ++i) {
    budget.AccrueCredit(1);
    dispatched += 1;
    if (budget.Allows(1)) {
      budget.Reserve(1);
      budget.Settle(1, 1);
      hedged += 1;
    }
  }
  EXPECT_GT(hedged, 0);
  EXPECT_LE(hedged, 0.02 * dispatched);
  EXPECT_DOUBLE_EQ(budget.wasted(), hedged);
}

// Guards against credit that accumulates at low load and later allows many hedges at once.
TEST(HedgeBudgetTest, CreditIsBounded) {
  HedgeBudget budget;
  for (int i = 0; i < 1000000; ++i) {
    budget.AccrueCredit(1);
  }
  int allowed = 0;
  while (budget.Allows(1)) {
    budget.Reserve(1);
    ++allowed;
  }
  EXPECT_LE(allowed, 16);
}

// Guards against a reservation whose unused part is not released when an attempt is cancelled.
TEST(HedgeBudgetTest, UnusedPartOfAReservationIsReleased) {
  HedgeBudget budget;
  for (int i = 0; i < 100; ++i) {
    budget.AccrueCredit(1);
  }
  ASSERT_TRUE(budget.Allows(1));
  budget.Reserve(1);
  EXPECT_FALSE(budget.Allows(1));
  budget.Settle(1, 0.1);
  EXPECT_TRUE(budget.Allows(1));
  EXPECT_FALSE(budget.Allows(1.5));
}

}  // namespace
}  // namespace savoryglade
