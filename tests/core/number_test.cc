#include "core/number.h"

#include <gtest/gtest.h>

#include <cstdint>

#include "core/time.h"

namespace savoryglade {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();

TEST(NumberTest, ValuesOutsideTheRangeBecomeItsEnds) {
  EXPECT_EQ(SaturatingCast<int>(3.9), 3);
  EXPECT_EQ(SaturatingCast<int>(-3.9), -3);
  EXPECT_EQ(SaturatingCast<int>(1e300), std::numeric_limits<int>::max());
  EXPECT_EQ(SaturatingCast<int>(-kInfinity), std::numeric_limits<int>::min());
  EXPECT_EQ(SaturatingCast<std::uint64_t>(-1), 0U);
  EXPECT_EQ(SaturatingCast<std::uint64_t>(0x1p64), std::numeric_limits<std::uint64_t>::max());
  EXPECT_EQ(SaturatingCast<std::int64_t>(0x1p63), std::numeric_limits<std::int64_t>::max());
  EXPECT_EQ(SaturatingCast<int>(std::numeric_limits<double>::quiet_NaN()), 0);
}

// Guards against a time-out of another process that overflows when it is added to the current time.
TEST(NumberTest, DurationsAreLimitedSoThatInstantsCanBeComputed) {
  EXPECT_EQ(FromSeconds(1.5), 1500ms);
  EXPECT_EQ(FromSeconds(-1.5), -1500ms);
  EXPECT_EQ(FromSeconds(1e300), FromSeconds(kInfinity));
  EXPECT_GT(FromSeconds(1e300) + FromSeconds(1e300), Duration::zero());
  EXPECT_LT(FromSeconds(-1e300) + FromSeconds(-1e300), Duration::zero());
  EXPECT_EQ(FromSeconds(std::numeric_limits<double>::quiet_NaN()), Duration::zero());
}

}  // namespace
}  // namespace savoryglade
