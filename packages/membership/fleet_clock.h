#pragma once

#include <cstdint>
#include <map>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Wall clock that all daemons agree on: the median of the clocks of this daemon and its peers, each
// sampled when its daemon started. Adjusting a clock while its daemon runs has no effect, and a
// clock that was wrong at start is outvoted. Not thread-safe.
class FleetClock {
 public:
  // Takes the Unix time (time since 1970) that this VM's clock shows now.
  FleetClock(Duration unix_time, TimePoint now) : own_offset_(unix_time - now.time_since_epoch()) {}

  // Returns the time since 1970 by this daemon's own clock, to be sent to its peers.
  Duration OwnTime(TimePoint now) const { return now.time_since_epoch() + own_offset_; }
  // Records the Unix time that a peer reports by its own clock.
  void OnPeerTime(const DaemonId& daemon, Duration unix_time, TimePoint now);
  // Returns the agreed time since 1970.
  Duration Now(TimePoint now) const;

 private:
  struct PeerOffset {
    Duration offset = Duration::zero();
    TimePoint received_at{};
  };
  // A peer that has not reported for longer no longer counts.
  static constexpr Duration kPeerOffsetLifetime = 60s;

  Duration own_offset_;
  std::map<DaemonId, PeerOffset> peers_;
};

}  // namespace savoryglade
