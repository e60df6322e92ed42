#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "core/time.h"
#include "rollout/rollout_directory.h"
#include "rollout/rollout_plan.h"

namespace savoryglade::gateway {

// Row in which the leader keeps the progress of a roll-out.
struct RolloutRow {
  rollout::RolloutOrder order;
  // Time since 1970 at which the order was first seen.
  Duration ordered_at = Duration::zero();
  std::vector<std::uint64_t> abandoned;
  // Without the shares of the routes.
  rollout::RolloutStep step;

  friend bool operator==(const RolloutRow&, const RolloutRow&) = default;
};

// Returns the key of the row of a service.
std::string RolloutRowKey(const ServiceId& service);

// Encodes the value of the row, with the evidence for those who read it.
std::string EncodeRolloutRow(const RolloutRow& row, const rollout::RolloutPlan* plan);
// Decodes the value of the row. Returns kInvalid if it is malformed.
Result<RolloutRow> DecodeRolloutRow(std::string_view value);

}  // namespace savoryglade::gateway
