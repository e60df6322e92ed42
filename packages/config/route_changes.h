#pragma once

#include <compare>
#include <vector>

#include "config/route_table.h"
#include "core/strong_id.h"

namespace savoryglade {

// Service whose requests on some path now go to another one.
struct ServiceReplacement {
  ServiceId from;
  ServiceId to;

  friend auto operator<=>(const ServiceReplacement&, const ServiceReplacement&) = default;
};

// Returns the services that others replace on paths of resumable streams, each pair once. The time
// grows with the number of routes.
std::vector<ServiceReplacement> FindServiceReplacements(const RouteTable& before,
                                                        const RouteTable& after);

}  // namespace savoryglade
