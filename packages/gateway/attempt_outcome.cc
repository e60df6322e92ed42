#include "gateway/attempt_outcome.h"

#include <array>
#include <cstddef>

namespace savoryglade::gateway {

const AttemptOutcomeTraits& TraitsOf(AttemptOutcome result) {
  // In the order of the outcomes.
  static constexpr std::array<AttemptOutcomeTraits, 16> kTraits = {{
      {.name = "answered", .end = AttemptEnd::kAnswered},
      {.name = "failed", .end = AttemptEnd::kFailed},
      {.name = "rejected", .end = AttemptEnd::kRefused, .may_have_run = false},
      {.name = "not_sent", .end = AttemptEnd::kCancelled, .may_have_run = false},
      {.name = "unreachable", .end = AttemptEnd::kUnreachable, .may_have_run = false},
      {.name = "no_path", .end = AttemptEnd::kNoPath, .may_have_run = false},
      {.name = "undelivered", .end = AttemptEnd::kCancelled},
      {.name = "broken_off",
       .end = AttemptEnd::kFailed,
       .evidence = CrashEvidence::kConnectionLost},
      {.name = "path_lost", .end = AttemptEnd::kNoPath, .evidence = CrashEvidence::kRunLeft},
      {.name = "relay_lost", .end = AttemptEnd::kFailed, .evidence = CrashEvidence::kRunLeft},
      {.name = "unusable", .end = AttemptEnd::kFailed},
      {.name = "timed_out", .end = AttemptEnd::kFailed, .evidence = CrashEvidence::kRunLeft},
      {.name = "superseded", .end = AttemptEnd::kCancelled, .evidence = CrashEvidence::kRunLeft},
      {.name = "caller_left", .end = AttemptEnd::kCancelled, .evidence = CrashEvidence::kRunLeft},
      {.name = "interrupted", .end = AttemptEnd::kCancelled},
      {.name = "moved", .end = AttemptEnd::kCancelled},
  }};
  return kTraits.at(static_cast<std::size_t>(result));
}

}  // namespace savoryglade::gateway
