#include <gtest/gtest.h>

#include <cstdint>

#include "tests/rollout/rollout_model.h"

namespace savoryglade::rollout {
namespace {

constexpr int kSeeds = 50;
constexpr double kShare = 0.1;
constexpr double kAllowance = 50;

template <typename Function>
void ForEachSeed(const CourseOptions& options, Function function) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    RolloutCourse course(options, seed);
    function(course);
  }
}

const CourseOptions kGood{};
const CourseOptions kBad{.fault = VersionFault::kErrors};

// Guards against a course that stops, or sends more than before, when its leader is lost.
TEST(RolloutFaultTest, NextLeaderFinishesTheCourse) {
  ForEachSeed(kGood, [](RolloutCourse& course) {
    course.RunUntil(4s);
    course.CutOff(0, true);
    course.RunUntil(8s);
    course.Lead(1);
    EXPECT_EQ(course.Run().outcome, RolloutStage::kCompleted);
  });
  ForEachSeed(kGood, [](RolloutCourse& course) {
    course.RunUntil(4s);
    course.Freeze(0, true);
    course.RunUntil(6s);
    course.Lead(1);
    course.RunUntil(6200ms);
    EXPECT_LE(course.directory(1).Find(kModelService)->step.stage, RolloutStage::kCanary);
    EXPECT_EQ(course.Run().outcome, RolloutStage::kCompleted);
  });
}

// Guards against a bad version that is missed because its evidence was the lost leader's.
TEST(RolloutFaultTest, NextLeaderRollsABadVersionBack) {
  ForEachSeed(kBad, [](RolloutCourse& course) {
    course.RunUntil(3s);
    course.Freeze(0, true);
    course.RunUntil(6s);
    course.Lead(1);
    const CourseResult result = course.Run();
    EXPECT_EQ(result.outcome, RolloutStage::kRolledBack);
    EXPECT_LE(result.ExposureOver(kShare), kAllowance);
    EXPECT_LT(result.sent_after_50th, 5s);
  });
}

// Guards against daemons that go on by a step which nobody confirms.
TEST(RolloutFaultTest, NothingIsSentWhileTheLeaderIsSilent) {
  ForEachSeed(kGood, [](RolloutCourse& course) {
    course.RunUntil(8s);
    course.Freeze(0, true);
    course.RunUntil(10500ms);
    const int sent = course.result().sent_to_new;
    course.RunUntil(11500ms);
    EXPECT_EQ(course.result().sent_to_new, sent);
  });
}

// Guards against a daemon that acts by what it knew before it was frozen, cut off or restarted.
TEST(RolloutFaultTest, DaemonThatComesBackSendsNothingBeforeItKnowsTheStep) {
  ForEachSeed(kBad, [](RolloutCourse& course) {
    course.RunUntil(2500ms);
    course.Freeze(5, true);
    course.RunUntil(6s);
    ASSERT_EQ(course.result().outcome, RolloutStage::kRolledBack);
    const int sent = course.sent_to_new(5);
    course.Freeze(5, false);
    course.RunUntil(6100ms);
    EXPECT_EQ(course.sent_to_new(5), sent);
  });
  ForEachSeed(kGood, [](RolloutCourse& course) {
    course.RunUntil(8s);
    course.CutOff(5, true);
    course.RunUntil(8100ms);
    course.Restart(5);
    const int sent = course.sent_to_new(5);
    course.RunUntil(9s);
    EXPECT_EQ(course.sent_to_new(5), sent);
  });
}

// Guards against daemons that start in mid-course and take the whole allowance each.
TEST(RolloutFaultTest, RestartsDoNotRaiseTheExposure) {
  ForEachSeed({.daemons = 20, .fault = VersionFault::kErrors, .fault_after = 4s},
              [](RolloutCourse& course) {
                for (Duration time = 2s; time < 6s; time += 200ms) {
                  course.RunUntil(time);
                  course.Restart(static_cast<int>(time / 200ms) % 19 + 1);
                }
                const CourseResult result = course.Run();
                EXPECT_EQ(result.outcome, RolloutStage::kRolledBack);
                EXPECT_LE(result.ExposureOver(kShare), kAllowance);
              });
}

// Guards against a larger step that is published while the store can't keep it, and against a
// roll-back that waits for the store.
TEST(RolloutFaultTest, NoLargerStepWithoutTheStore) {
  ForEachSeed(kGood, [](RolloutCourse& course) {
    course.RunUntil(4s);
    course.SetStoreAvailable(false);
    course.RunUntil(9s);
    EXPECT_EQ(course.directory(0).Find(kModelService)->step.stage, RolloutStage::kCanary);
    EXPECT_LE(course.result().ExposureOver(kShare), kAllowance);
  });
  ForEachSeed({.fault = VersionFault::kErrors, .fault_after = 3s}, [](RolloutCourse& course) {
    course.RunUntil(3s);
    course.SetStoreAvailable(false);
    course.RunUntil(8s);
    EXPECT_EQ(course.directory(3).Find(kModelService)->step.stage, RolloutStage::kRolledBack);
  });
}

// Guards against an order whose upstreams never register and that stays open, or blocks requests.
TEST(RolloutFaultTest, OrderWithoutUpstreamsIsRolledBackAtItsDeadline) {
  ForEachSeed({.boot_time = 60s}, [](RolloutCourse& course) {
    const CourseResult result = course.Run();
    EXPECT_EQ(result.outcome, RolloutStage::kRolledBack);
    EXPECT_EQ(result.sent_to_new, 0);
    EXPECT_GT(result.outcome_at, 10s);
  });
}

// Guards against evidence of an order that has been replaced.
TEST(RolloutFaultTest, ReplacedOrderIsJudgedByItself) {
  ForEachSeed({.duration = 30s, .fault = VersionFault::kErrors}, [](RolloutCourse& course) {
    course.RunUntil(3s);
    course.Order({.service = kModelService, .to = "v3", .duration = 12s, .version = 2, .era = 1});
    course.RunUntil(3s + 100ms);
    EXPECT_EQ(course.plan().evidence().new_responses().all(), 0U);
  });
}

}  // namespace
}  // namespace savoryglade::rollout
