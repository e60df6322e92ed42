#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "gateway/fleet_report.h"
#include "recovery/stream_version_directory.h"

namespace savoryglade::gateway {

// Encodes a report as a digest datagram.
std::string EncodeDigest(const FleetReport& report);

// Decodes a datagram. Returns kInvalid if it is malformed.
Result<FleetReport> DecodeDigest(std::string_view datagram);

// Encodes the response to a daemon that asks for the versions of streams.
std::string EncodeStreamSnapshot(const StreamVersionSnapshot& snapshot);

// Decodes such a response. Returns kInvalid if it is malformed.
Result<StreamVersionSnapshot> DecodeStreamSnapshot(std::string_view text);

}  // namespace savoryglade::gateway
