#include "recovery/stop_sequence.h"

namespace savoryglade {

bool StopSequence::Begin() {
  StopPhase expected = StopPhase::kServing;
  return phase_.compare_exchange_strong(expected, StopPhase::kDraining);
}

StopPhase StopSequence::Advance(const StopWork& work, TimePoint now) {
  const StopPhase phase = phase_.load();
  if (phase == StopPhase::kDraining && work.requests_in_flight == 0) {
    closing_since_ = now;
    phase_ = StopPhase::kClosing;
  } else if (phase == StopPhase::kClosing) {
    const Duration closing = now - closing_since_;
    const bool connections_ended = work.open_connections == 0 || closing >= limits_.connections;
    const bool claims_ended = work.unwritten_claims == 0 || closing >= limits_.claims;
    if (connections_ended && claims_ended) {
      phase_ = StopPhase::kGone;
    }
  }
  return phase_.load();
}

}  // namespace savoryglade
