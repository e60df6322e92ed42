#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "gateway/adapter.h"
#include "gateway/attempt_result.h"
#include "gateway/open_attempts.h"
#include "gateway/stream_migrator.h"
#include "net/http_client.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// One attempt to have an upstream answer a call.
struct Attempt {
  Placement placement;
  TimePoint sent_at;
  // Whether the request continues one that was stopped at another upstream.
  bool is_move = false;
  std::unique_ptr<HttpConnection> connection;
  // Peer that relays the connection; empty for a direct one.
  DaemonId peer;
  // Set while the attempt owns the connection.
  std::optional<OpenAttempts::Registration> registration;
  // Set once the request has been sent, or a part of it.
  bool sent = false;
  bool first_byte = false;
  // Status of the response; zero until its header has been read.
  unsigned status = 0;
  ResponseMetadata response;
  // Set while a stream is relayed.
  std::shared_ptr<MigratableStream> stream;
  // Whether the response had a length or chunks, so that its end was not just that of its
  // connection.
  bool has_framed_end = false;
  // Why the attempt has no usable response, for the log.
  std::string failure;

  // Returns why this daemon has closed the connection, or nothing if it has not.
  std::optional<AttemptResult> closed_because() const {
    return registration ? registration->closed_because() : std::nullopt;
  }
};

// Returns true for statuses that callers interpret as a statement that the request was not run. A
// worker's response with such a status must not reach the caller unless the worker states not_run.
constexpr bool ImpliesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace savoryglade::gateway
