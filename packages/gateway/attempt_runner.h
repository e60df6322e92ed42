#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "gateway/adapter.h"
#include "gateway/attempt.h"
#include "gateway/call.h"
#include "gateway/crash_detector.h"
#include "gateway/fleet_state.h"
#include "gateway/open_attempts.h"
#include "gateway/response_relay.h"
#include "gateway/upstream_connector.h"
#include "gateway/upstream_signal_recorder.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Runs an attempt up to the header of its response, and records its end. Each attempt that begins
// must end. Not thread-safe.
class AttemptRunner {
 public:
  AttemptRunner(FleetState& fleet, const MessageCodec& codec, UpstreamConnector& connector,
                OpenAttempts& open_attempts, UpstreamSignalRecorder& signals,
                CrashDetector& crash_detector, ResponseRelay& response_relay)
      : fleet_(fleet),
        codec_(codec),
        connector_(connector),
        open_attempts_(open_attempts),
        signals_(signals),
        crash_detector_(crash_detector),
        response_relay_(response_relay) {}

  // Begins an attempt of the call at an upstream. A move continues a stopped stream there.
  std::shared_ptr<Attempt> Begin(Call& call, const Placement& placement, bool is_move);
  // Connects, sends the request and reads the header of the response. Returns why the attempt has
  // ended, or nothing if the response can be relayed.
  boost::asio::awaitable<std::optional<AttemptOutcome>> Send(Call& call, Attempt& attempt);
  // Returns why an attempt has ended, given what was seen on its connection. A reset of the path to
  // the upstream looks like the end of its process there, so another connection is opened to tell
  // the two apart.
  boost::asio::awaitable<AttemptOutcome> CauseOfEnd(const Call& call, const Attempt& attempt,
                                                    AttemptOutcome seen);
  // Closes the attempt's connection, and records its end for the load balancer, the crash records,
  // the retries of the call and the log.
  void End(Call& call, Attempt& attempt, AttemptOutcome result);

 private:
  // Returns why the request must not be sent over the attempt's connection, or nothing.
  std::optional<AttemptOutcome> ReasonNotToSend(Call& call, Attempt& attempt);
  void RecordFirstByte(Call& call, Attempt& attempt);
  // Counts the request in the usage window of its account, if usage is reported.
  void RecordUsage(Call& call, TimePoint now);
  // Counts a request that is about to be sent, and its response, for roll-outs.
  void TrackResponse(const Call& call, const Attempt& attempt, TimePoint now);
  void EndTracking(const Attempt& attempt, AttemptOutcome result, TimePoint now);
  // Takes back what was counted for a request that its upstream has rejected.
  void RecordRejection(Call& call);
  // Records for the retries of the call that an upstream may have run it.
  static void RecordPossibleRun(Call& call, AttemptOutcome result);

  FleetState& fleet_;
  const MessageCodec& codec_;
  UpstreamConnector& connector_;
  OpenAttempts& open_attempts_;
  UpstreamSignalRecorder& signals_;
  CrashDetector& crash_detector_;
  ResponseRelay& response_relay_;
};

}  // namespace savoryglade::gateway
