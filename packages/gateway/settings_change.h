#pragma once

#include <optional>
#include <string_view>

#include "gateway/gateway_settings.h"

namespace savoryglade::gateway {

// Returns the name of a bound that can't take its next value while the daemon runs, because it
// would no longer be positive, or nothing if all can.
std::optional<std::string_view> FindImpossibleBound(const FleetBounds& held,
                                                    const FleetBounds& next);

}  // namespace savoryglade::gateway
