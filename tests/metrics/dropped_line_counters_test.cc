#include "metrics/dropped_line_counters.h"

#include <gtest/gtest.h>

#include <string>

namespace savoryglade {
namespace {

constexpr const char* kDroppedLines = "savoryglade_log_dropped_lines_total";

// Guards against dropped lines that no counter shows, or that it shows twice.
TEST(DroppedLineCountersTest, CountersFollowTheNumbersOfTheProcess) {
  MetricRegistry registry;
  DroppedLineCounters counters(registry);
  counters.Update({.rate_limit = 5, .output = 1});
  counters.Update({.rate_limit = 5, .output = 3, .essential = 2});
  EXPECT_EQ(registry.GetCounter(kDroppedLines, {{"cause", "rate_limit"}}).value(), 5U);
  EXPECT_EQ(registry.GetCounter(kDroppedLines, {{"cause", "output"}}).value(), 3U);
  EXPECT_EQ(registry.GetCounter("savoryglade_log_lost_essential_lines_total").value(), 2U);
}

// Guards against alerts that can't be told from a counter that does not exist yet.
TEST(DroppedLineCountersTest, CountersAreThereBeforeTheFirstDrop) {
  MetricRegistry registry;
  const DroppedLineCounters counters(registry);
  const std::string text = registry.RenderText();
  for (const char* line : {"savoryglade_log_dropped_lines_total{cause=\"output\"} 0",
                           "savoryglade_log_dropped_lines_total{cause=\"rate_limit\"} 0",
                           "savoryglade_log_lost_essential_lines_total 0"}) {
    EXPECT_NE(text.find(line), std::string::npos) << text;
  }
}

}  // namespace
}  // namespace savoryglade
