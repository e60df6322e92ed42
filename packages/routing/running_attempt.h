#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "routing/prefix_map.h"
#include "routing/route_types.h"

namespace savoryglade {

// State of one running attempt. Costs are in seconds of one slot; the expected times are in
// seconds, before scaling by the group's medians.
struct RunningAttempt {
  UpstreamNumber upstream = 0;
  double cost = 0;
  double prompt_cost = 0;
  double expected_first_token = 0;
  double expected_total = 0;
  TimePoint dispatched;
  bool repeatable = false;
  bool probe = false;
  bool first_token = false;
  int tokens = 0;
  TimePoint last_progress;
  std::size_t expected_blocks = 0;
  std::vector<std::uint64_t> hashes;
  // The other attempt of a hedged request, and the hedge budget reserved for the pair.
  AttemptId partner = 0;
  double reserved_cost = 0;
  bool hedge_settled = false;
};

// Running attempts by id.
using RunningAttemptMap = std::unordered_map<AttemptId, RunningAttempt>;

}  // namespace savoryglade
