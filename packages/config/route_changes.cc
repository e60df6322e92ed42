#include "config/route_changes.h"

#include <set>

namespace savoryglade {

std::vector<ServiceReplacement> FindServiceReplacements(const RouteTable& before,
                                                        const RouteTable& after) {
  std::set<ServiceReplacement> replacements;
  // A path may have another route now because a longer prefix was added or removed.
  for (const RouteTable* table : {&after, &before}) {
    for (const Route& route : table->document().routes) {
      if (!route.IsResumableStream()) {
        continue;
      }
      const Route* const old_route = before.Match(route.host, route.prefix);
      const Route* const new_route = after.Match(route.host, route.prefix);
      if (old_route == nullptr || new_route == nullptr ||
          old_route->services == new_route->services) {
        continue;
      }
      for (const WeightedService& from : old_route->services) {
        for (const WeightedService& to : new_route->services) {
          if (from.service != to.service) {
            replacements.insert({.from = from.service, .to = to.service});
          }
        }
      }
    }
  }
  return {replacements.begin(), replacements.end()};
}

}  // namespace savoryglade
