#include "recovery/drain_sequence.h"

namespace savoryglade {

void DrainSequence::Begin(TimePoint now) {
  if (stage_ == DrainStage::kServing) {
    stage_ = DrainStage::kDraining;
    began_at_ = now;
  }
}

DrainStage DrainSequence::Advance(const OpenWork& work, TimePoint now) {
  const Duration elapsed = Elapsed(now);
  switch (stage_) {
    case DrainStage::kServing:
    case DrainStage::kFinished:
      break;
    case DrainStage::kDraining:
      if (elapsed >= GraceFraction(options_.in_flight_grace_fraction) ||
          (!work.HasUpstreamWork() && elapsed >= NoticeTime())) {
        stage_ = DrainStage::kClosing;
        interrupted_ = work.HasUpstreamWork();
      }
      break;
    case DrainStage::kClosing:
      if (work.HasUpstreamWork() && !interrupted_) {
        interrupted_ = elapsed >= GraceFraction(options_.in_flight_grace_fraction);
      } else if (work.connections == 0 || elapsed >= GraceFraction(options_.exit_grace_fraction)) {
        stage_ = DrainStage::kFinished;
      }
      break;
  }
  return stage_;
}

bool DrainSequence::Accepts(CallKind kind, Duration timeout, TimePoint now) const {
  if (stage_ != DrainStage::kDraining) {
    return stage_ == DrainStage::kServing;
  }
  const Duration elapsed = Elapsed(now);
  if (elapsed + options_.notice_delay < NoticeTime()) {
    return true;
  }
  return kind != CallKind::kStream && elapsed < GraceFraction(options_.accepting_grace_fraction) &&
         elapsed + timeout <= GraceFraction(options_.in_flight_grace_fraction);
}

}  // namespace savoryglade
