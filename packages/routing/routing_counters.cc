#include "routing/routing_counters.h"

namespace savoryglade {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(RoutingCount::kCount)> kNames = {
    "selected",
    "refused_unknown_service",
    "refused_leaving",
    "refused_paused",
    "refused_at_limit",
    "refused_stragglers",
    "refused_excluded",
    "refused_hedge_budget",
    "stragglers_left",
    "stragglers_returned",
    "probes",
    "hedges",
    "notices_repeated",
    "notices_unknown_upstream",
    "cache_events_missed",
};

}  // namespace

std::string_view ToString(RoutingCount count) { return kNames.at(static_cast<std::size_t>(count)); }

}  // namespace savoryglade
