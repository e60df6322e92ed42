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
#include "recovery/request_fingerprint.h"

namespace savoryglade::gateway {

struct Attempt;

// Complete response, ready to be sent to the caller.
struct BufferedResponse {
  unsigned status = 0;
  HttpHeaders headers;
  std::string body;
};

// How a call has ended for its caller.
enum class CallEnd : std::uint8_t {
  // It has not ended, or nothing is known of its end.
  kOpen,
  // The caller was sent a whole response of an upstream.
  kAnswered,
  // The caller was sent a whole response of this daemon.
  kRejected,
  // The connection was closed without a whole response.
  kCutOff,
};

// Shortest time before its deadline with which a call is still sent to an upstream.
inline constexpr Duration kMinRemainingTime = 10ms;
// Most attempts that are begun for a call, and most of them that may be sent before the gateway
// rejects it.
inline constexpr int kMaxConnectionAttempts = 4;
inline constexpr int kMaxSends = 3;

// State of one caller's request while the gateway processes it.
struct Call {
  explicit Call(HttpExchange& caller_exchange)
      : exchange(caller_exchange), caller(caller_exchange.stream()) {}

  HttpExchange& exchange;
  PeerDisconnectMonitor caller;
  RequestMetadata metadata;
  // Keeps `route` and `account` valid while the configuration changes.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  // Null on public routes.
  const AccountPolicy* account = nullptr;
  ServiceId service;
  TimePoint received;
  // Time by which the response is due: the caller's timeout or the route's, whichever is shorter.
  TimePoint deadline;
  RequestFingerprint fingerprint;
  // Hashes of the service and each part of the prompt that other requests may share.
  std::vector<std::uint64_t> shared_parts;
  // Units taken from the account's allowance.
  double units = 0;
  // Values behind a rejection, for the log.
  std::string rejection_detail;

  // Whether the call may be sent without another admission, and how long it waited for that.
  bool is_admitted = false;
  Duration admission_wait = Duration::zero();

  // Attempts in progress.
  std::vector<Attempt*> attempts;
  // Attempts begun and requests sent so far.
  int connection_attempts = 0;
  int sends = 0;
  // Number of upstreams that may have run the request.
  int possible_runs = 0;
  // Sends whose upstream has not stated that it did not run the request.
  int unrejected_sends = 0;
  std::vector<UpstreamId> tried_upstreams;
  // Upstreams that have not run the request and are not asked again for a while.
  std::vector<UpstreamId> rejecting_upstreams;
  std::optional<UpstreamId> last_upstream;
  // Usage window in which the request is counted.
  std::optional<capacity::WindowNumber> counted_window;
  RunState run_state = RunState::kNotRun;

  // Upstream at which a stopped stream continues, and the KV cache that it continues from.
  std::optional<UpstreamRecord> migration_target;
  std::optional<KvCacheCopy> kv_copy;
  // Upstream that stopped the stream and still holds its KV cache, as the fallback of the target.
  // Empty once that upstream is itself the target.
  std::optional<UpstreamRecord> migration_source;
  // When the return to that upstream was consumed in the retry budget, while it still is.
  std::optional<TimePoint> return_consumed_at;

  // Whether a part of the response has been sent, so that no other response can follow.
  bool stream_started = false;
  CallEnd end = CallEnd::kOpen;
  // When the request was last sent to an upstream.
  TimePoint last_sent_at{};
  SseSplitter sse_splitter;
  // Time from receipt to the first event, and the longest gap between two events.
  Duration time_to_first_event = Duration::zero();
  Duration longest_event_gap = Duration::zero();
  TimePoint last_event_at{};
  // A worker's failure, which becomes the response unless a retry succeeds.
  std::optional<BufferedResponse> failed_response;

  // Records that events were relayed at this time.
  void OnEvents(TimePoint now) {
    if (last_event_at == TimePoint{}) {
      time_to_first_event = now - received;
    } else {
      longest_event_gap = std::max(longest_event_gap, now - last_event_at);
    }
    last_event_at = now;
  }
  // Returns the upstreams that are not asked now.
  std::vector<UpstreamId> ExcludedUpstreams() const {
    std::vector<UpstreamId> excluded = tried_upstreams;
    excluded.insert(excluded.end(), rejecting_upstreams.begin(), rejecting_upstreams.end());
    return excluded;
  }
  Duration RemainingTime(TimePoint now) const { return deadline - now; }
  AccountId account_id() const { return account == nullptr ? AccountId() : account->name; }
  // Returns true if the caller holds events of the stream from an earlier response.
  bool resumes_stream() const {
    return route->kind == CallKind::kStream && !metadata.last_event_id.empty();
  }
  int rank() const { return account != nullptr && account->rank ? *account->rank : route->rank; }
};

}  // namespace savoryglade::gateway
