#include "routing/prompt_time_model.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {
namespace {

// Weight of the assumption that there is no constant time, in observations.
constexpr double kNoConstantWeight = 0.5;
// Weight of the initial time per token, as observations times the square of their deviation.
constexpr double kInitialTokenTimeWeight = 4'000.0 * 4'000.0 * 2;
// Bounds of the times per token as multiples of the initial one.
constexpr double kMinTokenTimeFactor = 0.5;
constexpr double kMaxTokenTimeFactor = 6;
// An observation counts as at most this multiple of its prediction plus the slack, so that a single
// slow engine does not pass for a loaded service.
constexpr double kMaxSurprise = 2;
constexpr double kSurpriseSlackSeconds = 0.3;

}  // namespace

double PromptTimeModel::WeightLeft(TimePoint now) const {
  return std::exp(-ToSeconds(std::max(now - updated_at_, Duration::zero())) /
                  ToSeconds(options_.decay));
}

PromptTimeModel::Fit PromptTimeModel::FitAt(TimePoint now) const {
  const double initial = options_.initial_token_s;
  const double weight = moments_.weight * WeightLeft(now);
  if (weight <= 0) {
    return {.own_token_s = initial, .ahead_token_s = initial};
  }
  // Normal equations of the deviations from the means, with the initial times as the prior.
  const double own_own = weight * moments_.own_own + kInitialTokenTimeWeight;
  const double ahead_ahead = weight * moments_.ahead_ahead + kInitialTokenTimeWeight;
  const double own_ahead = weight * moments_.own_ahead;
  const double own_seconds = weight * moments_.own_seconds + initial * kInitialTokenTimeWeight;
  const double ahead_seconds = weight * moments_.ahead_seconds + initial * kInitialTokenTimeWeight;
  const double determinant = own_own * ahead_ahead - own_ahead * own_ahead;
  const double min_time = initial * kMinTokenTimeFactor;
  const double max_time = initial * kMaxTokenTimeFactor;
  const double own = std::clamp(
      (own_seconds * ahead_ahead - ahead_seconds * own_ahead) / determinant, min_time, max_time);
  const double ahead = std::clamp((ahead_seconds * own_own - own_seconds * own_ahead) / determinant,
                                  min_time, max_time);
  const double constant =
      std::max(moments_.seconds - own * moments_.own - ahead * moments_.ahead, 0.0);
  return {.constant_s = constant * weight / (weight + kNoConstantWeight),
          .own_token_s = own,
          .ahead_token_s = ahead};
}

void PromptTimeModel::OnFirstEvent(const PromptWork& work, Duration taken, TimePoint now) {
  const double limit = kMaxSurprise * ToSeconds(Predict(work, now)) + kSurpriseSlackSeconds;
  const double seconds = std::clamp(ToSeconds(taken), 0.0, limit);
  const double old_weight = moments_.weight * WeightLeft(now);
  const double step = 1 / (old_weight + 1);
  const double kept = old_weight * step;
  const double own = work.own_tokens - moments_.own;
  const double ahead = work.tokens_ahead - moments_.ahead;
  const double deviation = seconds - moments_.seconds;
  const auto update = [&](double& moment, double a, double b) {
    moment = kept * (moment + step * a * b);
  };
  update(moments_.own_own, own, own);
  update(moments_.ahead_ahead, ahead, ahead);
  update(moments_.own_ahead, own, ahead);
  update(moments_.own_seconds, own, deviation);
  update(moments_.ahead_seconds, ahead, deviation);
  moments_.own += step * own;
  moments_.ahead += step * ahead;
  moments_.seconds += step * deviation;
  moments_.weight = old_weight + 1;
  updated_at_ = std::max(updated_at_, now);
}

Duration PromptTimeModel::Predict(const PromptWork& work, TimePoint now) const {
  const Fit fit = FitAt(now);
  return FromSeconds(fit.constant_s + fit.own_token_s * work.own_tokens +
                     fit.ahead_token_s * work.tokens_ahead);
}

}  // namespace savoryglade
