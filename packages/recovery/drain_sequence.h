#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "config/route_table.h"
#include "core/time.h"

namespace savoryglade {

struct DrainOptions {
  // Time from the stop order until the process is killed.
  Duration grace_period = 8s;
  // Time until the load balancer has noticed the stop and sends no new connections.
  Duration load_balancer_delay = 3s;
  // Time by which the daemon may notice the stop order late.
  Duration notice_delay = 50ms;
  // Fraction of the grace period after which requests in flight are interrupted.
  double in_flight_grace_fraction = 0.92;
  // Fraction of the grace period during which requests are accepted: all of them until the load
  // balancer has noticed the stop, then calls that end in time.
  double accepting_grace_fraction = 0.5;
  // Fraction of the grace period after which the process exits, even if connections are open.
  double exit_grace_fraction = 0.97;
};

// Stage of a planned stop. Stages only advance.
enum class DrainStage : std::uint8_t {
  kServing,
  // The daemon is not ready for new connections, but accepts requests that complete in time.
  kDraining,
  // All requests are refused, and connections end as soon as they are idle.
  kClosing,
  // The process may exit.
  kFinished,
};

// Work that a daemon has in progress, and that its exit would cut off.
struct OpenWork {
  // Requests of callers of which some bytes have arrived, but not all.
  std::size_t reading = 0;
  // Requests of callers that are being answered.
  int requests = 0;
  // Connections to upstreams that the daemon relays for peers.
  int tunnels = 0;
  // Documents on their way to peers.
  std::size_t transfers = 0;
  // Connections of callers that wait only until the caller has acknowledged its last answer.
  std::size_t undelivered = 0;
  // All connections of callers, with or without a request.
  std::size_t connections = 0;

  // Returns true if the end of the grace period interrupts some of this work at an upstream.
  bool HasUpstreamWork() const { return requests > 0 || tunnels > 0; }
  friend bool operator==(const OpenWork&, const OpenWork&) = default;
};

// Decides which requests a daemon accepts during a planned stop, and when its process may exit.
// Requests keep arriving on open connections until these are closed, so the process exits only
// after a stage in which all requests are refused and no work is left. A request that may not
// complete in time is refused rather than interrupted, because its caller can safely repeat it at
// another daemon. Not thread-safe, except for Begin.
class DrainSequence {
 public:
  explicit DrainSequence(DrainOptions options) : options_(options) {}

  void SetOptions(DrainOptions options) { options_ = options; }

  // Starts the stop that was ordered at this time. Returns false if it has started before. Safe to
  // use from all threads, so that the order applies before the event loop gets to it.
  bool Begin(TimePoint ordered_at);
  // Moves on to the stage that the open work and the time allow, and returns it.
  DrainStage Advance(const OpenWork& work, TimePoint now);

  DrainStage stage() const {
    return stage_ == DrainStage::kServing && has_begun() ? DrainStage::kDraining : stage_;
  }
  bool has_begun() const { return ordered_at_.load() != kNotOrdered; }
  // True once the time of the requests in flight is over: each then ends at once, with a response
  // that states whether it may have run.
  bool interrupted() const { return interrupted_; }
  // Returns the time since the stop order.
  Duration Elapsed(TimePoint now) const { return now - ordered_at_.load(); }
  // Returns true if it is later than a daemon may notice the order.
  bool IsLate(TimePoint now) const { return Elapsed(now) > options_.notice_delay; }

  // Returns true if a request with this timeout is accepted.
  bool Accepts(CallKind kind, Duration timeout, TimePoint now) const;

 private:
  static constexpr TimePoint kNotOrdered = TimePoint::max();

  // Returns the time until new connections are no longer expected, or may no longer be served.
  Duration NoticeTime() const {
    return std::min(options_.load_balancer_delay, GraceFraction(options_.accepting_grace_fraction));
  }
  Duration GraceFraction(double fraction) const {
    return FromSeconds(ToSeconds(options_.grace_period) * fraction);
  }

  DrainOptions options_;
  DrainStage stage_ = DrainStage::kServing;
  std::atomic<TimePoint> ordered_at_{kNotOrdered};
  bool interrupted_ = false;
};

}  // namespace savoryglade
