#pragma once

#include <map>
#include <optional>

#include "core/time.h"
#include "rollout/rollout_evidence.h"
#include "rollout/rollout_types.h"

namespace savoryglade::rollout {

// Times as fractions of the order's duration, counted from the order.
struct PlanOptions {
  RolloutBounds bounds;
  // Earliest verdict "good", and the latest: from then on a version with too few responses, or in
  // doubt, is rolled back. With 12 s, faults that begin in the first six seconds are seen.
  double observe_until = 0.56;
  double decide_by = 0.68;
  // Time for each step of the ramp, and the times by which all requests go to the new version and
  // by which the outcome is written. The rest covers the store's delay and the time by which the
  // row was read late.
  double ramp_step = 0.05;
  double drain_until = 0.88;
  // Least time between the outcome and the deadline.
  Duration deadline_margin = 1200ms;
  // Least time for a step to reach all daemons and its responses to come back.
  Duration min_step = 600ms;
  // Least time for a step if little time is left.
  Duration min_late_step = 250ms;
  // Period in which a share above the exposure bound is sent for a part of the time, so that even
  // one upstream of the new version reaches the slot use below. It grows up to the second value, a
  // fraction of the duration, until a burst has enough requests to fill the slots twice: with 2 s,
  // a fault above half of the slots passed in 75 of 1,000 courses with four old upstreams of 40
  // slots, with 3 s in 19.
  Duration burst_period = 2s;
  double longest_burst_period = 0.25;
  // Fraction of the slots in use at upstreams that take the canary share, or that of the old
  // version if it is higher. Some faults show only above half of the slots, which a later peak
  // would reach; the rest leaves room for chance.
  double canary_use = 0.7;
  // Least weight of slow responses during the canary, whose upstreams are more loaded than the old
  // ones. With 1, 25 of 1,000 good versions were rolled back whose responses took 1.5 times as long
  // at the canary's load.
  double min_slow_weight = 0.35;
};

// State of the service that a plan is decided from.
struct PlanInput {
  CountsByRoute counts;
  // Slots of the upstreams of the old version, and slots and number of those of the new version;
  // leaving ones are left out.
  int old_slots = 0;
  int new_slots = 0;
  int new_upstreams = 0;
  // Requests that run on upstreams of the old version, as far as known.
  int running_on_old = 0;
  // Whether the new version already served the service alone when it was ordered.
  bool already_served = false;
  // Whether the last step could not be published yet, so that it must not grow.
  bool step_pending = false;
};

// Decides the steps of one roll-out at the leader. Handles orders whose upstreams never register,
// register late, or are bad from the start, later, under load or on one route. Not thread-safe.
class RolloutPlan {
 public:
  RolloutPlan(PlanOptions options, Duration duration, TimePoint ordered_at)
      : options_(options), duration_(duration), ordered_at_(ordered_at) {}

  // Continues with a step that an earlier leader has published. Its share is not exceeded before
  // the evidence allows it.
  void Resume(const RolloutStep& published, TimePoint now);

  // Returns the next step, without fencing token and number.
  RolloutStep Decide(const PlanInput& input, TimePoint now);

  const RolloutEvidence& evidence() const { return evidence_; }
  RolloutStage stage() const { return stage_; }
  TimePoint deadline() const { return ordered_at_ + duration_; }
  // Returns why the plan has reached its final stage, for the log.
  const char* reason() const { return reason_; }

 private:
  TimePoint At(double fraction) const {
    return ordered_at_ + FromSeconds(ToSeconds(duration_) * fraction);
  }
  // Returns the instant by which the outcome is published.
  TimePoint OutcomeDue() const;
  Duration RampStepTime(TimePoint now) const;
  void Enter(RolloutStage stage, TimePoint now);
  void RollBack(const char* reason, TimePoint now);
  // Changes the stage by evidence and time.
  void Advance(const PlanInput& input, TimePoint now);
  void AdvanceCanary(const PlanInput& input, TimePoint now);
  // Follows the slots in use by the whole service.
  void UpdateDemand(const PlanInput& input, TimePoint now);
  // Returns the slot use of the old version, up to 1.
  double OldUse(const PlanInput& input) const;
  RolloutStep CanaryStep(const PlanInput& input, TimePoint now);
  // Returns the number of upstreams of the new version that are about as loaded as the old ones
  // with this share.
  static int UpstreamsFor(double share, const PlanInput& input);

  PlanOptions options_;
  Duration duration_;
  TimePoint ordered_at_;
  RolloutEvidence evidence_{EvidenceOptions{}};
  RolloutStage stage_ = RolloutStage::kWaiting;
  TimePoint stage_since_{};
  // Index of the ramp's step, and when it began.
  int ramp_index_ = 0;
  TimePoint ramp_step_since_{};
  // Slots that the service's requests use, smoothed, and when they were last updated.
  double demand_ = 0;
  TimePoint demand_at_{};
  // When the first request at the new version was seen during the canary.
  std::optional<TimePoint> sending_since_;
  // Greatest share of the canary; zero before it.
  double canary_limit_ = 0;
  const char* reason_ = "";
};

}  // namespace savoryglade::rollout
