#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "emulator/load_outcome.h"
#include "emulator/load_pattern.h"
#include "scheduling/admission_queue.h"

namespace savoryglade {

// How daemons decide.
struct LoadPolicy {
  // Options of the admission queue; nothing if requests pass none.
  std::optional<AdmissionOptions> admission = AdmissionOptions{};
  // Upstreams that are compared for each choice; zero for all.
  int candidates = 0;
};

// Plays a load pattern with the decision objects of the daemons on a virtual clock. Each daemon
// knows its own requests at once, and those of others from reports at the interval and over the
// stages of a real fleet. Equal seeds give equal runs.
LoadOutcome PlayLoad(const LoadPattern& pattern, const LoadPolicy& policy, std::uint64_t seed);

}  // namespace savoryglade
