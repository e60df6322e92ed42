#include "membership/fleet_clock.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

constexpr Duration kUnixTime = 1'770'000'000s;

TimePoint At(Duration time) { return TimePoint(100s) + time; }

TEST(FleetClockTest, AdvancesWithTheBootClock) {
  const FleetClock clock(kUnixTime, At(0s));
  EXPECT_EQ(clock.Now(At(5s)), kUnixTime + 5s);
}

// Guards against usage counted in the wrong window after a daemon starts with a clock that is
// seconds off.
TEST(FleetClockTest, AWrongClockIsOutvotedByTwoPeers) {
  FleetClock clock(kUnixTime + 2s, At(0s));
  clock.OnPeerTime(DaemonId("a"), kUnixTime + 1s, At(1s));
  clock.OnPeerTime(DaemonId("b"), kUnixTime + 1s + 10ms, At(1s));
  EXPECT_EQ(clock.Now(At(1s)), kUnixTime + 1s + 10ms);
}

TEST(FleetClockTest, APeerThatNoLongerReportsIsIgnored) {
  FleetClock clock(kUnixTime, At(0s));
  clock.OnPeerTime(DaemonId("a"), kUnixTime + 9s, At(0s));
  clock.OnPeerTime(DaemonId("b"), kUnixTime + 9s, At(0s));
  EXPECT_EQ(clock.Now(At(0s)), kUnixTime + 9s);
  EXPECT_EQ(clock.Now(At(70s)), kUnixTime + 70s);
}

}  // namespace
}  // namespace savoryglade
