#include "membership/report_delay.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

const DaemonId kSender("daemon-1");
constexpr Duration kClockDifference = 5'000s;

TimePoint At(Duration time) { return TimePoint(100s) + time; }
Duration SenderClock(Duration time) { return time + kClockDifference; }

// Guards against ages in a report that leave out the time that the report waited for a busy
// receiver, so that old information counts as new.
TEST(ReportDelayTest, AReportThatWaitedIsOlderThanTheFastestOne) {
  ReportDelay delay;
  EXPECT_EQ(delay.OnReport(kSender, 1, SenderClock(0s), At(3ms)), 0ms);
  EXPECT_EQ(delay.OnReport(kSender, 1, SenderClock(1s), At(1s + 803ms)), 800ms);
  EXPECT_EQ(delay.OnReport(kSender, 1, SenderClock(2s), At(2s + 1ms)), 0ms);
  EXPECT_EQ(delay.OnReport(kSender, 1, SenderClock(3s), At(3s + 3ms)), 2ms);
}

TEST(ReportDelayTest, ARestartedSenderHasANewClock) {
  ReportDelay delay;
  EXPECT_EQ(delay.OnReport(kSender, 1, SenderClock(0s), At(0s)), 0ms);
  EXPECT_EQ(delay.OnReport(kSender, 2, Duration(7s), At(9s)), 0ms);
}

// Guards against an estimate that grows without limit because one clock runs slower.
TEST(ReportDelayTest, DriftOfTheClocksIsForgotten) {
  ReportDelay delay;
  constexpr int kDriftFactor = 10'000;  // 100 ppm
  for (Duration time = 0s; time < 86'400s; time += 1s) {
    ASSERT_LE(delay.OnReport(kSender, 1, SenderClock(time), At(time + time / kDriftFactor)), 15ms);
  }
}

// Guards against an offset from before a silence that is longer than the windows.
TEST(ReportDelayTest, ASilentSenderIsMeasuredAnew) {
  ReportDelay delay;
  EXPECT_EQ(delay.OnReport(kSender, 1, SenderClock(0s), At(0s)), 0ms);
  EXPECT_EQ(delay.OnReport(kSender, 1, SenderClock(200s), At(201s)), 0ms);
}

}  // namespace
}  // namespace savoryglade
