#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "gateway/fleet_report.h"

namespace savoryglade::gateway {

// Encodes a report as a digest datagram.
std::string EncodeDigest(const FleetReport& report);

// Decodes a datagram. Returns kInvalid if it is malformed.
Result<FleetReport> DecodeDigest(std::string_view datagram);

}  // namespace savoryglade::gateway
