#include "membership/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace savoryglade {

void FleetClock::OnPeerTime(const DaemonId& daemon, Duration time_of_day, TimePoint now) {
  peers_[daemon] = PeerOffset{.offset = time_of_day - now.time_since_epoch(), .heard = now};
}

Duration FleetClock::Now(TimePoint now) const {
  std::vector<Duration> offsets = {own_offset_};
  for (const auto& [daemon, peer] : peers_) {
    if (now - peer.heard <= kPeerLifetime) {
      offsets.push_back(peer.offset);
    }
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::ranges::nth_element(offsets, middle);
  return now.time_since_epoch() + *middle;
}

}  // namespace savoryglade
