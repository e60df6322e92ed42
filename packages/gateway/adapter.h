#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "capacity/usage_ledger.h"
#include "config/route_table.h"
#include "core/error.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "membership/registration_view.h"
#include "membership/store_era.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "provider/table.h"
#include "rollout/rollout_types.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Request headers that the caller sets, decoded.
struct RequestMetadata {
  // Identifies this attempt; upstreams echo it in their responses.
  std::string attempt_id;
  // Time that the caller waits for the response, counted from sending the request.
  std::optional<Duration> caller_timeout;
  std::string api_key;
  // Sum of prompt and output tokens, if the caller states them.
  std::optional<double> declared_tokens;
  // The codec leaves the service empty; the route determines it.
  WorkEstimate work;
  // Id of the last event that the caller received in an earlier response.
  std::string last_event_id;
  // Attempt id of the earlier response that brought the first event of the stream that this request
  // resumes, if the caller names it.
  std::string resumed_attempt;
};

// Handle to the KV cache of a stopped request at the engine that ran it.
struct KvCacheCopy {
  // Address of the engine that ran the request, and that engine's handle for the copy.
  std::string source;
  std::string handle;

  friend auto operator<=>(const KvCacheCopy&, const KvCacheCopy&) = default;
};

// Values that the gateway adds to the headers of a request to an upstream.
struct ForwardMetadata {
  UpstreamId upstream;
  AccountId account;
  // Time until the response is due.
  Duration remaining = Duration::zero();
  // 0 is the most urgent, 9 the least.
  int engine_priority = 5;
  // Id of the last event that the caller received; the upstream resumes after it.
  std::string last_event_id;
  // KV cache from which the upstream continues the request, if it was migrated.
  std::optional<KvCacheCopy> kv_copy;
};

// Attempt to which a response belongs, by the attempt id in its header.
enum class ResponseOwner : std::uint8_t { kThisAttempt, kOtherAttempt, kUnstated };

// Response headers of an upstream, decoded, without the status.
struct ResponseMetadata {
  ResponseOwner owner = ResponseOwner::kUnstated;
  // Whether the upstream states that it did not run the request and will not run it.
  bool not_run = false;
  // Whether the response carries the seal of a worker.
  bool has_seal = false;
  // Whether the body is a series of events.
  bool is_event_stream = false;
  // Whether an intermediary encoded the body, so that it differs from the worker's.
  bool content_encoded = false;
  // What the upstream says of itself.
  UpstreamSignal signal;
  // Names and values of headers on the upstream's state that can't be read, for the log; empty if
  // there are none.
  std::string invalid_signals;
  // Time for which the upstream keeps an idle connection open.
  std::optional<Duration> idle_timeout;
};

// Decodes and encodes the headers of requests and responses in the platform's format.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  // Decodes a caller's request. The error names the header that is missing or malformed.
  virtual Result<RequestMetadata> DecodeRequest(const HttpRequest& request) const = 0;
  // Builds the head of the request to an upstream. The body is that of the request.
  virtual HttpRequest EncodeUpstreamRequest(const HttpRequest& request,
                                            const ForwardMetadata& metadata) const = 0;
  // Decodes an upstream's response to the attempt with this id.
  virtual ResponseMetadata DecodeResponse(const std::string& attempt_id, unsigned status,
                                          const boost::beast::http::fields& header) const = 0;
  // Returns the headers of an upstream's response that are passed on to the caller.
  virtual HttpHeaders CallerResponseHeaders(const boost::beast::http::fields& header) const = 0;
  // Returns the headers of a response that the gateway generates itself.
  virtual HttpHeaders GatewayResponseHeaders(const std::string& attempt_id) const = 0;
};

// Position in the change history of a watched table. Zero requests a full snapshot. Positions and
// the versions of rows only increase, even if the store returns from an older copy.
using FeedPosition = std::uint64_t;

// Text of the new route document, if there is one, new orders to roll out versions, and the
// position from which to continue.
struct RouteUpdate {
  std::optional<std::string> text;
  std::vector<rollout::RolloutOrder> rollouts;
  FeedPosition position = 0;
};

// Changed registrations and the position from which to continue.
struct UpstreamUpdate {
  std::vector<RegistrationChange> changes;
  // Whether the changes list every registered upstream.
  bool is_snapshot = false;
  // Whether the store has returned from an older copy since the snapshot before, so that upstreams
  // may be missing until they register again.
  bool store_returned = false;
  FeedPosition position = 0;
};

// Changed rows of the daemons' own, by key, and the position from which to continue. Rows that were
// removed are left out.
struct RowUpdate {
  std::map<std::string, provider::Row> rows;
  FeedPosition position = 0;
};

