#include "gateway/settings_change.h"

#include <array>

namespace savoryglade::gateway {
namespace {

struct PositiveBound {
  std::string_view name;
  Duration FleetBounds::*value;
};

constexpr std::array kPositiveBounds = {
    PositiveBound{"upstream_drain", &FleetBounds::upstream_drain},
    PositiveBound{"routes_apply", &FleetBounds::routes_apply},
    PositiveBound{"stop_grace", &FleetBounds::stop_grace},
    PositiveBound{"retry_window", &FleetBounds::retry_window},
    PositiveBound{"allowance_window", &FleetBounds::allowance_window},
    PositiveBound{"lease", &FleetBounds::lease},
    PositiveBound{"usage_window", &FleetBounds::usage_window},
    PositiveBound{"rollback", &FleetBounds::rollback},
    PositiveBound{"usage_due", &FleetBounds::usage_due}};

}  // namespace

std::optional<std::string_view> FindImpossibleBound(const FleetBounds& held,
                                                    const FleetBounds& next) {
  for (const PositiveBound& bound : kPositiveBounds) {
    if (held.*bound.value > Duration::zero() && next.*bound.value <= Duration::zero()) {
      return bound.name;
    }
  }
  return std::nullopt;
}

}  // namespace savoryglade::gateway
