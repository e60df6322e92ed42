#include "core/verdict.h"

#include <array>
#include <cstddef>

namespace savoryglade {
namespace {

constexpr std::array<std::string_view, 3> kRunStateNames = {"not_run", "may_have_run", "ran"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Reason::kCount)> kReasonNames = {
    "none",
    "unknown_key",
    "unknown_service",
    "malformed_request",
    "request_too_large",
    "idempotency_key_required",
    "idempotency_key_reused",
    "queue_full",
    "account_queue_full",
    "deadline_unreachable",
    "deadline_exceeded",
    "no_upstream",
    "draining",
    "platform_unavailable",
    "claimed_elsewhere",
    "request_crashes_upstreams",
    "retry_budget_exhausted",
    "upstream_lost",
    "upstream_error",
    "caller_gone",
    "not_ready",
    "too_many_connections",
    "answer_not_kept",
    "allowance_exhausted",
    "stream_version_unknown",
    "stream_version_unavailable",
};

}  // namespace

std::string_view ToString(RunState state) {
  return kRunStateNames.at(static_cast<std::size_t>(state));
}

std::string_view ToString(Reason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

}  // namespace savoryglade
