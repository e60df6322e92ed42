#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {
namespace {

constexpr double kMinLimit = 1;
constexpr double kInitialLimit = 4;
constexpr double kShortTermWeight = 0.1;
constexpr double kLongTermWeight = 0.01;
// Latency may rise to twice its long-term value before the limit falls: costs are predictions and
// vary by about that factor between requests.
constexpr double kLatencyTolerance = 2.0;
constexpr double kMinGradient = 0.5;
constexpr double kAdjustmentRate = 0.1;
constexpr double kRefusalFactor = 0.8;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int maximum)
    : maximum_(std::max(kMinLimit, static_cast<double>(maximum))),
      limit_(std::min(kInitialLimit, maximum_)) {}

void ConcurrencyLimit::SetMaximum(int maximum) {
  maximum_ = std::max(kMinLimit, static_cast<double>(maximum));
  limit_ = std::min(limit_, maximum_);
}

void ConcurrencyLimit::OnProgress() {
  if (slow_start_) {
    limit_ = std::min(maximum_, limit_ + 1);
    slow_start_ = limit_ < maximum_;
  }
}

void ConcurrencyLimit::OnCompleted(double latency_ratio, int running) {
  short_term_ = short_term_ <= 0 ? latency_ratio
                                 : short_term_ + kShortTermWeight * (latency_ratio - short_term_);
  long_term_ =
      long_term_ <= 0 ? latency_ratio : long_term_ + kLongTermWeight * (latency_ratio - long_term_);
  // Latency below the long-term value is a better estimate of the latency without queueing.
  long_term_ = std::min(long_term_, std::max(short_term_, long_term_ * 0.95));
  const double gradient =
      short_term_ > 0 ? std::clamp(kLatencyTolerance * long_term_ / short_term_, kMinGradient, 1.0)
                      : 1;
  if (slow_start_) {
    if (gradient < 1) {
      slow_start_ = false;
    } else {
      OnProgress();
    }
    return;
  }
  if (gradient >= 1 && running + 1 < limit_ / 2) {
    return;  // Less than half of the limit is in use, so the latency cannot justify a higher one.
  }
  const double target = limit_ * gradient + std::sqrt(limit_) * kAdjustmentRate;
  limit_ = std::clamp(limit_ + kAdjustmentRate * (target - limit_) * (gradient < 1 ? 1 : 5),
                      kMinLimit, maximum_);
}

void ConcurrencyLimit::OnRefused(int running) {
  slow_start_ = false;
  limit_ = std::clamp(std::min(limit_, static_cast<double>(running)) * kRefusalFactor, kMinLimit,
                      maximum_);
}

void ConcurrencyLimit::Restart() { *this = ConcurrencyLimit(static_cast<int>(maximum_)); }

}  // namespace savoryglade
