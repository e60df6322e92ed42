#include "rollout/rollout_types.h"

#include <array>
#include <cstddef>

namespace savoryglade::rollout {

const char* ToString(RolloutStage stage) {
  static constexpr std::array<const char*, 6> kNames = {"waiting", "canary",    "ramp",
                                                        "drain",   "completed", "rolled_back"};
  return kNames.at(static_cast<std::size_t>(stage));
}

RouteCounts SumOf(const CountsByRoute& counts) {
  RouteCounts sum;
  for (const auto& [route, count] : counts) {
    sum.Add(count);
  }
  return sum;
}

}  // namespace savoryglade::rollout
