#pragma once

#include <cstdint>
#include <string_view>

#include "core/prefix_hash.h"

namespace savoryglade {

// Returns the key of a version of an upstream's software. Versions are any text and have no order.
// Upstreams whose registration names none count as one version.
constexpr std::uint64_t SoftwareVersionKey(std::string_view version) { return Fnv1aHash(version); }

}  // namespace savoryglade
