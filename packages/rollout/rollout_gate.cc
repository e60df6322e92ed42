#include "rollout/rollout_gate.h"

#include "core/random.h"

namespace savoryglade::rollout {
namespace {

// Part of the fleet's exposure allowance that the daemons divide among themselves. The rest covers
// requests that are sent while a roll-back is on its way.
constexpr double kUsedAllowance = 0.2;

}  // namespace

RolloutGate::RolloutGate(std::uint64_t seed) : offset_(Random(seed).UniformReal()) {}

bool RolloutGate::IsOpen(const RolloutStep& step, Duration step_age) const {
  if (step.stage == RolloutStage::kCompleted) {
    return true;
  }
  return step.stage != RolloutStage::kWaiting && step.stage != RolloutStage::kRolledBack &&
         step_age <= max_step_age();
}

bool RolloutGate::Admits(const RolloutStep& step, Duration step_age, std::uint64_t route,
                         std::uint64_t request_hash) const {
  if (!IsOpen(step, step_age)) {
    return false;
  }
  if (step.stage >= RolloutStage::kDrain) {
    return true;
  }
  constexpr int kBits = 53;
  // Mixed, because routes choose among services by the same hash.
  const double unit =
      static_cast<double>((request_hash * 0x9E3779B97F4A7C15ULL) >> (64 - kBits)) * 0x1.0p-53;
  const auto found = step.route_shares.find(route);
  if (unit >= (found == step.route_shares.end() ? step.share : found->second)) {
    return false;
  }
  if (step.stage != RolloutStage::kCanary) {
    return true;
  }
  const double allowed = bounds_.exposure_share * kUsedExposure * static_cast<double>(requests_) +
                         bounds_.exposure_allowance * kUsedAllowance / daemons_ + offset_;
  return static_cast<double>(sent_to_new_) + 1 <= allowed;
}

}  // namespace savoryglade::rollout
