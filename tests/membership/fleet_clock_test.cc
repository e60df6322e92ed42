#include "membership/fleet_clock.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

constexpr Duration kDay = 1'770'000'000s;

TimePoint At(Duration time) { return TimePoint(100s) + time; }

TEST(FleetClockTest, RunsWithTheBootClock) {
  const FleetClock clock(kDay, At(0s));
  EXPECT_EQ(clock.Now(At(5s)), kDay + 5s);
}

// Guards against usage in wrong windows after a daemon started with a clock that is seconds off.
TEST(FleetClockTest, AWrongClockIsOutvoted) {
  FleetClock clock(kDay + 2s, At(0s));
  clock.OnPeerTime(DaemonId("a"), kDay + 1s, At(1s));
  clock.OnPeerTime(DaemonId("b"), kDay + 1s + 10ms, At(1s));
  EXPECT_EQ(clock.Now(At(1s)), kDay + 1s + 10ms);
}

TEST(FleetClockTest, PeersThatAreGoneDoNotVote) {
  FleetClock clock(kDay, At(0s));
  clock.OnPeerTime(DaemonId("a"), kDay + 9s, At(0s));
  clock.OnPeerTime(DaemonId("b"), kDay + 9s, At(0s));
  EXPECT_EQ(clock.Now(At(0s)), kDay + 9s);
  EXPECT_EQ(clock.Now(At(70s)), kDay + 70s);
}

}  // namespace
}  // namespace savoryglade
