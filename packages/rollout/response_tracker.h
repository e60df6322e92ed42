#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "rollout/rollout_directory.h"

namespace savoryglade::rollout {

// Estimates the response time that four of five responses of a route stay below, by stochastic
// approximation of its logarithm.
class ResponseTimeEstimate {
 public:
  void Add(Duration time);
  // Returns the time from which a response is slow, or nothing before a few responses.
  std::optional<Duration> SlowLimit() const;

 private:
  double log_seconds_ = 0;
  int samples_ = 0;
};

// Request that was sent to an upstream.
struct TrackedRequest {
  ServiceId service;
  std::uint64_t route = 0;
  std::uint64_t version = 0;
  UpstreamId upstream;

  friend auto operator<=>(const TrackedRequest&, const TrackedRequest&) = default;
};

// What the end of a request shows of its version.
enum class TrackedEnd : std::uint8_t {
  // Nothing: it was withdrawn, rejected, or its caller left.
  kNone,
  kAnswered,
  kFailed,
  // The connection broke. Counts as a failure unless the upstream is found to be lost.
  kBrokenOff,
};

// Judges the responses of upstreams by their times and ends, and counts them in the directory. A
// response is slow if it takes several times as long as most others of its route at this daemon,
// and counts as soon as it is overdue. Losses of upstreams, which have other causes, count against
// no version. Not thread-safe.
class ResponseTracker {
 public:
  // Identifies a request while it is in progress.
  using Key = const void*;

  explicit ResponseTracker(RolloutDirectory& directory) : directory_(directory) {}

  void OnSent(Key key, const TrackedRequest& request, TimePoint now);
  // Records the first event of a stream.
  void OnFirstEvent(Key key, TimePoint now);
  void OnEnd(Key key, TrackedEnd end, TimePoint now);
  // Records that an upstream leaves, is gone, or can't be reached.
  void OnUpstreamLost(const UpstreamId& upstream, TimePoint now);
  // Counts overdue responses, and broken connections whose upstreams are still there.
  void Tick(TimePoint now);

 private:
  struct Open {
    TrackedRequest request;
    TimePoint sent_at{};
    bool is_judged = false;
    // Whether it has been counted as overdue.
    bool is_overdue = false;
  };

  std::optional<Duration> SlowLimitOf(const TrackedRequest& request) const;
  void JudgeTime(Open& open, TimePoint now);
  void Count(const TrackedRequest& request, ResponseQuality quality) {
    directory_.OnResponse(request.service, request.route, request.version, quality);
  }
  bool IsLost(const UpstreamId& upstream, TimePoint since) const;

  RolloutDirectory& directory_;
  std::map<Key, Open> open_;
  // Response times by service and route, and of all routes of a service.
  std::map<std::pair<ServiceId, std::uint64_t>, ResponseTimeEstimate> times_;
  std::map<ServiceId, ResponseTimeEstimate> service_times_;
  std::vector<std::pair<TimePoint, TrackedRequest>> broken_off_;
  std::map<UpstreamId, TimePoint> lost_at_;
};

}  // namespace savoryglade::rollout