// State of a roll-out as the operators see it.
enum class RolloutState : std::uint8_t { kRunning, kCompleted, kRolledBack };

struct RolloutStatus {
  ServiceId service;
  RolloutState state = RolloutState::kRunning;
  // Software version of the order.
  std::string to;

  friend auto operator<=>(const RolloutStatus&, const RolloutStatus&) = default;
};

// Store of the operators' routes, the upstreams' registrations and the daemons' own rows. Each
// call applies its own timeout. The Watch functions return kConflict if the history after the
// position has been discarded; the caller then restarts from zero.
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  // Returns as soon as the routes or the orders of roll-outs change after the position, or once the
  // wait has passed.
  virtual boost::asio::awaitable<Result<RouteUpdate>> WatchRoutes(FeedPosition after,
                                                                  Duration wait) = 0;
  // Parses the text of a route document. Returns kInvalid if it is malformed. Safe to use from all
  // threads.
  virtual Result<RouteDocument> ParseRoutes(const std::string& text) const = 0;
  // Returns the registrations that changed after the position, without waiting.
  virtual boost::asio::awaitable<Result<UpstreamUpdate>> WatchUpstreams(FeedPosition after) = 0;
  // Reads one of the daemons' own rows. Returns a row of version 0 if it does not exist.
  virtual boost::asio::awaitable<provider::ReadResult> ReadRow(const std::string& key) = 0;
  // Returns kUnknown if the store has returned from an older copy meanwhile, because a condition
  // may then have held in another way than meant.
  virtual boost::asio::awaitable<provider::CommitStatus> Commit(
      const provider::Transaction& transaction) = 0;
  // Commits a transaction on the daemons' own rows together with the status of a roll-out, which
  // has no condition of its own.
  virtual boost::asio::awaitable<provider::CommitStatus> CommitRollout(
      const provider::Transaction& transaction, const RolloutStatus& status) = 0;
  // Returns the latest era in the store's responses, and when the first of them arrived.
  virtual StoreEra era() const = 0;
  // Returns the daemons' own rows whose keys begin with the prefix.
  virtual boost::asio::awaitable<Result<std::map<std::string, provider::Row>>> ReadRows(
      const std::string& prefix) = 0;
  // Returns as soon as one of the daemons' own rows whose keys begin with "crash/" changes after
  // the position, or once the wait has passed. Returns all of them for position zero.
  virtual boost::asio::awaitable<Result<RowUpdate>> WatchCrashRows(FeedPosition after,
                                                                   Duration wait) = 0;
};

// Daemon that performs the duties, and a fencing token that increases with each change of holder.
struct DutyHolder {
  DaemonId daemon;
  std::uint64_t fencing_token = 0;
};

// Requested number of on-demand or reclaimable workers of a service in a failure domain.
struct CapacityOrder {
  ServiceId service;
  FailureDomainId failure_domain;
  int count = 0;
  bool reclaimable = false;

  friend auto operator<=>(const CapacityOrder&, const CapacityOrder&) = default;
};

// Platform calls that only the daemon holding the duties' lease may make.
class DutyApi {
 public:
  virtual ~DutyApi() = default;

  // Both calls return kDenied if the platform rejects the call for now, kUnavailable if the call
  // had no effect, and kUnknownOutcome otherwise.
  virtual boost::asio::awaitable<Result<void>> ReportUsage(
      const DutyHolder& holder, capacity::WindowNumber window,
      const capacity::WindowCounts& counts) = 0;
  virtual boost::asio::awaitable<Result<void>> OrderCapacity(const DutyHolder& holder,
                                                             const CapacityOrder& order) = 0;
};

// Result of copying the KV cache of a request.
struct KvCopyResult {
  // Whether the destination has the copy.
  bool copied = false;
  // Handle of the copy, or of the KV cache that the source keeps after a failed final copy.
  std::string handle;
};

// Control calls to model engines.
class EngineApi {
 public:
  virtual ~EngineApi() = default;

  // Copies the KV cache of a running request to another engine; a repeated call copies only what
  // is new. A final copy first stops the request, whose stream then closes before its last event.
  // Returns kNotFound if the request is not running, kConflict if another copy is in progress, and
  // kUnknownOutcome otherwise; only the first two show that the request was not stopped.
  virtual boost::asio::awaitable<Result<KvCopyResult>> CopyKvCache(const UpstreamRecord& from,
                                                                   const std::string& attempt_id,
                                                                   const UpstreamRecord& to,
                                                                   bool final) = 0;
  // Frees an unused copy at both engines.
  virtual boost::asio::awaitable<Result<void>> FreeKvCacheCopy(const KvCacheCopy& kv_copy) = 0;
};

}  // namespace savoryglade::gateway
