#pragma once

#include <cstdint>

#include "core/random.h"
#include "core/time.h"
#include "routing/route_types.h"

namespace savoryglade {

// Tracks whether an upstream may receive new work, independent of its load: leave notices, and
// pauses after failures. Pauses double up to a maximum and end with a single probe.
class Availability {
 public:
  enum class State : std::uint8_t { kUsable, kProbe, kPaused, kLeaving };

  // Returns the state. In kProbe, a single request may be sent as a probe.
  State StateAt(TimePoint now) const;

  // Applies a notice. Returns false if it is repeated or out of order.
  bool OnNotice(const LeaveNotice& notice, TimePoint now);

  // Marks the probe as running.
  void OnProbeStart() { probe_running_ = true; }

  // Records that an attempt failed to connect, lost its connection or timed out.
  void OnFailure(TimePoint now, Random& random);

  // Records that an attempt was answered. Returns true if that ended a pause.
  bool OnSuccess(TimePoint now);

  // Records that a probe ended without a result, e.g. was cancelled.
  void OnProbeEnd() { probe_running_ = false; }

 private:
  bool leaving_ = false;
  std::uint64_t notice_sequence_ = 0;
  TimePoint notice_expires_ = TimePoint::max();
  int failures_ = 0;
  TimePoint paused_until_{};
  bool probe_running_ = false;
};

}  // namespace savoryglade
