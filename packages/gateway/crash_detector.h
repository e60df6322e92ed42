#pragma once

#include <functional>
#include <map>
#include <utility>

#include "core/time.h"
#include "gateway/attempt.h"
#include "gateway/call.h"
#include "gateway/fleet_state.h"
#include "recovery/abandoned_runs.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Counts changes of the crash registry, by event: recorded (seen here), received
// (from a peer), read (from the store), stored, cleared.
inline constexpr const char* kCrashRecordsMetric = "savoryglade_gateway_crash_records_total";

// Records in the fleet's crash registries which requests, and which parts of prompts, lose the
// upstreams that run them, and logs each change. Not thread-safe.
class CrashDetector {
 public:
  // The callback is called after each change of the registry.
  CrashDetector(FleetState& fleet, std::function<void()> on_change)
      : fleet_(fleet), on_change_(std::move(on_change)) {}

  // Sets the call's fingerprint and the hashes of the shared parts of its prompt.
  static void Identify(Call& call);
  // Returns the time for which the request is refused because it, or a part of its prompt, has
  // crashed too many upstreams, or zero if it is not refused. Sets the detail of a refusal for the
  // log.
  Duration RemainingRefusal(Call& call, TimePoint now) const;
  // Records that the request is sent to an upstream.
  void OnSent(const Call& call, TimePoint now);
  // Records what the end of an attempt whose request was sent shows of crashes.
  void OnAttemptEnded(const Call& call, const Attempt& attempt, AttemptOutcome result,
                      TimePoint now);
  // Records that the process of an upstream has ended, because it refuses or breaks connections.
  void OnUpstreamEnded(const UpstreamRecord& upstream, TimePoint now);
  // Records that an upstream has answered the request with this status.
  void OnAnswer(const Call& call, const Attempt& attempt, unsigned status, TimePoint now);
  // Returns true if the prompt has a part that may have crashed more than one upstream, so that the
  // request should not be sent to another one.
  bool IsSuspected(const Call& call) const;

 private:
  // Handles an attempt that ended while the upstream may be running the request. The request counts
  // as lost if the upstream ends soon.
  void OnRunLeft(const Call& call, const Attempt& attempt, AttemptOutcome result, TimePoint now);
  void RecordLosses(const RequestRun& run, const UpstreamRecord& upstream, TimePoint now);
  // Records the loss for each shared part of the prompt, unless the whole service fails.
  void RecordPartLosses(const RequestRun& run, const UpstreamRecord& upstream, TimePoint now);

  FleetState& fleet_;
  std::function<void()> on_change_;
  AbandonedRuns abandoned_runs_;
  // Time of the last complete answer of each service.
  std::map<ServiceId, TimePoint> last_answers_;
};

}  // namespace savoryglade::gateway
