#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "gateway/adapter.h"
#include "gateway/open_attempts.h"
#include "gateway/stream_migrator.h"
#include "net/http_client.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Outcome of relaying one attempt.
enum class RelayOutcome : std::uint8_t {
  // The caller received its response, or disconnected.
  kFinished,
  // The request was not sent, or the upstream states that it did not run it.
  kNotRun,
  // The upstream may have run the request, but its response is missing or unusable.
  kResponseLost,
  // The upstream ran the request and responded with a failure, which the call keeps.
  kFailed,
  // The request was stopped to continue at the call's migration target.
  kMigrated,
};

// One attempt to have an upstream answer a call.
struct Attempt {
  Placement placement;
  TimePoint sent_at;
  std::unique_ptr<HttpConnection> connection;
  // Peer that relays the connection; empty for a direct one.
  DaemonId peer;
  // Set while the attempt owns the connection.
  std::optional<OpenAttempts::Registration> registration;
  // True if the connection was closed because the request had not reached the upstream's host.
  bool undelivered = false;
  bool first_byte = false;
  ResponseMetadata response;
  // Set while a stream is relayed.
  std::shared_ptr<MigratableStream> stream;
  AttemptEnd end = AttemptEnd::kFailed;
  // True if the upstream sent a response that can't be relayed, so that it was not lost.
  bool response_rejected = false;
  // Whether the response had a length or chunks, so that its end was not just that of its
  // connection.
  bool has_framed_end = false;
  // Why the attempt has no usable response, for the log.
  std::string failure;
};

// Returns true for statuses that callers interpret as a statement that the request was not run. A
// worker's response with such a status must not reach the caller unless the worker states not_run.
constexpr bool ImpliesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace savoryglade::gateway
