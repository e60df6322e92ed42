#include "membership/upstream_notices.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

const UpstreamId kEngine("engine");
constexpr Duration kGrace = 800ms;

TimePoint At(Duration time) { return TimePoint(100s) + time; }

// Guards against a stream that was stopped to be moved and is sent to its target or back to its
// source long after their notices.
TEST(UpstreamNoticesTest, RequestIsNotSentLongAfterTheNotice) {
  UpstreamNotices notices;
  EXPECT_TRUE(notices.MayReceive(kEngine, kGrace, At(0s)));
  notices.OnLeaving(kEngine, At(1s));
  EXPECT_TRUE(notices.MayReceive(kEngine, kGrace, At(1s + kGrace)));
  EXPECT_FALSE(notices.MayReceive(kEngine, kGrace, At(1s + kGrace + 1ms)));
}

// Guards against a repeated notice, or the removal after it, that extends the time.
TEST(UpstreamNoticesTest, FirstNoticeCounts) {
  UpstreamNotices notices;
  notices.OnLeaving(kEngine, At(1s));
  notices.OnLeaving(kEngine, At(3s));
  EXPECT_FALSE(notices.MayReceive(kEngine, kGrace, At(3s)));
}

TEST(UpstreamNoticesTest, UpstreamThatRegistersAgainReceivesRequests) {
  UpstreamNotices notices;
  notices.OnLeaving(kEngine, At(1s));
  notices.OnAvailable(kEngine);
  EXPECT_TRUE(notices.MayReceive(kEngine, kGrace, At(5s)));
}

}  // namespace
}  // namespace savoryglade
