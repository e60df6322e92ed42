#include "membership/store_era.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

TimePoint At(Duration time) { return TimePoint(100s) + time; }

TEST(StoreEraTest, TheLaterEraCounts) {
  const StoreEra earlier{.number = 1, .seen_since = At(0s)};
  const StoreEra later{.number = 2, .seen_since = At(5s)};
  EXPECT_EQ(Combine(earlier, later), later);
  EXPECT_EQ(Combine(later, earlier), later);
}

// Guards against a daemon that has just started and takes all rows for lost.
TEST(StoreEraTest, TheEarliestObservationOfAnEraCounts) {
  const StoreEra own{.number = 2, .seen_since = At(9s)};
  const StoreEra of_peer{.number = 2, .seen_since = At(5s)};
  EXPECT_EQ(Combine(own, of_peer), of_peer);
  EXPECT_EQ(Combine(of_peer, own), of_peer);
}

}  // namespace
}  // namespace savoryglade
