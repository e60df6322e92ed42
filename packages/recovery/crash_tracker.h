#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "recovery/sha256_digest.h"

namespace savoryglade {

struct CrashTrackerOptions {
  // Time after which a mark expires. A mark states that a request body was running on an upstream
  // when the upstream failed.
  Duration mark_lifetime = 600s;
  // Failures of one upstream that are reported within this time count as one.
  Duration same_failure_window = 5s;
  // A departure notice accounts for failures of its upstream for this long after the notice.
  Duration notice_lifetime = 60s;
  // Maximum delay of the VM list. The loss of a VM accounts for failures of its upstream up to this
  // long before the VM list shows it, and a request is not refused until a failure is older than
  // this.
  Duration vm_list_lag = 10s;
  // Delay from the reservation of an upstream to the start of the isolated run, so that other
  // daemons can move their requests away.
  Duration isolation_start_delay = 1s;
  // A reservation that is not renewed ends after this time.
  Duration isolation_lifetime = 30s;
  std::size_t max_digests = 4096;
  // Maximum fraction of the upstreams that may be reserved at the same time. One is always allowed.
  double max_isolated_fraction = 0.1;
};

// Known cause of an upstream failure at the time it is reported.
enum class FailureCause : std::uint8_t { kUnknown, kReclaimed, kVmGone, kPlannedStop };

// Mark of a request body that was running on an upstream when the upstream failed. Daemons exchange
// marks by gossip. The mark holds an age instead of a time point, because the clocks of daemons
// differ. A mark with `withdrawn` set revokes an earlier one.
struct CrashMark {
  Sha256Digest digest{};
  UpstreamId upstream;
  Duration age = Duration::zero();
  bool withdrawn = false;

  friend auto operator<=>(const CrashMark&, const CrashMark&) = default;
};

// Gossip message which states that an upstream is reserved for one suspect request of a daemon.
// `reserved` is false when the reservation ends.
struct IsolationNotice {
  UpstreamId upstream;
  DaemonId daemon;
  bool reserved = true;

  friend auto operator<=>(const IsolationNotice&, const IsolationNotice&) = default;
};

// kWait: the caller calls Decide again later, because a failure that would make the body refused
// may still turn out to have a known cause.
enum class CrashDecision : std::uint8_t { kRun, kRunIsolated, kWait, kRefuse };

// Upstream reserved for an isolated run, and the earliest start of the run. Other requests on the
// upstream must be moved away.
struct Isolation {
  UpstreamId upstream;
  TimePoint start;

  friend auto operator<=>(const Isolation&, const Isolation&) = default;
};

// Upstream that could be reserved for an isolated run, with the number of requests that this daemon
// runs on it.
struct IsolationCandidate {
  UpstreamId upstream;
  std::size_t running = 0;
};

// Detects request bodies that crash upstreams. When an upstream fails, all bodies that were running
// there are marked. A body with one mark is run in isolation; a body with two marks is refused. The
// mark of a harmless body is removed when the body completes, when the failure turns out to have a
// known cause, or when the mark expires. Not thread-safe: the daemon calls it under its own lock.
class CrashTracker {
 public:
  explicit CrashTracker(CrashTrackerOptions options) : options_(options) {}

  // Records the failure of an upstream with the bodies that this daemon was running there. Returns
  // the marks to gossip.
  std::vector<CrashMark> OnUpstreamFailed(const UpstreamId& upstream,
                                          const std::vector<Sha256Digest>& running,
                                          FailureCause cause, TimePoint now);

  // Records a mark of a request body, or the withdrawal of a mark, from another daemon.
  void OnMark(const CrashMark& mark, TimePoint now);

  // Records that an upstream is about to leave, by reclaim or planned stop. Its failures from now
  // on mark no bodies. Returns the withdrawals to gossip.
  std::vector<CrashMark> OnNotice(const UpstreamId& upstream, TimePoint now);

  // Records that the VM of an upstream is gone. Failures of the upstream shortly before now mark no
  // bodies. Returns the withdrawals to gossip.
  std::vector<CrashMark> OnVmGone(const UpstreamId& upstream, TimePoint now);

  // Records that a body ran to completion, and removes its mark unless the body has been marked
  // twice. Returns the withdrawals to gossip.
  std::vector<CrashMark> OnCompleted(const Sha256Digest& digest, TimePoint now);

  // Returns whether and how to run a request body, depending on its marks.
  CrashDecision Decide(const Sha256Digest& digest, TimePoint now) const;

  // Reserves an upstream for a suspect request: the unreserved candidate with the fewest running
  // requests. Returns nothing while the maximum number of upstreams is reserved; the request then
  // waits.
  std::optional<Isolation> Isolate(const DaemonId& self, std::size_t upstreams,
                                   const std::vector<IsolationCandidate>& candidates,
                                   TimePoint now);

  // End or renew a reservation of this daemon.
  void EndIsolation(const UpstreamId& upstream) { isolated_.erase(upstream); }
  void RenewIsolation(const UpstreamId& upstream, TimePoint now);

  // Handles a reservation by another daemon. If two daemons reserve an upstream at the same time,
  // the daemon with the lower name keeps it. Returns true if this daemon has lost its own
  // reservation and must choose another upstream.
  bool OnIsolation(const IsolationNotice& notice, const DaemonId& self, TimePoint now);

  // Returns true if the upstream is reserved and must not get other requests.
  bool IsIsolated(const UpstreamId& upstream, TimePoint now) const;

  // Returns the verdict of a refused request. It is kNotRun only if no attempt to run this
  // submission of the request was dispatched to an upstream.
  static Verdict RefusalVerdict(bool dispatched) {
    return {dispatched ? RunState::kMayHaveRun : RunState::kNotRun,
            Reason::kRequestCrashesUpstreams, Duration::zero()};
  }

  std::size_t size() const { return marks_.size(); }

 private:
  struct Reservation {
    DaemonId daemon;
    TimePoint until;
  };

  // Times of the upstream failures during which a request body was running, by upstream.
  using FailureTimes = std::map<UpstreamId, std::vector<TimePoint>>;

  // Interval in which the failures of an upstream have a known cause.
  struct CauseInterval {
    TimePoint from;
    TimePoint until;
  };

  // Records the interval and withdraws the marks for upstream failures within it.
  std::vector<CrashMark> RecordKnownCause(const UpstreamId& upstream, CauseInterval cause_interval,
                                          TimePoint now);
  // Returns true if the failure falls into the interval of a known cause of the upstream.
  bool HasKnownCause(const UpstreamId& upstream, TimePoint failed_at) const;
  // Marks a request body for an upstream failure, unless the failure has a known cause or the mark
  // has expired. Returns true if the mark applies.
  bool AddMark(const Sha256Digest& digest, const UpstreamId& upstream, TimePoint failed_at,
               TimePoint now);
  // Number of unexpired marks of a request body, and how many of them are too old to be attributed
  // to a known cause.
  struct MarkCounts {
    std::size_t total = 0;
    std::size_t confirmed = 0;
  };

  MarkCounts CountMarks(const FailureTimes& failures, TimePoint now) const;
  void Expire(TimePoint now);
  void EvictDigest();

  CrashTrackerOptions options_;
  std::map<Sha256Digest, FailureTimes> marks_;
  std::map<UpstreamId, CauseInterval> known_causes_;
  std::map<UpstreamId, Reservation> isolated_;
};

}  // namespace savoryglade
