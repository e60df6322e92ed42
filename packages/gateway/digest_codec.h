#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/error.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Sender of a digest.
struct DigestSender {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  FailureDomainId failure_domain;
  bool leaving = false;

  friend auto operator<=>(const DigestSender&, const DigestSender&) = default;
};

// Returns the datagram with what this daemon knows: its load on each upstream, its use of
// allowances, the requests begun in recent windows, and requests that crash upstreams.
std::string EncodeDigest(FleetState& fleet, TimePoint now);

// Brings a peer's datagram into the fleet state. The error code is kInvalid; nothing has changed
// then. A daemon's own datagram changes nothing.
Result<DigestSender> ApplyDigest(std::string_view datagram, FleetState& fleet, TimePoint now);

}  // namespace savoryglade::gateway
