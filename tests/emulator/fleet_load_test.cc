#include "emulator/fleet_load.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace savoryglade {
namespace {

constexpr std::uint64_t kSeed = 3;
constexpr LoadPolicy kEarlier{.admission = std::nullopt, .candidates = 0};
// As a daemon of a fleet with groups decides.
constexpr LoadPolicy kCurrent{.candidates = 2};

double ServedShare(const LoadOutcome& outcome) { return outcome.Total().served_share(); }

double OwedShare(const LoadOutcome& outcome) {
  const ClassOutcome total = outcome.Total();
  return total.benefit / total.owed;
}

// Guards against a herd: daemons that hold the same old reports and choose the same engine.
TEST(FleetLoadTest, DaemonsWithTheSameReportsSpreadTheirRequests) {
  const LoadPattern pattern = CalmPattern(100);
  const LoadOutcome earlier = PlayLoad(pattern, kEarlier, kSeed);
  const LoadOutcome current = PlayLoad(pattern, kCurrent, kSeed);
  EXPECT_LT(current.imbalance, 0.8 * earlier.imbalance);
  EXPECT_GT(OwedShare(current), 0.9);
  EXPECT_GT(OwedShare(current), OwedShare(earlier));
}

// Guards against refusals while the engines keep up.
TEST(FleetLoadTest, CalmLoadIsServed) {
  for (const int daemons : {8, 30}) {
    const LoadOutcome outcome = PlayLoad(CalmPattern(daemons), kCurrent, kSeed);
    for (const auto& [name, served] : outcome.classes) {
      EXPECT_GT(served.served_share(), 0.98) << name << " of " << daemons << " daemons";
    }
  }
}

// Guards against queues at the engines in which all requests become late.
TEST(FleetLoadTest, OverloadLeavesMoreBenefitThanFirstComeFirstServed) {
  for (const double factor : {1.5, 3.0}) {
    const LoadPattern pattern = OverloadPattern(30, factor);
    const LoadOutcome earlier = PlayLoad(pattern, kEarlier, kSeed);
    const LoadOutcome current = PlayLoad(pattern, kCurrent, kSeed);
    EXPECT_GT(BenefitBetween(current, kOverloadFrom, kOverloadTo),
              1.2 * BenefitBetween(earlier, kOverloadFrom, kOverloadTo))
        << factor;
    EXPECT_LT(current.attempts, earlier.attempts) << factor;
  }
}

// Guards against a collapse: more callers, and less that ends in time.
TEST(FleetLoadTest, DoubledOverloadDoesNotLowerTheBenefit) {
  const LoadOutcome once = PlayLoad(OverloadPattern(30, 1.5), kCurrent, kSeed);
  const LoadOutcome twice = PlayLoad(OverloadPattern(30, 3), kCurrent, kSeed);
  EXPECT_GE(BenefitBetween(twice, kOverloadFrom, kOverloadTo),
            BenefitBetween(once, kOverloadFrom, kOverloadTo));
}

// Guards against a fleet that stays slow after the load has gone.
TEST(FleetLoadTest, BenefitIsBackFiveSecondsAfterTheOverload) {
  const LoadOutcome outcome = PlayLoad(OverloadPattern(30, 3), kCurrent, kSeed);
  const LoadOutcome calm = PlayLoad(OverloadPattern(30, 0.8), kCurrent, kSeed);
  const Duration from = kOverloadTo + 5s;
  EXPECT_GT(BenefitBetween(outcome, from, from + 5s), 0.85 * BenefitBetween(calm, from, from + 5s));
}

// Guards against streams that all become late while half of the engines are away.
TEST(FleetLoadTest, ReclaimedEnginesLeaveUrgentWorkOnTime) {
  const LoadPattern pattern = ReclaimPattern(30);
  const LoadOutcome earlier = PlayLoad(pattern, kEarlier, kSeed);
  const LoadOutcome current = PlayLoad(pattern, kCurrent, kSeed);
  EXPECT_GT(OwedShare(current), OwedShare(earlier));
  EXPECT_GT(current.classes.at("recap").on_time, earlier.classes.at("recap").on_time);
}

// Guards against a failure domain whose callers are served less because they are many.
TEST(FleetLoadTest, CallersThatMoveToOneFailureDomainAreServedLikeOthers) {
  const LoadOutcome outcome = PlayLoad(ShiftPattern(30), kCurrent, kSeed);
  const double served = ServedShare(outcome);
  for (const ClassOutcome& domain : outcome.failure_domains) {
    EXPECT_GT(domain.served_share(), served - 0.15);
  }
}

}  // namespace
}  // namespace savoryglade
