#include "recovery/drain_sequence.h"

namespace savoryglade {

bool DrainSequence::Begin(TimePoint ordered_at) {
  TimePoint expected = kNotOrdered;
  return ordered_at_.compare_exchange_strong(expected, ordered_at);
}

DrainStage DrainSequence::Advance(const OpenWork& work, TimePoint now) {
  const Duration elapsed = Elapsed(now);
  stage_ = stage();
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
      } else if (work == OpenWork{} || elapsed >= GraceFraction(options_.exit_grace_fraction)) {
        stage_ = DrainStage::kFinished;
      }
      break;
  }
  return stage_;
}

bool DrainSequence::Accepts(CallKind kind, Duration timeout, TimePoint now) const {
  if (stage() != DrainStage::kDraining) {
    return stage() == DrainStage::kServing;
  }
  const Duration elapsed = Elapsed(now);
  if (elapsed + options_.notice_delay < NoticeTime()) {
    return true;
  }
  return kind != CallKind::kStream && elapsed < GraceFraction(options_.accepting_grace_fraction) &&
         elapsed + timeout <= GraceFraction(options_.in_flight_grace_fraction);
}

}  // namespace savoryglade
