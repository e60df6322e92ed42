#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "routing/upstream_rate_limits.h"

namespace savoryglade {

// What an upstream says of itself in the header of an answer.
struct UpstreamSignal {
  struct Load {
    int running = 0;
    int waiting = 0;
    // Service time relative to normal; 1 is normal.
    double slowness = 1;

    friend auto operator<=>(const Load&, const Load&) = default;
  };

  // True if the upstream is about to end and wants no further requests of any daemon.
  bool leaving = false;
  // Time for which the upstream wants no requests of the daemon that got this rejection.
  std::optional<Duration> wait;
  // Requests per second that the upstream takes from all daemons together, if it names a limit.
  std::optional<double> rate_limit;
  // Requests that the upstream can reject in a second for lack of room, summed over all daemons,
  // before it crashes, if it names such a number.
  std::optional<double> rejection_limit;
  // False if a missing limit does not show that the upstream names none.
  bool is_complete = true;
  // True if the answer rejects the request without having run it.
  bool rejects = false;
  std::optional<Load> load;

  friend auto operator<=>(const UpstreamSignal&, const UpstreamSignal&) = default;
};

// What has become known through one signal, for the log.
struct UpstreamSignalChanges {
  bool leaving = false;
  bool wait = false;
  bool rate_limit = false;
  bool rejection_limit = false;
  // True for a rejection by a brittle upstream that peers should know of at once.
  bool rejection = false;

  friend auto operator<=>(const UpstreamSignalChanges&, const UpstreamSignalChanges&) = default;
};

// Notice of an upstream that leaves, as daemons report it to each other.
struct ReportedNotice {
  // Key of the upstream's process; see FleetLoadBalancer::ProcessKeyOf.
  std::uint64_t upstream = 0;
  // Time since the first answer that showed it.
  Duration age = Duration::zero();

  friend auto operator<=>(const ReportedNotice&, const ReportedNotice&) = default;
};

// Keeps what upstreams say of themselves in their answers, by the key of the process that said it,
// and decides whether an upstream may be sent a request because of it. An answer is newer than any
// registration and reaches the daemon without the store. A process that leaves does not change its
// mind; a new process under the same id is not bound by what the old one said. Not thread-safe.
class UpstreamSignals {
 public:
  // Longest wait that is kept; longer ones are shortened to it.
  static constexpr Duration kMaxWait = 24h;
  // Time without an answer to the first request after a wait until another one is sent.
  static constexpr Duration kProbeTimeout = 1s;
  // Time for which a brittle upstream gets no requests of a daemon that it has rejected.
  static constexpr Duration kBrittlePause = 500ms;
  // Time for which a rejection by a brittle upstream is reported to peers.
  static constexpr Duration kRejectionLifetime = 1s;
  // Time for which a notice is remembered. An upstream ends much sooner.
  static constexpr Duration kNoticeLifetime = 3600s;

  // Records an answer of this process to a request that was sent at `sent_at`.
  UpstreamSignalChanges OnAnswer(std::uint64_t upstream, const UpstreamSignal& signal,
                                 TimePoint sent_at, TimePoint now);
  // Merges a notice that a peer reports. Returns true if it was not known.
  bool OnReport(const ReportedNotice& reported, TimePoint now);
  // Returns the notices that are known.
  std::vector<ReportedNotice> Notices(TimePoint now) const;

  // Returns true if some process has named a number of rejections after which it crashes.
  bool has_brittle() const { return !rejection_limits_.empty(); }
  // Returns true if this process has.
  bool IsBrittle(std::uint64_t upstream) const { return rejection_limits_.contains(upstream); }
  // Returns the last time at which the process has rejected a request of some daemon, if it is
  // brittle and this daemon knows of one.
  std::optional<TimePoint> LastRejection(std::uint64_t upstream) const;
  // Merges a rejection by a brittle process that a peer reports.
  void OnReportedRejection(const ReportedNotice& reported, TimePoint now);
  // Returns the recent rejections by brittle processes, for a report to peers.
  std::vector<ReportedNotice> SelectRejectionsForReport(TimePoint now) const;
  // Returns true if the process has said that it leaves.
  bool IsLeaving(std::uint64_t upstream) const { return notices_.contains(upstream); }
  // Returns the end of the time in which the process wants no requests, if it has not passed.
  std::optional<TimePoint> WaitEnd(std::uint64_t upstream, TimePoint now) const;
  // Returns true if the process of this failure domain may be sent a request now. After a wait,
  // only one request is sent until it is answered, so that those that waited do not all arrive at
  // the same time.
  bool MaySend(std::uint64_t upstream, const FailureDomainId& domain, TimePoint now) const;
  // Records that this daemon sends a request to the process.
  void OnSent(std::uint64_t upstream, TimePoint now);

  UpstreamRateLimits& rate_limits() { return rate_limits_; }
  const UpstreamRateLimits& rate_limits() const { return rate_limits_; }

 private:
  struct Wait {
    TimePoint end{};
    // When the first request after the end was sent.
    std::optional<TimePoint> probe_sent_at;
  };

  struct RejectionLimit {
    double per_s = 0;
    TimePoint seen_at{};
  };

  bool IsWaiting(std::uint64_t upstream, TimePoint now) const;
  bool OnWait(std::uint64_t upstream, Duration wait, TimePoint now);
  bool OnRejectionLimit(std::uint64_t upstream, const UpstreamSignal& signal, TimePoint sent_at,
                        TimePoint now);
  bool OnNotice(std::uint64_t upstream, TimePoint learned_at, TimePoint now);

  // Times at which the notices were learned.
  std::unordered_map<std::uint64_t, TimePoint> notices_;
  // Entries are removed by the first answer after the wait that does not reject the request.
  std::unordered_map<std::uint64_t, Wait> waits_;
  UpstreamRateLimits rate_limits_;
  std::unordered_map<std::uint64_t, RejectionLimit> rejection_limits_;
  // Times of the last rejections by brittle processes that this daemon knows of.
  std::unordered_map<std::uint64_t, TimePoint> rejected_at_;
};

}  // namespace savoryglade
