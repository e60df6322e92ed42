#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "capacity/usage_ledger.h"
#include "config/route_table.h"
#include "core/time.h"
#include "core/verdict.h"
#include "gateway/adapter.h"
#include "gateway/sse_splitter.h"
#include "net/http_server.h"
#include "net/peer_disconnect_monitor.h"

namespace savoryglade::gateway {

// Whole answer that is sent as it is.
struct BufferedResponse {
  unsigned status = 0;
  HttpHeaders headers;
  std::string body;
};

// One request of a caller on its way through the gateway.
struct Call {
  explicit Call(HttpExchange& caller_exchange)
      : exchange(caller_exchange), caller(caller_exchange.stream()) {}

  HttpExchange& exchange;
  PeerDisconnectMonitor caller;
  RequestMetadata metadata;
  // Keeps the route alive while the configuration changes.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  // Null on public routes.
  const AccountPolicy* account = nullptr;
  ServiceId service;
  TimePoint received;
  // When the final answer is due: the caller's patience or the route's time-out.
  TimePoint deadline;
  // Hash that identifies a request that comes again; zero without a body.
  std::uint64_t fingerprint = 0;
  // Units taken from the account's allowance.
  double units = 0;
  // What decided a refusal, for the log.
  std::string rejection_detail;

  // Connections opened and requests handed over so far.
  int connection_attempts = 0;
  int sends = 0;
  // Upstreams that may have run the request.
  int possible_runs = 0;
  // Sends whose upstream has not stated that it did not run the request.
  int unrejected_sends = 0;
  std::vector<UpstreamId> tried;
  std::optional<UpstreamId> last_upstream;
  // Window in which the request was counted as begun.
  std::optional<capacity::WindowNumber> counted_window;
  RunState run_state = RunState::kNotRun;

  // Where a run that was stopped goes on, with what, and whether it is already back at the upstream
  // that stopped it.
  std::optional<UpstreamRecord> migration_target;
  std::optional<KvCacheCopy> kv_copy;
  std::optional<UpstreamRecord> migration_source;

  // Whether the head of a streamed answer has been sent.
  bool stream_started = false;
  SseSplitter sse_splitter;
  // Time to the first event, and the longest time between two events.
  Duration time_to_first_event = Duration::zero();
  Duration longest_event_gap = Duration::zero();
  TimePoint last_event_at{};
  // Failure of a worker that is the answer unless a repeat succeeds.
  std::optional<BufferedResponse> failed_response;

  // Takes the time at which events were passed on.
  void OnEvents(TimePoint now) {
    if (last_event_at == TimePoint{}) {
      time_to_first_event = now - received;
    } else {
      longest_event_gap = std::max(longest_event_gap, now - last_event_at);
    }
    last_event_at = now;
  }
  Duration RemainingTime(TimePoint now) const { return deadline - now; }
  AccountId account_id() const { return account == nullptr ? AccountId() : account->name; }
  int rank() const { return account != nullptr && account->rank ? *account->rank : route->rank; }
};

}  // namespace savoryglade::gateway
