#include "gtest/gtest.h"
#include "metrics/registry.h"

namespace savoryglade {
namespace {

// Guards against quantiles of zero below five samples, when the P-square estimate has no markers.
TEST(TimingTest, FewSamplesGiveExactQuantiles) {
  Timing timing;
  timing.Record(3ms);
  EXPECT_DOUBLE_EQ(timing.QuantileSeconds(0.5), 0.003);
  timing.Record(1ms);
  timing.Record(2ms);
  EXPECT_DOUBLE_EQ(timing.QuantileSeconds(0.5), 0.002);
  EXPECT_DOUBLE_EQ(timing.QuantileSeconds(0.99), 0.003);
}

// Guards against a jump between the exact quantiles and the estimate.
TEST(TimingTest, ManySamplesGiveQuantilesCloseToTheExactOnes) {
  Timing timing;
  for (int i = 0; i < 2000; ++i) {
    // 7919 is coprime to 1000, so the samples cover 1 to 1000 ms in a mixed order, twice.
    timing.Record(std::chrono::milliseconds((i * 7919) % 1000 + 1));
    if (i == 127 || i == 128) {
      EXPECT_NEAR(timing.QuantileSeconds(0.5), 0.5, 0.1) << i;
    }
  }
  EXPECT_NEAR(timing.QuantileSeconds(0.5), 0.5, 0.05);
  EXPECT_NEAR(timing.QuantileSeconds(0.99), 0.99, 0.05);
}

}  // namespace
}  // namespace savoryglade
