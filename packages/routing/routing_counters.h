#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace savoryglade {

// Events that the upstream selection counts. The kRefused counters give the cause when Select finds
// no upstream.
enum class RoutingCount : std::uint8_t {
  kSelected,
  kRefusedUnknownService,
  kRefusedLeaving,
  kRefusedPaused,
  kRefusedAtLimit,
  kRefusedStragglers,
  kRefusedExcluded,
  kRefusedHedgeBudget,
  kStragglersLeft,
  kStragglersReturned,
  kProbes,
  kHedges,
  kNoticesRepeated,
  kNoticesUnknownUpstream,
  kCacheEventsMissed,
  kCount,
};

// Event counts since the creation of the table.
class RoutingCounters {
 public:
  void Add(RoutingCount count, std::uint64_t amount = 1) {
    counts_.at(static_cast<std::size_t>(count)) += amount;
  }

  std::uint64_t operator[](RoutingCount count) const {
    return counts_.at(static_cast<std::size_t>(count));
  }

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(RoutingCount::kCount)> counts_{};
};

// Returns the name of a counter in snake_case, e.g. "refused_at_limit".
std::string_view ToString(RoutingCount count);

}  // namespace savoryglade
