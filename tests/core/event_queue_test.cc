#include "core/event_queue.h"

#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

// Guards against running events of the same instant in heap order, which would make runs differ.
TEST(EventQueueTest, RunsEventsOfTheSameInstantInSchedulingOrder) {
  EventQueue queue;
  std::vector<int> order;
  for (int i = 0; i < 20; ++i) {
    queue.After(1ms, [&order, i] { order.push_back(i); });
  }
  queue.RunUntil(TimePoint(2ms));
  ASSERT_EQ(order.size(), 20U);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(order[i], i);
  }
  EXPECT_EQ(queue.now(), TimePoint(2ms));
}

}  // namespace
}  // namespace savoryglade
