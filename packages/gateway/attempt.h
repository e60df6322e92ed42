#pragma once

#include <cstdint>
#include <memory>

#include "core/time.h"
#include "gateway/adapter.h"
#include "gateway/stream_migrator.h"
#include "net/http_client.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// What came of one attempt.
enum class RelayOutcome : std::uint8_t {
  // The caller has its answer, or has gone.
  kFinished,
  // No byte was handed over, or the upstream states that it did not run the request.
  kNotRun,
  // The upstream may have run the request, and its answer is missing or can't be used.
  kResponseLost,
  // The upstream ran the request and answered with a failure, which is kept in the call.
  kFailed,
  // The run was stopped to go on elsewhere; the call says where.
  kMigrated,
};

// One sending of a call to an upstream.
struct Attempt {
  Placement placement;
  TimePoint sent_at;
  std::unique_ptr<HttpConnection> connection;
  bool first_byte = false;
  ResponseMetadata response;
  // Set while a stream is relayed.
  std::shared_ptr<MigratableStream> stream;
  AttemptEnd end = AttemptEnd::kFailed;
};

// Statuses that promise that a request has not run. A worker's answer with one of them but without
// its statement must not reach a caller.
constexpr bool ImpliesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace savoryglade::gateway
