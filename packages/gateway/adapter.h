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
#include "net/http_client.h"
#include "net/http_server.h"
#include "provider/table.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// What a caller states of its request in headers.
struct RequestMetadata {
  // Identity of this sending; upstreams repeat it in their answers.
  std::string attempt_id;
  // Time that the caller waits for the answer, from when it sent the request.
  std::optional<Duration> caller_timeout;
  std::string api_key;
  // Prompt and output tokens together, if stated.
  std::optional<double> declared_tokens;
  // The service is left empty.
  WorkEstimate work;
  // Last event of an earlier answer that the caller has received.
  std::string last_event_id;
};

// Memory of a run at an engine that has stopped it.
struct KvCacheCopy {
  // Address of the engine that ran the request, and its name for the copy.
  std::string source;
  std::string handle;

  friend auto operator<=>(const KvCacheCopy&, const KvCacheCopy&) = default;
};

// What the gateway adds to a request for an upstream.
struct ForwardMetadata {
  UpstreamId upstream;
  AccountId account;
  // Time that is left for the answer.
  Duration remaining = Duration::zero();
  // 0 is the most urgent, 9 the least.
  int engine_priority = 5;
  // Last event that the caller has received; the upstream goes on behind it.
  std::string last_event_id;
  // The run with which the upstream goes on.
  std::optional<KvCacheCopy> kv_copy;
};

// Whose answer a header begins, by the identity in it.
enum class ResponseOwner : std::uint8_t { kThisAttempt, kOtherAttempt, kUnstated };

// What the header of an answer says besides its status.
struct ResponseMetadata {
  ResponseOwner owner = ResponseOwner::kUnstated;
  // Whether the upstream states that it has not run the request and will not.
  bool not_run = false;
  // Whether it has the mark of a worker's answer.
  bool has_seal = false;
  // Whether the body was changed on the way, so that it is not the worker's.
  bool content_encoded = false;
  struct Load {
    int running = 0;
    int waiting = 0;
    // 1 as usual.
    double slowness = 1;
  };
  std::optional<Load> load;
  // Time for which the upstream keeps an idle connection.
  std::optional<Duration> idle_timeout;
};

// Translates the headers of requests and answers.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  // The error says which header can't be read.
  virtual Result<RequestMetadata> DecodeRequest(const HttpRequest& request) const = 0;
  // Makes the request for an upstream; the body is copied.
  virtual HttpRequest EncodeUpstreamRequest(const HttpRequest& request,
                                            const ForwardMetadata& metadata) const = 0;
  virtual ResponseMetadata DecodeResponse(const std::string& attempt_id, unsigned status,
                                          const boost::beast::http::fields& header) const = 0;
  // Headers of an upstream's answer that the caller gets.
  virtual HttpHeaders CallerResponseHeaders(const boost::beast::http::fields& header) const = 0;
  // Headers of an answer of the gateway itself.
  virtual HttpHeaders GatewayResponseHeaders(const std::string& attempt_id) const = 0;
};

// Position in the history of a followed table. Zero asks for the whole state.
using FeedPosition = std::uint64_t;

// New routes, if there are any, and where to go on.
struct RouteUpdate {
  std::optional<RouteDocument> document;
  FeedPosition position = 0;
};

struct UpstreamUpdate {
  std::vector<RegistrationChange> changes;
  // Whether the changes are all upstreams that there are.
  bool is_snapshot = false;
  FeedPosition position = 0;
};

// The operators' routes, the upstreams' registrations and the daemons' own rows. All calls have
// time-outs of their own. The error kConflict of a Follow says that the history behind the position
// is gone; the caller starts again at zero.
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  // Returns as soon as there are new routes, or after the wait.
  virtual boost::asio::awaitable<Result<RouteUpdate>> WatchRoutes(FeedPosition after,
                                                                  Duration wait) = 0;
  virtual boost::asio::awaitable<Result<UpstreamUpdate>> WatchUpstreams(FeedPosition after) = 0;
  // Reads one of the daemons' own rows; a row of version 0 if there is none.
  virtual boost::asio::awaitable<provider::ReadResult> ReadRow(const std::string& key) = 0;
  virtual boost::asio::awaitable<provider::CommitStatus> Commit(
      const provider::Transaction& transaction) = 0;
  // Returns the daemons' own rows whose keys begin with the prefix.
  virtual boost::asio::awaitable<Result<std::map<std::string, provider::Row>>> ReadRows(
      const std::string& prefix) = 0;
};

// Who carries out a duty, and the number that rises with each change of the holder.
struct DutyHolder {
  DaemonId daemon;
  std::uint64_t fencing_token = 0;
};

// Order for the number of workers of one kind in a failure domain.
struct CapacityOrder {
  ServiceId service;
  FailureDomainId failure_domain;
  int count = 0;
  bool reclaimable = false;

  friend auto operator<=>(const CapacityOrder&, const CapacityOrder&) = default;
};

// Calls of which one daemon at a time has the duty.
class DutyApi {
 public:
  virtual ~DutyApi() = default;

  // The error code is kDenied if the platform refuses for now, kUnavailable if nothing was done,
  // and kUnknownOutcome otherwise.
  virtual boost::asio::awaitable<Result<void>> ReportUsage(
      const DutyHolder& holder, capacity::WindowNumber window,
      const capacity::WindowCounts& counts) = 0;
  virtual boost::asio::awaitable<Result<void>> OrderCapacity(const DutyHolder& holder,
                                                             const CapacityOrder& order) = 0;
};

// Outcome of a copy of a run.
struct KvCopyResult {
  // Whether the destination has the copy.
  bool copied = false;
  // Name of the copy, or of the memory that the source keeps after a final copy that failed.
  std::string handle;
};

// Calls of model engines besides requests.
class EngineApi {
 public:
  virtual ~EngineApi() = default;

  // Copies the memory of a request that runs to another engine; a repeated call copies what is new.
  // A final one stops the run first, and its stream closes without its end. The error code is
  // kNotFound if nothing such runs, kUnknownOutcome if the answer is missing, and kUnavailable
  // otherwise.
  virtual boost::asio::awaitable<Result<KvCopyResult>> CopyKvCache(const UpstreamRecord& from,
                                                                   const std::string& attempt_id,
                                                                   const UpstreamRecord& to,
                                                                   bool final) = 0;
  // Frees a copy that is not used, at both engines.
  virtual boost::asio::awaitable<Result<void>> FreeKvCacheCopy(const KvCacheCopy& kv_copy) = 0;
};

}  // namespace savoryglade::gateway
