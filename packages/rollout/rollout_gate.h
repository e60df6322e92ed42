#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "rollout/rollout_types.h"

namespace savoryglade::rollout {

// Decides at one daemon whether a request may go to the new version of its service. Admits the
// published share by a hash of the request. While there is no verdict, also bounds what this daemon
// sends by its own count of requests, so that no delay of a report raises the exposure. Admits none
// if the published step was last confirmed too long ago. Handles daemons that start, are frozen or
// are cut off in mid-course. Not thread-safe.
class RolloutGate {
 public:
  // The seed spreads the instants at which daemons with few requests send their first one.
  explicit RolloutGate(std::uint64_t seed);

  void SetBounds(const RolloutBounds& bounds, int daemons) {
    bounds_ = bounds;
    daemons_ = daemons > 0 ? daemons : 1;
  }
  // Greatest age of a step by which requests are sent to the new version. A quarter of the time for
  // a roll-back is left to the counts on their way to the leader, and another one to its decision
  // and the way back.
  Duration max_step_age() const { return bounds_.rollback * 2 / 5; }

  // Records what reached the service, and what was sent to the new version.
  void OnRequest() { ++requests_; }
  void OnSentToNew() { ++sent_to_new_; }
  void Reset() { requests_ = sent_to_new_ = 0; }

  // Returns true if a request with this hash may go to the new version now.
  bool Admits(const RolloutStep& step, Duration step_age, std::uint64_t route,
              std::uint64_t request_hash) const;
  // Returns true if requests may go to the new version now, at least those that continue a stream
  // which it began. These also go on between two bursts.
  bool IsOpen(const RolloutStep& step, Duration step_age) const;

 private:
  RolloutBounds bounds_;
  int daemons_ = 1;
  double offset_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t sent_to_new_ = 0;
};

}  // namespace savoryglade::rollout
