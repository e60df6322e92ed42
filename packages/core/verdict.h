#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/time.h"

namespace savoryglade {

// Whether a request has run at an upstream. kNotRun guarantees that it has not run and never will.
enum class RunState : std::uint8_t { kNotRun, kMayHaveRun, kRan };

// Returns "not_run", "may_have_run" or "ran".
std::string_view ToString(RunState state);

// Reason why a request was rejected or ended without a complete response. The names are part of the
// callers' API.
enum class Reason : std::uint8_t {
  kNone,
  kUnknownKey,
  kUnknownService,
  kMalformedRequest,
  kRequestTooLarge,
  kIdempotencyKeyRequired,
  kIdempotencyKeyReused,
  kQueueFull,
  kAccountQueueFull,
  kDeadlineUnreachable,
  kDeadlineExceeded,
  kNoUpstream,
  kDraining,
  kPlatformUnavailable,
  kClaimedElsewhere,
  kRequestCrashesUpstreams,
  kRetryBudgetExhausted,
  kUpstreamLost,
  kUpstreamError,
  kCallerGone,
  kNotReady,
  kTooManyConnections,
  kAnswerNotKept,
  kAllowanceExhausted,
  kStreamVersionUnknown,
  kStreamVersionUnavailable,
  kCount,
};

// Returns the name of a reason in snake_case, e.g. "queue_full".
std::string_view ToString(Reason reason);

// Final outcome of a request without a complete response: whether it ran, the reason, and the time
// after which the caller may retry. A retry_after of zero means that a retry does not help.
struct Verdict {
  RunState run_state = RunState::kNotRun;
  Reason reason = Reason::kNone;
  Duration retry_after = Duration::zero();

  friend auto operator<=>(const Verdict&, const Verdict&) = default;
};

}  // namespace savoryglade
