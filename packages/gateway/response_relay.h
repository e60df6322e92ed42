#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "gateway/adapter.h"
#include "gateway/attempt.h"
#include "gateway/call.h"
#include "gateway/crash_detector.h"
#include "gateway/fleet_state.h"
#include "gateway/stream_migrator.h"
#include "gateway/upstream_connection_pool.h"
#include "gateway/upstream_signal_recorder.h"

namespace savoryglade::gateway {

// Relays an upstream's response to the caller. Small responses are buffered, so that the request
// can be retried if the response is incomplete; streams are relayed event by event. Not
// thread-safe.
class ResponseRelay {
 public:
  ResponseRelay(FleetState& fleet, const MessageCodec& codec, UpstreamConnectionPool& connections,
                StreamMigrator& migrator, UpstreamSignalRecorder& signals,
                CrashDetector& crash_detector)
      : fleet_(fleet),
        codec_(codec),
        connections_(connections),
        migrator_(migrator),
        signals_(signals),
        crash_detector_(crash_detector) {}

  // Reads response headers until one belongs to the attempt, and sets the status and the response
  // of the attempt. Returns why the attempt has ended if none arrives.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ReadHeader(Call& call, Attempt& attempt);
  // Reads on until the answer is at hand: the next event of a stream, or a whole body up to the
  // buffer limit. Relay passes on what has been read. Returns why the attempt has ended if there is
  // no answer.
  boost::asio::awaitable<std::optional<AttemptOutcome>> Prefetch(Call& call, Attempt& attempt);
  // Relays the body after a response header. Returns kMoved if a stream has to continue elsewhere.
  boost::asio::awaitable<AttemptOutcome> Relay(Call& call, Attempt& attempt);

  // Returns the time after which an upstream that sends nothing counts as silent.
  Duration SilenceLimit(const Call& call, const Attempt& attempt, TimePoint now) const;
  // Returns why the attempt has ended, given the error of a write to its upstream or a read from
  // it.
  AttemptOutcome OutcomeOfFailure(const Call& call, Attempt& attempt, const Error& error);

 private:
  // Returns why a response can't be relayed as a stream, or nothing.
  static std::optional<AttemptOutcome> CheckStreamHeader(const Call& call, Attempt& attempt);
  // Reads a body until its end or the buffer limit. Returns why the attempt has ended if it breaks.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ReadBuffered(Call& call, Attempt& attempt);
  // Relays a body. One up to the buffer limit is sent to the caller once it is complete; a larger
  // one is sent as it arrives.
  boost::asio::awaitable<AttemptOutcome> RelayBuffered(Call& call, Attempt& attempt);
  // Sends the rest of a body that exceeds the buffer limit as it arrives.
  boost::asio::awaitable<AttemptOutcome> RelayLargeBody(Call& call, Attempt& attempt);
  boost::asio::awaitable<AttemptOutcome> RelayStream(Call& call, Attempt& attempt);
  // Relays events until the upstream's stream completes, breaks or stalls.
  boost::asio::awaitable<AttemptOutcome> RelayEvents(Call& call, Attempt& attempt);
  // Limits later attempts to the version that has written the first event, and records the version
  // of the stream.
  void OnFirstEvent(Call& call, const Attempt& attempt);
  // Appends the next bytes of the body. Returns false at its end, and kTimeout once the deadline
  // has passed, even if bytes still arrive.
  static boost::asio::awaitable<Result<bool>> ReadBody(const Call& call, Attempt& attempt,
                                                       std::string& bytes);
  // Reads over a response to another attempt. Returns why the attempt has ended if it does not end.
  boost::asio::awaitable<std::optional<AttemptOutcome>> DiscardBody(const Call& call,
                                                                    Attempt& attempt);
  // Returns the number of idle connections to keep to each upstream of the call's service.
  std::size_t MaxIdleConnections(const Call& call) const;
  // Returns the connection of a completely answered attempt to the pool.
  void ReleaseConnection(Call& call, Attempt& attempt);
  // Logs a completely answered request and records its latency.
  void RecordResponse(Call& call, const Attempt& attempt);

  FleetState& fleet_;
  const MessageCodec& codec_;
  UpstreamConnectionPool& connections_;
  StreamMigrator& migrator_;
  UpstreamSignalRecorder& signals_;
  CrashDetector& crash_detector_;
};

}  // namespace savoryglade::gateway
