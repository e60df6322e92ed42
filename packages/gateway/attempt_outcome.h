#pragma once

#include <cstdint>
#include <string_view>

#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Counts responses that were silent for longer than expected, by stage: before (their first byte),
// in_response.
inline constexpr const char* kSilencesMetric = "savoryglade_gateway_silences_total";

// Why an attempt ended. The only source for what the load balancer, the crash records, the retries
// of the call and the log make of the end.
enum class AttemptOutcome : std::uint8_t {
  // The upstream's whole response was received and passed on.
  kAnswered,
  // The upstream responded with a failure of its own, which the call keeps while it retries.
  kFailed,
  // The upstream states that it did not run the request.
  kRejected,
  // The request was withdrawn before it was sent.
  kNotSent,
  // The upstream did not accept a connection.
  kUnreachable,
  // This daemon reaches no upstream of the service.
  kNoPath,
  // The connection was closed because the request had not reached the upstream's host.
  kUndelivered,
  // The upstream's end of the connection broke before the end of the response.
  kBrokenOff,
  // The connection to the upstream broke, and another one gets no response.
  kPathLost,
  // The connection through a peer broke, by the peer, the path or the upstream.
  kRelayLost,
  // The upstream's response can't be relayed.
  kUnusable,
  // The response was not complete in the time that this daemon gave it.
  kTimedOut,
  // Another attempt of the call had its answer at hand first.
  kSuperseded,
  // The caller closed its connection, or did not take the answer as it came.
  kCallerLeft,
  // This daemon interrupted its requests in progress to exit.
  kInterrupted,
  // The stream was stopped to continue at another upstream.
  kMoved,
};

// What the end of an attempt shows about whether the request has crashed its upstream.
enum class CrashEvidence : std::uint8_t {
  kNone,
  // The run was left. It has crashed the upstream if the upstream's process ends soon.
  kRunLeft,
  // The upstream closed its end of the connection, as a process that ends does with all of them.
  kConnectionLost,
};

struct AttemptOutcomeTraits {
  // Name in logs and metrics.
  std::string_view name;
  AttemptEnd end = AttemptEnd::kFailed;
  // Whether the upstream may have run the request.
  bool may_have_run = true;
  CrashEvidence evidence = CrashEvidence::kNone;
};

const AttemptOutcomeTraits& TraitsOf(AttemptOutcome result);

}  // namespace savoryglade::gateway
