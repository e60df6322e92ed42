#include "capacity/capacity_planner.h"

#include <gtest/gtest.h>

namespace savoryglade::capacity {
namespace {

const FailureDomainId kBergamo("bergamo");
const FailureDomainId kVerona("verona");

TimePoint At(Duration time) { return TimePoint(100s) + time; }

ScalingRule MakeRule() {
  return {.min_count = 1,
          .max_count = 10,
          .boot_time = 4s,
          .reclaimable_price = 0.22,
          .prices = {{kBergamo, 0.8}, {kVerona, 1.25}}};
}

class CapacityPlannerTest : public testing::Test {
 protected:
  CapacityPlannerTest() : planner_({}) { planner_.SetBaseline(6, true); }

  CapacityPlan Plan(double demand, const CapacityPlan& serving, const CapacityPlan& ordered = {},
                    Duration time = 0s) {
    return planner_.Plan(MakeRule(), demand, serving, ordered, At(time));
  }

  static int Total(const CapacityPlan& plan) {
    int total = 0;
    for (const auto& [domain, capacity] : plan) {
      total += capacity.total();
    }
    return total;
  }

  CapacityPlanner planner_;
};

TEST_F(CapacityPlannerTest, OnDemandWorkersAreReleasedOnceReclaimableOnesServe) {
  const CapacityPlan start = {{kBergamo, {.on_demand = 3}}, {kVerona, {.on_demand = 3}}};
  CapacityPlan plan = Plan(0, start);
  EXPECT_EQ(plan[kBergamo], (DomainCapacity{.on_demand = 3, .reclaimable = 3}));
  EXPECT_EQ(plan[kVerona], (DomainCapacity{.on_demand = 3, .reclaimable = 3}));
  plan = Plan(0, plan);
  EXPECT_EQ(plan[kBergamo], (DomainCapacity{.reclaimable = 3}));
  EXPECT_EQ(plan[kVerona], (DomainCapacity{.reclaimable = 3}));
}

// Guards against releasing workers while some have not registered yet.
TEST_F(CapacityPlannerTest, KeepsOnDemandWorkersUntilTheBaselineIsFinal) {
  planner_.SetBaseline(1, false);
  const CapacityPlan start = {{kBergamo, {.on_demand = 1, .reclaimable = 1}}};
  EXPECT_EQ(Plan(0, start)[kBergamo].on_demand, 1);
}

// Load pattern: traffic grows threefold within seconds, then falls.
TEST_F(CapacityPlannerTest, ScalesUpImmediatelyAndDownAfterThePeakWindow) {
  const CapacityPlan serving = {{kBergamo, {.reclaimable = 3}}, {kVerona, {.reclaimable = 3}}};
  EXPECT_EQ(Total(Plan(2, serving, {}, 0s)), 6);
  EXPECT_EQ(Total(Plan(6, serving, {}, 1s)), 17);
  EXPECT_EQ(Total(Plan(2, serving, {}, 10s)), 17);
  EXPECT_EQ(Total(Plan(2, serving, {}, 40s)), 6);
}

// Guards against a new duty holder that has observed no demand yet and releases workers.
TEST_F(CapacityPlannerTest, SeededPeakDemandKeepsTheServingWorkers) {
  const CapacityPlan serving = {{kBergamo, {.reclaimable = 6}}, {kVerona, {.reclaimable = 6}}};
  planner_.SeedPeakDemand(12, At(0s));
  EXPECT_EQ(Total(Plan(0, serving, {}, 1s)), 12);
  EXPECT_EQ(Total(Plan(0, serving, {}, 40s)), 6);
}

// Load pattern: a failure domain reclaims its workers and has no more reclaimable ones.
TEST_F(CapacityPlannerTest, OtherDomainsReplaceUnavailableReclaimableWorkers) {
  const CapacityPlan ordered = {{kBergamo, {.reclaimable = 3}}, {kVerona, {.reclaimable = 3}}};
  const CapacityPlan serving = {{kVerona, {.reclaimable = 3}}};
  planner_.OnReclaimableUnavailable(kBergamo, At(0s));
  CapacityPlan plan = Plan(2, serving, ordered);
  EXPECT_EQ(plan[kVerona].reclaimable, 6);
  // The order stays, so that the workers return when they are available.
  EXPECT_EQ(plan[kBergamo].reclaimable, 3);
  EXPECT_EQ(plan[kBergamo].on_demand, 0);
}

// Load pattern: no reclaimable workers are available, and the remaining workers cannot serve the
// demand.
TEST_F(CapacityPlannerTest, OrdersOnlyTheOnDemandWorkersThatDemandNeeds) {
  const CapacityPlan ordered = {{kBergamo, {.reclaimable = 3}}, {kVerona, {.reclaimable = 3}}};
  const CapacityPlan serving = {{kVerona, {.reclaimable = 3}}};
  planner_.OnReclaimableUnavailable(kBergamo, At(0s));
  planner_.OnReclaimableUnavailable(kVerona, At(0s));
  // 60% of the baseline of 6.
  CapacityPlan plan = Plan(1.8, serving, ordered);
  EXPECT_EQ(plan[kBergamo].on_demand, 1);
  plan = Plan(3, serving, ordered);
  EXPECT_EQ(plan[kBergamo].on_demand, 2);
  // They are not released while they boot.
  EXPECT_EQ(Plan(3, serving, plan)[kBergamo].on_demand, 2);
}

// Guards against a fleet that keeps only a third of its workers because a recently started duty
// holder has observed no demand.
TEST_F(CapacityPlannerTest, KeepsMinimumBaselineFractionWithoutDemand) {
  const CapacityPlan ordered = {{kBergamo, {.reclaimable = 3}}, {kVerona, {.reclaimable = 3}}};
  const CapacityPlan serving = {{kVerona, {.reclaimable = 1}}};
  planner_.OnReclaimableUnavailable(kBergamo, At(0s));
  planner_.OnReclaimableUnavailable(kVerona, At(0s));
  CapacityPlan plan = Plan(0, serving, ordered);
  EXPECT_EQ(plan[kBergamo].on_demand, 3);
}

// Guards against four consecutive reclaims after which orders that cannot be met use up the limit
// of each domain, so that no on-demand worker can be ordered.
TEST_F(CapacityPlannerTest, UnmetOrdersAreReducedForOnDemandWorkers) {
  const CapacityPlan ordered = {{kBergamo, {.reclaimable = 10}}, {kVerona, {.reclaimable = 10}}};
  planner_.OnReclaimableUnavailable(kBergamo, At(0s));
  planner_.OnReclaimableUnavailable(kVerona, At(0s));
  CapacityPlan plan = Plan(8, {}, ordered);
  EXPECT_EQ(plan[kBergamo], (DomainCapacity{.on_demand = 10}));
  EXPECT_EQ(plan[kVerona], (DomainCapacity{.on_demand = 2, .reclaimable = 8}));
}

// Load pattern: a burst meets two reclaims; afterwards a domain holds on-demand workers up to its
// limit. Guards against keeping them for as long as reclaimable ones have no room beside them.
TEST_F(CapacityPlannerTest, OnDemandWorkersAtTheLimitAreReplacedByReclaimableOnes) {
  const CapacityPlan serving = {{kBergamo, {.on_demand = 10}}, {kVerona, {.reclaimable = 2}}};
  // The demand of 6 needs 9 of the 12 workers at least, so 3 may go at a time.
  EXPECT_EQ(Plan(6, serving, serving)[kBergamo],
            (DomainCapacity{.on_demand = 7, .reclaimable = 3}));
}

// Guards against releasing workers that the demand needs before others have taken their place.
TEST_F(CapacityPlannerTest, OnDemandWorkersThatTheDemandNeedsAreNotReplacedAtTheLimit) {
  const CapacityPlan serving = {{kBergamo, {.on_demand = 10}}};
  EXPECT_EQ(Plan(7, serving, serving)[kBergamo], (DomainCapacity{.on_demand = 10}));
}

// Guards against giving up on-demand workers where a domain has no reclaimable ones.
TEST_F(CapacityPlannerTest, OnDemandWorkersStayWhereReclaimableOnesAreUnavailable) {
  const CapacityPlan serving = {{kBergamo, {.on_demand = 10}}, {kVerona, {.reclaimable = 2}}};
  planner_.OnReclaimableUnavailable(kBergamo, At(0s));
  planner_.OnReclaimableUnavailable(kVerona, At(0s));
  EXPECT_EQ(Plan(8, serving, serving)[kBergamo].reclaimable, 0);
}

// Load pattern: a burst of a few seconds while no reclaimable workers are available. Guards against
// paying for the on-demand workers that it needed for the whole peak window.
TEST_F(CapacityPlannerTest, OnDemandWorkersAreReleasedSoonAfterAShortPeak) {
  const CapacityPlan serving = {{kBergamo, {.on_demand = 6, .reclaimable = 4}},
                                {kVerona, {.reclaimable = 4}}};
  EXPECT_GT(Plan(7, serving, serving, 0s)[kBergamo].on_demand, 0);
  EXPECT_GT(Plan(2, serving, serving, 5s)[kBergamo].on_demand, 0);
  EXPECT_EQ(Plan(2, serving, serving, 15s)[kBergamo].on_demand, 0);
}

TEST_F(CapacityPlannerTest, StaysWithinTheLimitsOfEachDomain) {
  CapacityPlan plan = Plan(100, {});
  EXPECT_EQ(plan[kBergamo].total(), 10);
  EXPECT_EQ(plan[kVerona].total(), 10);
  planner_.SetBaseline(0, true);
  CapacityPlanner small({});
  plan = small.Plan(MakeRule(), 0, {}, {}, At(0s));
  EXPECT_EQ(plan[kBergamo].total(), 1);
  EXPECT_EQ(plan[kVerona].total(), 1);
}

}  // namespace
}  // namespace savoryglade::capacity
