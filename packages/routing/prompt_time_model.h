#pragma once

#include <compare>

#include "core/time.h"

namespace savoryglade {

struct PromptTimeOptions {
  // Time per prompt token that is assumed until requests of different sizes have been observed, in
  // seconds.
  double initial_token_s = 1.0 / 55'000;
  // Time constant with which the weight of an observation decays.
  Duration decay = 3s;
};

// Work before the first event of a stream, as known when the request is sent.
struct PromptWork {
  // Prompt tokens of the request that its engine has to read.
  double own_tokens = 0;
  // Prompt tokens that wait at an engine of the service, on average.
  double tokens_ahead = 0;

  friend auto operator<=>(const PromptWork&, const PromptWork&) = default;
};

// Predicts the time until the first event of a stream at the engines of one service, as a constant
// time plus a time per own prompt token and per token that waits ahead. Learns all three from
// recent observations by least squares. The speed of an engine depends on its model, its batch and
// its prompts, which no report names; the tokens that wait are known at once, while the effect of a
// growing load on observed times is known only when the first events arrive. Not thread-safe.
class PromptTimeModel {
 public:
  explicit PromptTimeModel(PromptTimeOptions options) : options_(options) {}

  // Records the time from the send of a request to its first event.
  void OnFirstEvent(const PromptWork& work, Duration taken, TimePoint now);

  // Returns the expected time until the first event of a request.
  Duration Predict(const PromptWork& work, TimePoint now) const;

 private:
  // Means and second moments of the observations around the means. The weight is that at
  // `updated_at_`.
  struct Moments {
    double weight = 0;
    double own = 0;
    double ahead = 0;
    double seconds = 0;
    double own_own = 0;
    double ahead_ahead = 0;
    double own_ahead = 0;
    double own_seconds = 0;
    double ahead_seconds = 0;
  };
  struct Fit {
    double constant_s = 0;
    double own_token_s = 0;
    double ahead_token_s = 0;
  };

  double WeightLeft(TimePoint now) const;
  Fit FitAt(TimePoint now) const;

  PromptTimeOptions options_;
  Moments moments_;
  TimePoint updated_at_{};
};

}  // namespace savoryglade
