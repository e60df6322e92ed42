#include "scheduling/scheduler.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against dispatching a request whose deadline passed in the queue.
TEST(SchedulerTest, ExpiredRequestLeavesTheQueueAsNotRun) {
  Scheduler scheduler({});
  const TimePoint start{};
  ASSERT_TRUE(scheduler.Enqueue({.ticket = 1, .deadline = start + 1s}, start));
  const auto expired = scheduler.Expire(start + 1s);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].verdict.run_state, RunState::kNotRun);
  EXPECT_EQ(expired[0].verdict.reason, Reason::kDeadlineExceeded);
  EXPECT_FALSE(scheduler.Dequeue([](const ServiceId&) { return true; }, start + 1s));
}

}  // namespace
}  // namespace savoryglade
