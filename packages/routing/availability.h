#pragma once

#include <cstdint>

#include "core/random.h"
#include "core/time.h"
#include "routing/route_types.h"

namespace savoryglade {

// Whether an upstream may get new work, apart from its load: notices that it leaves, and pauses
// after failures that double up to a bound and end with a single probe.
class Availability {
 public:
  enum class State : std::uint8_t { kUsable, kProbe, kPaused, kLeaving };

  // Returns the state. kProbe means that one request may try the upstream.
  State StateAt(TimePoint now) const;

  // Takes a notice. Returns false if it is a repetition or older than one already taken.
  bool OnNotice(const LeaveNotice& notice, TimePoint now);

  // Reserves the probe.
  void OnProbeStart() { probe_running_ = true; }

  // Learns that an attempt failed at connecting, was cut off or timed out.
  void OnFailure(TimePoint now, Random& random);

  // Learns that an attempt got an answer. Returns true if that ended a pause.
  bool OnSuccess(TimePoint now);

  // Learns that a probe ended without telling anything, e.g. was cancelled.
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
