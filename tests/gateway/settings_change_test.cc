#include "gateway/settings_change.h"

#include <gtest/gtest.h>

#include <map>
#include <string_view>

namespace savoryglade::gateway {
namespace {

// Guards against a daemon that divides by a bound that a changed settings file lacks or sets to
// zero, which ends the process on some machines.
TEST(SettingsChangeTest, DurationsStayPositive) {
  const std::map<std::string_view, Duration FleetBounds::*> bounds = {
      {"upstream_drain", &FleetBounds::upstream_drain},
      {"routes_apply", &FleetBounds::routes_apply},
      {"stop_grace", &FleetBounds::stop_grace},
      {"retry_window", &FleetBounds::retry_window},
      {"allowance_window", &FleetBounds::allowance_window},
      {"lease", &FleetBounds::lease},
      {"usage_window", &FleetBounds::usage_window},
      {"usage_due", &FleetBounds::usage_due}};
  const FleetBounds held{.usage_window = 5s};
  for (const auto& [name, member] : bounds) {
    for (const Duration value : {Duration::zero(), Duration(-1s), Duration::min()}) {
      FleetBounds next = held;
      next.*member = value;
      EXPECT_EQ(FindImpossibleBound(held, next), name);
    }
    FleetBounds next = held;
    next.*member = 1ms;
    EXPECT_FALSE(FindImpossibleBound(held, next)) << name;
  }
}

TEST(SettingsChangeTest, ReportsThatAreDisabledMayStayDisabled) {
  EXPECT_FALSE(FindImpossibleBound({}, {.lease = 5s}));
}

}  // namespace
}  // namespace savoryglade::gateway
