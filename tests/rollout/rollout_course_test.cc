#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>

#include "tests/rollout/rollout_model.h"

namespace savoryglade::rollout {
namespace {

constexpr int kCourses = 1000;
constexpr double kShare = 0.1;
constexpr double kAllowance = 50;

struct Statistics {
  int completed = 0;
  int rolled_back = 0;
  int open = 0;
  double worst_exposure = -1e9;
  // Courses whose exposure exceeds the bound.
  int over_exposed = 0;
  int most_bad = 0;
  double mean_bad = 0;
  Duration latest = Duration::zero();
  Duration longest_after_50th = Duration::zero();
  int cut_off = 0;
  double least_peak_ratio = 1e9;
  // Of the courses, the least and the mean of the greatest slot use during the canary.
  double least_use = 1e9;
  double mean_use = 0;
  std::map<std::string, int> reasons;
};

Statistics RunCourses(const CourseOptions& options, const std::string& name) {
  Statistics statistics;
  for (int seed = 1; seed <= kCourses; ++seed) {
    const CourseResult result = RolloutCourse(options, static_cast<std::uint64_t>(seed)).Run();
    statistics.completed += result.outcome == RolloutStage::kCompleted ? 1 : 0;
    statistics.rolled_back += result.outcome == RolloutStage::kRolledBack ? 1 : 0;
    statistics.open += IsFinal(result.outcome) ? 0 : 1;
    statistics.worst_exposure = std::max(statistics.worst_exposure, result.ExposureOver(kShare));
    statistics.over_exposed += result.ExposureOver(kShare) > kAllowance ? 1 : 0;
    statistics.most_bad = std::max(statistics.most_bad, result.bad_responses);
    statistics.mean_bad += static_cast<double>(result.bad_responses) / kCourses;
    statistics.latest = std::max(statistics.latest, result.outcome_at);
    statistics.longest_after_50th = std::max(statistics.longest_after_50th, result.sent_after_50th);
    statistics.cut_off += result.cut_off;
    ++statistics.reasons[result.reason];
    statistics.least_peak_ratio = std::min(statistics.least_peak_ratio, result.peak_ratio);
    statistics.least_use = std::min(statistics.least_use, result.canary_use);
    statistics.mean_use += result.canary_use / kCourses;
  }
  std::printf(
      "%s: completed %d, rolled back %d, open %d; worst exposure %+.1f, bad responses %.1f (most "
      "%d), latest outcome %.1f s, after the 50th %.1f s, cut off %d, least peak load %.2f, "
      "canary's slot use %.2f (least %.2f)\n",
      name.c_str(), statistics.completed, statistics.rolled_back, statistics.open,
      statistics.worst_exposure, statistics.mean_bad, statistics.most_bad,
      ToSeconds(statistics.latest), ToSeconds(statistics.longest_after_50th), statistics.cut_off,
      statistics.least_peak_ratio, statistics.mean_use, statistics.least_use);
  for (const auto& [reason, count] : statistics.reasons) {
    std::printf("  %s: %d\n", reason.c_str(), count);
  }
  return statistics;
}

struct Case {
  std::string name;
  CourseOptions options;
  // Courses of 1,000 that may miss the right outcome.
  int allowed_misses = 0;
};

// A fleet that serves streams at a fifth of its slots. Faults show above half of the slots only.
CourseOptions LargeFleet(VersionFault fault, double load_slowdown = 0) {
  return {.daemons = 74,
          .requests_per_s = 350,
          .duration = 16s,
          .old_upstreams = 90,
          .new_upstreams = 90,
          .slots = 48,
          .fault = fault,
          .only_above_half = true,
          .report_delay = 600ms,
          .response_s = 2.2 / (1 + 0.2 * load_slowdown),
          .load_slowdown = load_slowdown,
          .first_event = 0.15};
}

// Guards against a canary that is as lightly loaded as the old version, or less than a busy one.
TEST(RolloutPlanTest, CanaryFillsFewUpstreams) {
  const auto upstreams_at = [](int running) {
    constexpr TimePoint kOrder(100s);
    RolloutPlan plan(PlanOptions{.bounds = {.exposure_share = kShare, .rollback = 5s}}, 16s,
                     kOrder);
    return plan
        .Decide({.counts = {{1, {.requests = 350}}},
                 .old_slots = 90 * 48,
                 .new_slots = 90 * 48,
                 .new_upstreams = 90,
                 .running_on_old = running},
                kOrder + 1s)
        .upstreams;
  };
  EXPECT_EQ(upstreams_at(90), 1);
  // 0.2 of the old slots: 65 requests at the canary, 0.68 of its 96 slots.
  EXPECT_EQ(upstreams_at(864), 2);
  // 0.9 of the old slots: 292 requests, as in the old version's 0.9 of 336 slots.
  EXPECT_EQ(upstreams_at(3888), 7);
}

class BadVersionTest : public testing::TestWithParam<Case> {};

// Guards against bad versions that are completed, exceed the exposure bound, or get requests long
// after their 50th bad response.
TEST_P(BadVersionTest, IsRolledBackWithinItsExposure) {
  const Statistics statistics = RunCourses(GetParam().options, GetParam().name);
  EXPECT_LE(kCourses - statistics.rolled_back, GetParam().allowed_misses);
  // A bad version that is missed gets all requests.
  EXPECT_LE(statistics.over_exposed, GetParam().allowed_misses);
  EXPECT_LT(statistics.longest_after_50th, 5s);
  EXPECT_LT(statistics.latest, GetParam().options.duration);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, BadVersionTest,
    testing::Values(
        Case{.name = "errors", .options = {.fault = VersionFault::kErrors}},
        Case{.name = "slow", .options = {.fault = VersionFault::kSlow}},
        Case{.name = "late_errors", .options = {.fault = VersionFault::kErrors, .fault_after = 3s}},
        Case{.name = "late_slow",
             .options = {.duration = 16s, .fault = VersionFault::kSlow, .fault_after = 3s}},
        Case{.name = "errors_under_load",
             .options = {.fault = VersionFault::kErrors, .only_under_load = true}},
        Case{.name = "slow_under_load",
             .options = {.fault = VersionFault::kSlow, .only_under_load = true}},
        Case{.name = "errors_on_rare_route",
             .options = {.fault = VersionFault::kErrors, .only_route = 4},
             .allowed_misses = 10},
        Case{.name = "slow_on_rare_route",
             .options = {.fault = VersionFault::kSlow, .only_route = 4},
             .allowed_misses = 10},
        Case{.name = "under_load_few_old_upstreams",
             .options = {.old_upstreams = 4,
                         .new_upstreams = 4,
                         .slots = 40,
                         .fault = VersionFault::kErrors,
                         .only_under_load = true}},
        Case{.name = "many_daemons",
             .options = {.daemons = 70, .fault = VersionFault::kErrors, .report_delay = 600ms}},
        // Guards against a canary that is as lightly loaded as the old version, so that faults
        // under load pass.
        Case{.name = "errors_above_half_of_slots",
             .options = LargeFleet(VersionFault::kErrors),
             .allowed_misses = 10},
        Case{.name = "slow_above_half_of_slots",
             .options = LargeFleet(VersionFault::kSlow),
             .allowed_misses = 10},
        // One burst fills 40 slots for a short time only.
        Case{.name = "errors_above_half_few_old_upstreams",
             .options = {.old_upstreams = 4,
                         .new_upstreams = 4,
                         .slots = 40,
                         .fault = VersionFault::kErrors,
                         .only_above_half = true},
             .allowed_misses = 30}),
    [](const auto& test) { return test.param.name; });

class GoodVersionTest : public testing::TestWithParam<Case> {};

// Guards against good versions that are rolled back, or completed late.
TEST_P(GoodVersionTest, IsCompletedByItsDeadline) {
  const Statistics statistics = RunCourses(GetParam().options, GetParam().name);
  EXPECT_LE(kCourses - statistics.completed, GetParam().allowed_misses);
  EXPECT_LT(statistics.latest, GetParam().options.duration - 1s);
}

INSTANTIATE_TEST_SUITE_P(
    Versions, GoodVersionTest,
    testing::Values(
        Case{.name = "usual", .options = {}, .allowed_misses = 1},
        Case{.name = "long_order", .options = {.duration = 16s}, .allowed_misses = 1},
        Case{.name = "failing_service", .options = {.base_failures = 0.05}, .allowed_misses = 10},
        Case{.name = "few_requests",
             .options = {.requests_per_s = 40, .duration = 16s},
             .allowed_misses = 10},
        Case{.name = "many_daemons",
             .options = {.daemons = 70, .report_delay = 600ms},
             .allowed_misses = 5},
        Case{
            .name = "large_fleet", .options = LargeFleet(VersionFault::kNone), .allowed_misses = 5},
        // Guards against a verdict on slowness that comes from the load of the canary alone: at 0.7
        // of the slots, responses take 1.5 times as long as at 0.2.
        Case{.name = "slower_under_load",
             .options = LargeFleet(VersionFault::kNone, 1.3),
             .allowed_misses = 5}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace savoryglade::rollout
