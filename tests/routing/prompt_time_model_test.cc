#include "routing/prompt_time_model.h"

#include <gtest/gtest.h>

#include "core/random.h"

namespace savoryglade {
namespace {

TimePoint At(Duration time) { return TimePoint(100s) + time; }

double Milliseconds(Duration duration) { return ToSeconds(duration) * 1e3; }

// Guards against a daemon that takes any other engine for the one it was written for.
TEST(PromptTimeModelTest, WithoutObservationsTheInitialTimePerTokenHolds) {
  const PromptTimeModel model({.initial_token_s = 1.0 / 50'000});
  EXPECT_NEAR(Milliseconds(model.Predict({.own_tokens = 5'000}, At(0s))), 100, 0.1);
}

// Guards against predictions that are a tenth of what loaded engines need.
TEST(PromptTimeModelTest, LearnsTheConstantTimeAndTheTimesPerToken) {
  PromptTimeModel model({});
  Random random(1);
  for (int i = 0; i < 300; ++i) {
    const PromptWork work{.own_tokens = 200 + random.UniformReal() * 9'000,
                          .tokens_ahead = random.UniformReal() * 20'000};
    const double seconds = 0.08 + work.own_tokens / 25'000 + work.tokens_ahead / 30'000;
    model.OnFirstEvent(work, FromSeconds(seconds), At(i * 10ms));
  }
  const TimePoint now = At(3s);
  EXPECT_NEAR(Milliseconds(model.Predict({}, now)), 80, 15);
  EXPECT_NEAR(Milliseconds(model.Predict({.own_tokens = 5'000}, now)), 280, 30);
  EXPECT_NEAR(Milliseconds(model.Predict({.own_tokens = 5'000, .tokens_ahead = 15'000}, now)), 780,
              60);
}

// Guards against a prediction that follows the load only after the first events of the load.
TEST(PromptTimeModelTest, MoreWaitingTokensCountAtOnce) {
  PromptTimeModel model({});
  for (int i = 0; i < 100; ++i) {
    model.OnFirstEvent({.own_tokens = 1'000, .tokens_ahead = 2'000}, 100ms, At(i * 20ms));
  }
  const Duration before = model.Predict({.own_tokens = 1'000, .tokens_ahead = 2'000}, At(2s));
  const Duration after = model.Predict({.own_tokens = 1'000, .tokens_ahead = 42'000}, At(2s));
  EXPECT_NEAR(Milliseconds(before), 100, 10);
  EXPECT_GT(Milliseconds(after), 500);
}

// Guards against one stuck engine that makes a daemon refuse work which others would do.
TEST(PromptTimeModelTest, OneSlowEventChangesLittle) {
  PromptTimeModel model({});
  for (int i = 0; i < 50; ++i) {
    model.OnFirstEvent({.own_tokens = 1'000}, 100ms, At(i * 20ms));
  }
  model.OnFirstEvent({.own_tokens = 1'000}, 20s, At(1s));
  EXPECT_LT(Milliseconds(model.Predict({.own_tokens = 1'000}, At(1s))), 130);
}

// Guards against load that is long gone but holds work back.
TEST(PromptTimeModelTest, ObservationsAreForgotten) {
  PromptTimeModel model({});
  for (int i = 0; i < 50; ++i) {
    model.OnFirstEvent({.own_tokens = 1'000}, 1s, At(i * 20ms));
  }
  EXPECT_GT(Milliseconds(model.Predict({}, At(1s))), 500);
  EXPECT_LT(Milliseconds(model.Predict({}, At(31s))), 50);
}

}  // namespace
}  // namespace savoryglade
