#include "rollout/rollout_plan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <vector>

namespace savoryglade::rollout {
namespace {

// Shares of the ramp after the verdict. Each step is watched before the next one.
constexpr std::array<double, 3> kRampShares = {0.25, 0.5, 0.8};
// Greatest share of one route while there is no verdict.
constexpr double kMaxRouteShare = 0.6;
// Weight of a route with bad responses of the new version, against 1 of the others, so that its
// doubt is settled soon.
constexpr double kDoubtWeight = 3;
// Factor on the canary share for the duration of one usual response, at its start and that of each
// burst, so that the upstreams reach their slot use within this time: 1 / (1 - 1/e).
constexpr double kFillFactor = 1.6;
// Greatest share in a burst, before the factor above.
constexpr double kMaxBurstShare = 0.5;
// Fraction by which the slot use may exceed its target before another upstream takes part, and by
// which the share may exceed the exposure bound before it is sent in bursts.
constexpr double kTolerance = 0.15;
// Time in which the weight of an earlier count of used slots halves. Shorter ones let the number of
// upstreams change with the chance of single arrivals.
constexpr Duration kDemandHalfLife = 1s;
// Least part of a burst period in which requests are sent.
constexpr Duration kMinBurst = 400ms;

// Divides the share over the routes, so that rare routes get about as many requests as others, up
// to the greatest share of a route, and those in doubt more.
std::map<std::uint64_t, double> DivideByRoute(const CountsByRoute& counts, double share,
                                              const RolloutEvidence& evidence) {
  struct Part {
    std::uint64_t route = 0;
    double requests = 0;
    double weight = 1;
  };
  std::vector<Part> parts;
  double all = 0;
  double weights = 0;
  for (const auto& [route, count] : counts) {
    if (count.requests > 0) {
      const double weight = evidence.ScoreOf(route) > 0 ? kDoubtWeight : 1;
      parts.push_back(
          {.route = route, .requests = static_cast<double>(count.requests), .weight = weight});
      all += count.requests;
      weights += weight;
    }
  }
  // Routes that reach their limit first leave the rest of their part to the others.
  std::ranges::sort(parts, {}, [](const Part& part) { return part.requests / part.weight; });
  const double limit = std::max(share, kMaxRouteShare);
  std::map<std::uint64_t, double> shares;
  double left = share * all;
  for (const Part& part : parts) {
    const double taken = std::min(left * part.weight / weights, limit * part.requests);
    shares[part.route] = taken / part.requests;
    left -= taken;
    weights -= part.weight;
  }
  return shares;
}

}  // namespace

TimePoint RolloutPlan::OutcomeDue() const {
  return std::min(At(options_.drain_until), deadline() - options_.deadline_margin);
}

Duration RolloutPlan::RampStepTime(TimePoint now) const {
  const Duration usual =
      std::max(options_.min_step, FromSeconds(ToSeconds(duration_) * options_.ramp_step));
  // A verdict that came late, because the leader changed, leaves less time.
  const int steps_left = static_cast<int>(kRampShares.size()) - ramp_index_ + 1;
  const Duration available = (OutcomeDue() - now) / steps_left;
  return std::clamp(available, std::min(options_.min_late_step, usual), usual);
}

void RolloutPlan::Enter(RolloutStage stage, TimePoint now) {
  stage_ = stage;
  stage_since_ = now;
  ramp_step_since_ = now;
}

void RolloutPlan::RollBack(const char* reason, TimePoint now) {
  reason_ = reason;
  Enter(RolloutStage::kRolledBack, now);
}

void RolloutPlan::Resume(const RolloutStep& published, TimePoint now) {
  Enter(published.stage, now);
  if (stage_ == RolloutStage::kRamp) {
    ramp_index_ = 0;
    while (ramp_index_ + 1 < static_cast<int>(kRampShares.size()) &&
           kRampShares[static_cast<std::size_t>(ramp_index_) + 1] <= published.share + 0.01) {
      ++ramp_index_;
    }
  }
}

int RolloutPlan::UpstreamsFor(double share, const PlanInput& input) {
  if (share >= 1 || input.new_upstreams <= 1 || input.new_slots <= 0) {
    return input.new_upstreams;
  }
  const double slots_each = static_cast<double>(input.new_slots) / input.new_upstreams;
  const double wanted = share / (1 - share) * input.old_slots / slots_each;
  return std::clamp(static_cast<int>(std::lround(wanted)), 1, input.new_upstreams);
}

void RolloutPlan::AdvanceCanary(const PlanInput& input, TimePoint now) {
  const RouteCounts sum = SumOf(input.counts);
  const Duration observed = now - stage_since_;
  if (now < At(options_.observe_until) || observed < 2 * options_.min_step) {
    return;
  }
  if (evidence_.LooksGood() || sum.requests == 0) {
    ramp_index_ = 0;
    Enter(RolloutStage::kRamp, now);
  } else if (now >= At(options_.decide_by)) {
    RollBack(evidence_.IsDoubtful() ? "doubtful" : "too_few_responses", now);
  }
}

void RolloutPlan::Advance(const PlanInput& input, TimePoint now) {
  if (evidence_.IsBad()) {
    RollBack("bad", now);
    return;
  }
  if (now >= deadline() - options_.deadline_margin && stage_ < RolloutStage::kDrain) {
    RollBack("deadline", now);
    return;
  }
  if (input.step_pending) {
    return;
  }
  switch (stage_) {
    case RolloutStage::kWaiting:
      if (input.already_served && input.old_slots == 0 && input.new_upstreams > 0) {
        reason_ = "already_served";
        Enter(RolloutStage::kCompleted, now);
      } else if (input.new_upstreams > 0) {
        Enter(RolloutStage::kCanary, now);
      }
      break;
    case RolloutStage::kCanary:
      AdvanceCanary(input, now);
      break;
    case RolloutStage::kRamp: {
      if (evidence_.IsDoubtful()) {
        // Waits for more evidence at the share that is published.
        break;
      }
      if (now - ramp_step_since_ >= RampStepTime(now)) {
        ramp_step_since_ = now;
        ++ramp_index_;
        if (ramp_index_ >= static_cast<int>(kRampShares.size())) {
          Enter(RolloutStage::kDrain, now);
        }
      }
      break;
    }
    case RolloutStage::kDrain:
      // The reports of what runs on the old version must be later than the last request there.
      if ((input.running_on_old == 0 && now - stage_since_ >= 2 * options_.min_step) ||
          now >= OutcomeDue()) {
        reason_ = input.running_on_old == 0 ? "moved" : "due";
        Enter(RolloutStage::kCompleted, now);
      }
      break;
    case RolloutStage::kCompleted:
    case RolloutStage::kRolledBack:
      break;
  }
}

void RolloutPlan::UpdateDemand(const PlanInput& input, TimePoint now) {
  const double used = options_.bounds.exposure_share * kUsedExposure;
  const double demand =
      sending_since_ ? input.running_on_old / (1 - used) : 1.0 * input.running_on_old;
  const double kept = demand_at_ == TimePoint{}
                          ? 0
                          : std::exp2(-ToSeconds(now - demand_at_) / ToSeconds(kDemandHalfLife));
  demand_ = kept * demand_ + (1 - kept) * demand;
  demand_at_ = now;
  if (stage_ == RolloutStage::kCanary && !sending_since_ && SumOf(input.counts).sent_to_new > 0) {
    sending_since_ = now;
  }
}

double RolloutPlan::OldUse(const PlanInput& input) const {
  return input.old_slots > 0 ? std::min(demand_ / input.old_slots, 1.0) : 0;
}

RolloutStep RolloutPlan::CanaryStep(const PlanInput& input, TimePoint now) {
  const double used = options_.bounds.exposure_share * kUsedExposure;
  RolloutStep step{.stage = RolloutStage::kCanary, .share = used, .upstreams = input.new_upstreams};
  if (input.new_upstreams > 0 && input.new_slots > 0) {
    const double demand = std::max(demand_, 1.0);
    // Share that fills one upstream.
    const double one_upstream = std::max(options_.canary_use, OldUse(input)) * input.new_slots /
                                input.new_upstreams / demand;
    const int wanted = static_cast<int>(std::ceil(used / one_upstream - kTolerance));
    step.upstreams = std::clamp(wanted, 1, input.new_upstreams);
    step.share = std::min(step.upstreams * one_upstream, kMaxBurstShare);
  }
  const double rate = std::max<double>(SumOf(input.counts).requests, 1) /
                      std::max(ToSeconds(now - ordered_at_), 0.1);
  // By Little's law, from the slots in use and the rate of requests.
  Duration fill = FromSeconds(demand_ / rate);
  Duration phase = now - sending_since_.value_or(now);
  if (step.share > used * (1 + kTolerance)) {
    // Sent for a part of the time. Daemons have saved up what they may send by then.
    const Duration wanted = FromSeconds(2 * step.share * std::max(demand_, 1.0) / (used * rate));
    const Duration longest = FromSeconds(ToSeconds(duration_) * options_.longest_burst_period);
    const Duration period = std::max(options_.burst_period, std::min(wanted, longest));
    const Duration burst = FromSeconds(ToSeconds(period) * used / step.share);
    fill = std::min(fill, FromSeconds(ToSeconds(burst) / kFillFactor));
    phase %= period;
    if (phase >= std::max(kMinBurst, burst - FromSeconds(ToSeconds(fill) * (kFillFactor - 1)))) {
      step.share = 0;
    }
  } else {
    // Daemons bound what they send by their own counts, so that some of the share is lost by
    // chance.
    step.share *= 1 + kTolerance;
  }
  if (phase < fill) {
    step.share *= kFillFactor;
  }
  // A larger share needs a write to the store, so the first one, which is on and fills, is the
  // limit.
  canary_limit_ = canary_limit_ > 0 ? canary_limit_ : step.share;
  step.share = std::min(step.share, canary_limit_);
  if (step.share > 0) {
    step.route_shares = DivideByRoute(input.counts, step.share, evidence_);
  }
  return step;
}

RolloutStep RolloutPlan::Decide(const PlanInput& input, TimePoint now) {
  UpdateDemand(input, now);
  // Responses to requests of the canary still come in during the first step of the ramp.
  const bool is_canary =
      stage_ == RolloutStage::kCanary || (stage_ == RolloutStage::kRamp && ramp_index_ == 0);
  const double slow_weight =
      is_canary ? std::clamp(OldUse(input) / options_.canary_use, options_.min_slow_weight, 1.0)
                : 1;
  evidence_.Update(input.counts, now, slow_weight);
  if (!IsFinal(stage_)) {
    Advance(input, now);
  }
  switch (stage_) {
    case RolloutStage::kCanary:
      return CanaryStep(input, now);
    case RolloutStage::kRamp: {
      const double share = kRampShares.at(static_cast<std::size_t>(ramp_index_));
      return {.stage = stage_, .share = share, .upstreams = UpstreamsFor(share, input)};
    }
    case RolloutStage::kDrain:
    case RolloutStage::kCompleted:
      return {.stage = stage_, .share = 1, .upstreams = input.new_upstreams};
    case RolloutStage::kWaiting:
    case RolloutStage::kRolledBack:
      break;
  }
  return {.stage = stage_};
}

}  // namespace savoryglade::rollout
