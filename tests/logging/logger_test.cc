#include "logging/logger.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "logging/log_rate_limiter.h"

namespace savoryglade {
namespace {

// Guards against values that split a line in two or inject fields.
TEST(LoggerTest, QuotesValuesThatCouldInjectFields) {
  std::vector<std::string> lines;
  Logger::SetSink([&lines](const std::string& line) { lines.push_back(line); });
  Logger("test").Info("Request refused.", {{"key", "a b\nlevel=error"}, {"reason", "queue_full"}});
  Logger::SetSink(nullptr);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0], "info test: Request refused. key=\"a b level=error\" reason=queue_full");
}

// Guards against a fault that affects every request and fills the log.
TEST(LogRateLimiterTest, DropsRepeatsWithinAWindowAndReportsTheirNumber) {
  LogRateLimiter limiter;
  const TimePoint start(1s);
  for (int i = 0; i < LogRateLimiter::kMaxLinesPerWindow; ++i) {
    EXPECT_EQ(limiter.Admit("net", "Connection lost.", start), 0U);
  }
  EXPECT_FALSE(limiter.Admit("net", "Connection lost.", start));
  EXPECT_FALSE(limiter.Admit("net", "Connection lost.", start + 999ms));
  EXPECT_EQ(limiter.Admit("net", "Another message.", start), 0U);
  EXPECT_EQ(limiter.Admit("net", "Connection lost.", start + 1s), 2U);
}

}  // namespace
}  // namespace savoryglade
