#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace savoryglade {

// Phases of a planned stop, in their only order. A daemon that is draining refuses new requests and
// waits for those in flight. One that is closing has closed its listeners and waits until no
// connection is open and the ends of all claims are written.
enum class StopPhase : std::uint8_t { kServing, kDraining, kClosing, kGone };

// Limits of the closing phase. Both count from its start.
struct StopLimits {
  // Maximum time until all connections have ended. Longer than the time to read a request and to
  // write its refusal, with the default limits of a listener.
  Duration connections = 45s;
  // Maximum time until the ends of all claims are written: two repeats of a lost write.
  Duration claims = 5s;
};

// What a daemon still has to end.
struct StopWork {
  std::size_t requests_in_flight = 0;
  std::size_t open_connections = 0;
  // Claims that are held or whose end is not written yet.
  std::size_t unwritten_claims = 0;
};

// Decides what a daemon still admits and when it may end. Both follow from one phase, so no request
// is admitted once the end is decided.
class StopSequence {
 public:
  explicit StopSequence(StopLimits limits) : limits_(limits) {}

  // Safe to use from all threads.
  StopPhase phase() const { return phase_.load(); }
  bool AdmitsRequests() const { return phase() == StopPhase::kServing; }

  // Begins to drain. Returns false if the stop has begun already. Safe to use from all threads.
  bool Begin();

  // Enters the next phase if the remaining work allows it, and returns the phase. A caller that is
  // told to close must close its listeners before the next call. Called by one thread.
  StopPhase Advance(const StopWork& work, TimePoint now);

 private:
  StopLimits limits_;
  std::atomic<StopPhase> phase_{StopPhase::kServing};
  TimePoint closing_since_;
};

}  // namespace savoryglade
