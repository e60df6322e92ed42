#include "routing/upstream_signals.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

constexpr std::uint64_t kUpstream = 7;
constexpr std::uint64_t kNextProcess = 8;
const FailureDomainId kDomain("verona");

TimePoint At(Duration time) { return TimePoint(1h) + time; }

UpstreamSignal Rejection(Duration wait) { return {.wait = wait, .rejects = true}; }

// Guards against requests during the wait, and against all that waited being sent when it ends.
TEST(UpstreamSignalsTest, OneRequestIsSentAfterAWait) {
  UpstreamSignals signals;
  EXPECT_TRUE(signals.OnAnswer(kUpstream, Rejection(4s), At(0s), At(0s)).wait);
  EXPECT_FALSE(signals.MaySend(kUpstream, kDomain, At(3999ms)));
  EXPECT_EQ(signals.WaitEnd(kUpstream, At(1s)), At(4s));
  EXPECT_TRUE(signals.MaySend(kUpstream, kDomain, At(4s)));
  signals.OnSent(kUpstream, At(4s));
  EXPECT_FALSE(signals.MaySend(kUpstream, kDomain, At(4010ms)));
  signals.OnAnswer(kUpstream, {}, At(4s), At(4100ms));
  EXPECT_TRUE(signals.MaySend(kUpstream, kDomain, At(4100ms)));
  signals.OnSent(kUpstream, At(4100ms));
  EXPECT_TRUE(signals.MaySend(kUpstream, kDomain, At(4100ms)));
}

// Guards against an upstream that is lost because the first request after its wait has no answer.
TEST(UpstreamSignalsTest, AnotherRequestIsSentIfTheFirstHasNoAnswer) {
  UpstreamSignals signals;
  signals.OnAnswer(kUpstream, Rejection(4s), At(0s), At(0s));
  signals.OnSent(kUpstream, At(4s));
  EXPECT_FALSE(signals.MaySend(kUpstream, kDomain, At(4999ms)));
  EXPECT_TRUE(signals.MaySend(kUpstream, kDomain, At(5s)));
}

// Guards against an answer to an earlier request that ends the wait.
TEST(UpstreamSignalsTest, AnswerToAnEarlierRequestDoesNotEndTheWait) {
  UpstreamSignals signals;
  signals.OnAnswer(kUpstream, Rejection(4s), At(0s), At(0s));
  signals.OnAnswer(kUpstream, {}, At(-1s), At(1s));
  EXPECT_FALSE(signals.MaySend(kUpstream, kDomain, At(2s)));
}

// Guards against a shorter wait that takes a longer one back, and against waits that overflow.
TEST(UpstreamSignalsTest, LongestWaitApplies) {
  UpstreamSignals signals;
  signals.OnAnswer(kUpstream, Rejection(4s), At(0s), At(0s));
  EXPECT_FALSE(signals.OnAnswer(kUpstream, Rejection(1s), At(0s), At(1s)).wait);
  EXPECT_FALSE(signals.MaySend(kUpstream, kDomain, At(3s)));
  signals.OnAnswer(kUpstream, Rejection(Duration::max()), At(0s), At(2s));
  EXPECT_EQ(signals.WaitEnd(kUpstream, At(3s)), At(2s + UpstreamSignals::kMaxWait));
}

// Guards against a process that is bound by what the one before it said.
TEST(UpstreamSignalsTest, SignalsBindTheProcessThatSentThem) {
  UpstreamSignals signals;
  signals.OnAnswer(kUpstream, {.leaving = true, .wait = 4s}, At(0s), At(0s));
  EXPECT_TRUE(signals.MaySend(kNextProcess, kDomain, At(1s)));
  EXPECT_FALSE(signals.IsLeaving(kNextProcess));
}

// Guards against an upstream that leaves and is used again because a later answer does not say so.
TEST(UpstreamSignalsTest, NoticeIsNotTakenBack) {
  UpstreamSignals signals;
  EXPECT_TRUE(signals.OnAnswer(kUpstream, {.leaving = true}, At(0s), At(0s)).leaving);
  EXPECT_FALSE(signals.OnAnswer(kUpstream, {.leaving = true}, At(0s), At(1s)).leaving);
  signals.OnAnswer(kUpstream, {}, At(1s), At(2s));
  EXPECT_TRUE(signals.IsLeaving(kUpstream));
  EXPECT_FALSE(signals.MaySend(kUpstream, kDomain, At(1h)));
}

// Guards against daemons that keep a notice alive by reporting it to each other.
TEST(UpstreamSignalsTest, NoticeReachesPeersOnceWithItsAge) {
  UpstreamSignals first;
  UpstreamSignals second;
  first.OnAnswer(kUpstream, {.leaving = true}, At(0s), At(0s));
  for (const ReportedNotice& notice : first.Notices(At(2s))) {
    EXPECT_TRUE(second.OnReport(notice, At(2s)));
    EXPECT_FALSE(second.OnReport(notice, At(2s)));
  }
  EXPECT_TRUE(second.IsLeaving(kUpstream));
  ASSERT_EQ(second.Notices(At(3s)).size(), 1U);
  EXPECT_EQ(second.Notices(At(3s)).front().age, 3s);
  EXPECT_FALSE(second.OnReport({.upstream = kNextProcess, .age = 2h}, At(3s)));
}

}  // namespace
}  // namespace savoryglade
