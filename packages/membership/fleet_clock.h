#pragma once

#include <cstdint>
#include <map>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Time of day that all daemons agree on: the median of the clocks of this daemon and its peers, as
// they stood when each started. A clock that is set while its daemon runs has no effect, and one
// that was wrong at the start is outvoted. Not safe to use from several threads.
class FleetClock {
 public:
  // Takes the time since 1970 that this VM's clock shows now.
  FleetClock(Duration unix_time, TimePoint now) : own_offset_(unix_time - now.time_since_epoch()) {}

  // Time since 1970 by this daemon's own clock, for its peers.
  Duration OwnTime(TimePoint now) const { return now.time_since_epoch() + own_offset_; }
  // Takes the own time of a peer.
  void OnPeerTime(const DaemonId& daemon, Duration unix_time, TimePoint now);
  // Agreed time since 1970.
  Duration Now(TimePoint now) const;

 private:
  struct PeerOffset {
    Duration offset = Duration::zero();
    TimePoint received_at{};
  };
  static constexpr Duration kPeerOffsetLifetime = 60s;

  Duration own_offset_;
  std::map<DaemonId, PeerOffset> peers_;
};

}  // namespace savoryglade
