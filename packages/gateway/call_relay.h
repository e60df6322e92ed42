#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "core/verdict.h"
#include "gateway/adapter.h"
#include "gateway/admission_gate.h"
#include "gateway/attempt.h"
#include "gateway/attempt_runner.h"
#include "gateway/backup_attempt.h"
#include "gateway/call.h"
#include "gateway/crash_detector.h"
#include "gateway/fleet_state.h"
#include "gateway/open_attempts.h"
#include "gateway/response_relay.h"
#include "gateway/stream_migrator.h"
#include "gateway/upstream_connection_pool.h"
#include "gateway/upstream_connector.h"
#include "gateway/upstream_signal_recorder.h"
#include "net/http_server.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Counts requests whose callers' connections ended without a whole answer, by cause: rejected (the
// answer can't go on), write_failed (the caller did not take it), exit (of the process).
inline constexpr const char* kCutOffMetric = "savoryglade_gateway_cut_off_requests_total";

// Forwards a caller's request to upstreams, one after another if attempts fail. The objects in
// FleetState decide on admission, upstream selection and retries. Not thread-safe.
class CallRelay {
 public:
  // The callback is called when the crash registry has changed.
  CallRelay(boost::asio::io_context& context, FleetState& fleet, const MessageCodec& codec,
            UpstreamConnector& connector, UpstreamConnectionPool& connections,
            StreamMigrator& migrator, OpenAttempts& open_attempts, UpstreamSignalRecorder& signals,
            std::function<void()> on_crash_record)
      : context_(context),
        fleet_(fleet),
        codec_(codec),
        admission_(fleet),
        crash_detector_(fleet, std::move(on_crash_record)),
        response_relay_(fleet, codec, connections, migrator, signals, crash_detector_),
        attempts_(fleet, codec, connector, open_attempts, signals, crash_detector_,
                  response_relay_) {}

  // Handles one request and sends its response.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  // Refuses a request whose body has not been read, if its head alone shows that it can't be
  // served. Returns true if a response has been sent.
  boost::asio::awaitable<bool> RefuseByHead(HttpExchange& exchange);
  // Logs the calls in progress, which end with the process.
  void LogUnfinished();

 private:
  // Registers a call for as long as this object lives.
  class Registration {
   public:
    Registration(const CallRelay& relay, Call& call);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    std::shared_ptr<std::set<Call*>> calls_;
    Call& call_;
  };

  // Decodes the head of a request and matches its route and account. On failure, sets the verdict
  // with which to reject the request.
  Result<void> MatchRequest(Call& call, Verdict& verdict);
  // Matches the request and charges the account's allowance. On
  // failure, sets the verdict with which to reject the request.
  Result<void> AdmitRequest(Call& call, Verdict& verdict);
  // Limits a call that resumes a stream to the version that began it. Returns the reason with which
  // to reject the call, or kNone.
  Reason BindToStreamVersion(Call& call, TimePoint now);
  // Makes attempts until the caller has a response or the request must be rejected.
  boost::asio::awaitable<void> SendUntilAnswered(Call& call);
  // Makes one attempt, and others beside it while it is silent. Returns why the last one has ended.
  // Returns the retry that was consumed for the first one if that is not sent.
  boost::asio::awaitable<AttemptOutcome> TryUpstream(Call& call, const Placement& placement,
                                                     std::optional<TimePoint> retry_consumed_at);
  // Returns the upstream of the next attempt, or nothing if the request must be rejected.
  std::optional<Placement> SelectUpstream(Call& call, TimePoint now);
  // Returns an upstream of a version that is being rolled out, or nothing if the request does not
  // go to that version.
  std::optional<Placement> SelectRolledOutVersion(const Call& call, TimePoint now);
  // Returns true if the admission queue decides when the call is sent, given whether an upstream
  // accepts it now.
  bool NeedsAdmission(const Call& call, bool has_placement, TimePoint now) const;
  // Returns the retry that is consumed for the return of a moved stream to its source.
  void ReleaseReturn(Call& call);
  // Returns true if the caller has events behind which another upstream can go on.
  static bool CanGoOn(const Call& call);
  static int MaxSends(const Call& call);
  // Returns what a second attempt is needed for after this end of the first one.
  static BackupAttempt::Need NeedOfSecond(AttemptOutcome first);
  // Returns true if a stream that has begun waits for an upstream that goes on with it.
  static bool MayAwaitUpstream(const Call& call, TimePoint now);
  // Returns true if the request may be sent again after an upstream may have run it.
  bool CanRetry(const Call& call) const;
  // Logs the end of a call, unless that has been logged, and closes the caller's connection if it
  // has no whole answer.
  void RecordEnd(Call& call);
  // Logs and counts a request whose caller's connection ends without a whole answer.
  void LogCutOff(const Call& call, const Verdict& verdict, std::string_view cause) const;
  // Logs and counts that the caller closed its connection before its answer.
  void RecordCallerLeft(const Call& call);
  // Logs and counts the rejection and sends the response, or aborts a stream that has started.
  boost::asio::awaitable<void> Reject(Call& call, Verdict verdict);
  Verdict NoUpstreamVerdict(const Call& call, TimePoint now) const;

  boost::asio::io_context& context_;
  FleetState& fleet_;
  const MessageCodec& codec_;
  // Calls in progress. Shared, because they are destroyed after the gateway's members when it
  // stops.
  std::shared_ptr<std::set<Call*>> calls_ = std::make_shared<std::set<Call*>>();
  AdmissionGate admission_;
  CrashDetector crash_detector_;
  ResponseRelay response_relay_;
  AttemptRunner attempts_;
};

}  // namespace savoryglade::gateway
