#include "routing/availability.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

using State = Availability::State;

const TimePoint kStart{};

// Guards against a repeated notice that arrives after its withdrawal and disables the upstream
// permanently.
TEST(AvailabilityTest, RepeatedNoticeAfterItsWithdrawalHasNoEffect) {
  Availability availability;
  EXPECT_TRUE(availability.OnNotice({.leaving = true, .sequence = 1}, kStart));
  EXPECT_EQ(availability.StateAt(kStart), State::kLeaving);
  EXPECT_FALSE(availability.OnNotice({.leaving = true, .sequence = 1}, kStart));
  EXPECT_TRUE(availability.OnNotice({.leaving = false, .sequence = 2}, kStart));
  EXPECT_FALSE(availability.OnNotice({.leaving = true, .sequence = 1}, kStart));
  EXPECT_EQ(availability.StateAt(kStart), State::kUsable);
}

// Guards against a withdrawal that arrives before its notice and is then reverted by it.
TEST(AvailabilityTest, WithdrawalThatArrivesBeforeItsNoticeHolds) {
  Availability availability;
  EXPECT_TRUE(availability.OnNotice({.leaving = false, .sequence = 2}, kStart));
  EXPECT_FALSE(availability.OnNotice({.leaving = true, .sequence = 1}, kStart));
  EXPECT_EQ(availability.StateAt(kStart), State::kUsable);
}

// Guards against an upstream that stays disabled because the withdrawal of its notice was lost.
TEST(AvailabilityTest, ExpiredNoticeAllowsOneProbe) {
  Availability availability;
  availability.OnNotice({.leaving = true, .sequence = 1, .leaves_at = kStart + 10s}, kStart);
  EXPECT_EQ(availability.StateAt(kStart + 60s), State::kLeaving);
  EXPECT_EQ(availability.StateAt(kStart + 71s), State::kProbe);
  availability.OnProbeStart();
  EXPECT_EQ(availability.StateAt(kStart + 71s), State::kPaused);
  EXPECT_TRUE(availability.OnSuccess(kStart + 72s));
  EXPECT_EQ(availability.StateAt(kStart + 72s), State::kUsable);
}

// Guards against probing a dead upstream at a constant rate.
TEST(AvailabilityTest, PauseDoublesWithEachFailedProbeUpToItsBound) {
  Availability availability;
  Random random(1);
  TimePoint now = kStart;
  Duration previous{};
  for (int i = 0; i < 12; ++i) {
    availability.OnFailure(now, random);
    const TimePoint failed = now;
    while (availability.StateAt(now) != State::kProbe) {
      now += 50ms;
    }
    const Duration pause = now - failed;
    EXPECT_LE(pause, 38s);
    if (i < 6) {
      EXPECT_GT(pause, previous);
    }
    previous = pause;
    availability.OnProbeStart();
  }
  EXPECT_GE(previous, 22s);
}

// Guards against counting the simultaneous loss of all attempts on an upstream as many failures.
TEST(AvailabilityTest, AttemptsLostTogetherCountAsOneFailure) {
  Availability together;
  Availability single;
  Random random_together(1);
  Random random_single(1);
  single.OnFailure(kStart, random_single);
  for (int i = 0; i < 20; ++i) {
    together.OnFailure(kStart + i * 1ms, random_together);
  }
  const TimePoint later = kStart + 700ms;
  EXPECT_EQ(single.StateAt(later), State::kProbe);
  EXPECT_EQ(together.StateAt(later), State::kProbe);
}

// Guards against an answer that was sent before the failure and ends the pause.
TEST(AvailabilityTest, LateAnswerDuringThePauseDoesNotEndIt) {
  Availability availability;
  Random random(1);
  availability.OnFailure(kStart, random);
  EXPECT_FALSE(availability.OnSuccess(kStart + 10ms));
  EXPECT_EQ(availability.StateAt(kStart + 10ms), State::kPaused);
}

}  // namespace
}  // namespace savoryglade
