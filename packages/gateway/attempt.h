#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "gateway/adapter.h"
#include "gateway/attempt_outcome.h"
#include "gateway/call.h"
#include "gateway/open_attempts.h"
#include "gateway/stream_migrator.h"
#include "net/http_client.h"
#include "routing/engine_speeds.h"
#include "routing/fleet_load_balancer.h"

namespace savoryglade::gateway {

// Is told of the progress of an attempt.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;

  // The request has been sent.
  virtual void OnSent() = 0;
  // The upstream has sent something.
  virtual void OnBytes() = 0;
  // A part of the answer is about to be passed on to the caller, or has been.
  virtual void OnRelay() = 0;
  virtual void OnRelayed() = 0;
};

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
  // Null for an attempt beside another one.
  AttemptObserver* observer = nullptr;
  // Why the attempt must not send its request any more.
  std::optional<AttemptOutcome> withdrawn;
  // Set once the request has been sent, or a part of it.
  bool sent = false;
  bool first_byte = false;
  // Whether the load balancer knows that the upstream was silent during the attempt.
  bool is_silence_recorded = false;
  // Status of the response; zero until its header has been read.
  unsigned status = 0;
  ResponseMetadata response;
  // Whole response of a call, or its first part if it exceeds the buffer limit.
  std::optional<BufferedResponse> buffered;
  bool is_buffered_whole = false;
  // Bytes of a stream that have been read and not passed on.
  std::string prefetched;
  // Intervals between the events of a stream.
  StreamPace pace;
  // Set while a stream is relayed.
  std::shared_ptr<MigratableStream> stream;
  // Whether the response had a length or chunks, so that its end was not just that of its
  // connection.
  bool has_framed_end = false;
  // Why the attempt has no usable response, for the log.
  std::string failure;

  // Ends the attempt for this reason, also before it has a connection.
  void Withdraw(AttemptOutcome reason) {
    withdrawn = withdrawn.value_or(reason);
    if (registration) {
      registration->Close(reason);
    }
  }
  // Returns a measure of what has been received of the response and is not passed on: the bytes of
  // its body, and one for its header.
  std::size_t ReceivedBytes() const {
    return prefetched.size() + (buffered ? buffered->body.size() : 0) + (first_byte ? 1 : 0);
  }
  // Returns why this daemon has closed the connection, or nothing if it has not.
  std::optional<AttemptOutcome> closed_because() const {
    return registration ? registration->closed_because() : std::nullopt;
  }
};

// Returns true for statuses that callers interpret as a statement that the request was not run. A
// worker's response with such a status must not reach the caller unless the worker states not_run.
constexpr bool ImpliesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace savoryglade::gateway
