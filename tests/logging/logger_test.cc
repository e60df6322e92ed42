#include "logging/logger.h"

#include <cstdint>
#include <regex>
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

class DroppedMessagesTest : public testing::Test {
 protected:
  static constexpr const char* kMessage = "Connection lost.";

  // Admits as many lines as a window has, and drops this many more.
  void FillWindow(int dropped, TimePoint now) {
    for (int i = 0; i < LogRateLimiter::kMaxLinesPerWindow + dropped; ++i) {
      limiter_.Admit("net", kMessage, now);
    }
  }

  LogRateLimiter limiter_;
};

// Guards against dropped lines that nothing reports because no later line of their message comes.
TEST_F(DroppedMessagesTest, WindowThatIsOverIsReportedOnce) {
  const TimePoint start(1s);
  FillWindow(2, start);
  limiter_.Admit("net", "Another message.", start);
  EXPECT_TRUE(limiter_.TakeDropped(start + 999ms).empty());
  const std::vector<RateLimitedMessage> expected = {
      {.component = "net", .message = kMessage, .dropped = 2}};
  EXPECT_EQ(limiter_.TakeDropped(start + 1s), expected);
  EXPECT_TRUE(limiter_.TakeDropped(start + 5s).empty());
  EXPECT_EQ(limiter_.Admit("net", kMessage, start + 5s), 0U);
  EXPECT_EQ(limiter_.dropped_lines(), 2U);
}

// Guards against lines that are counted twice, by a later line and by the report of their window.
TEST_F(DroppedMessagesTest, LinesThatALaterLineReportsAreNotReportedAgain) {
  const TimePoint start(1s);
  FillWindow(2, start);
  EXPECT_EQ(limiter_.Admit("net", kMessage, start + 1s), 2U);
  EXPECT_TRUE(limiter_.TakeDropped(start + 3s).empty());
}

// Guards against a report that is lost because the output did not take it.
TEST_F(DroppedMessagesTest, ReportThatIsPutBackIsTakenAgain) {
  const TimePoint start(1s);
  FillWindow(2, start);
  const std::vector<RateLimitedMessage> taken = limiter_.TakeDropped(start + 1s);
  ASSERT_EQ(taken.size(), 1U);
  limiter_.PutBack(taken[0]);
  EXPECT_EQ(limiter_.TakeDropped(start + 1s), taken);
  limiter_.PutBack(taken[0]);
  EXPECT_EQ(limiter_.Admit("net", kMessage, start + 1s), 2U);
}

class LoggerFlushTest : public testing::Test {
 protected:
  LoggerFlushTest() {
    Logger::SetSink([this](const std::string& line) { lines_.push_back(line); });
  }
  ~LoggerFlushTest() override { Logger::SetSink(nullptr); }

  std::vector<std::string> lines_;
};

// Guards against an exit that leaves the dropped lines of the last second unreported.
TEST_F(LoggerFlushTest, ExitReportsTheLinesThatWereDropped) {
  const std::uint64_t before = Logger::dropped_lines().rate_limit;
  const Logger log("flush");
  constexpr int kLines = 100;
  for (int i = 0; i < kLines; ++i) {
    log.Info("A fault of every request.");
  }
  const std::uint64_t dropped = Logger::dropped_lines().rate_limit - before;
  EXPECT_EQ(lines_.size() + dropped, kLines);
  Logger::FlushAtExit();
  // A window may have ended in the meantime; then a line has reported what it dropped.
  const std::regex report(
      "repeats_dropped=(\\d+)|warning logging: Lines of one message were dropped by the rate "
      "limit. "
      "dropped_component=flush dropped_message=\"A fault of every request.\" lines=(\\d+)");
  std::uint64_t reported = 0;
  for (const std::string& line : lines_) {
    std::smatch match;
    if (std::regex_search(line, match, report)) {
      reported += std::stoull(match[match[1].matched ? 1 : 2].str());
    }
  }
  EXPECT_EQ(reported, dropped);
}

// Guards against the rate limit dropping the only line of a request.
TEST_F(LoggerFlushTest, EssentialLinesAreNotLimited) {
  const Logger log("flush");
  constexpr int kLines = 100;
  for (int i = 0; i < kLines; ++i) {
    log.Essential("A request got no answer.", {}, LogLevel::kError);
  }
  ASSERT_EQ(lines_.size(), kLines);
  EXPECT_EQ(lines_[0], "error flush: A request got no answer.");
}

}  // namespace
}  // namespace savoryglade
