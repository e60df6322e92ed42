#include "membership/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace savoryglade {

void FleetClock::OnPeerTime(const DaemonId& daemon, Duration unix_time, TimePoint now) {
  peers_[daemon] = PeerOffset{.offset = unix_time - now.time_since_epoch(), .received_at = now};
}

Duration FleetClock::Now(TimePoint now) const {
  std::vector<Duration> offsets = {own_offset_};
  for (const auto& [daemon, peer] : peers_) {
    if (now - peer.received_at <= kPeerOffsetLifetime) {
      offsets.push_back(peer.offset);
    }
  }
  const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::ranges::nth_element(offsets, median);
  return now.time_since_epoch() + *median;
}

}  // namespace savoryglade
