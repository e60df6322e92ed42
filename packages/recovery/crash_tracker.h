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
  // Time after which a mark no longer counts.
  Duration mark_lifetime = 600s;
  // Deaths of one upstream that are reported within this time are one death.
  Duration same_death = 5s;
  // A notice explains the deaths of its upstream for this long after it.
  Duration notice_lifetime = 60s;
  // The list of VMs lags by up to this time: an entry explains deaths for this long before it, and
  // a request is not refused before a death has had this time to be explained.
  Duration vm_list_lag = 10s;
  // An isolated run starts this long after the others were told, so that they have moved.
  Duration settle = 1s;
  // An isolation that is not renewed ends after this time.
  Duration isolation_lifetime = 30s;
  std::size_t max_digests = 4096;
  // Part of the upstreams that may be isolated at the same time; one is always allowed.
  double max_isolated_fraction = 0.1;
};

// What is known of the death of an upstream when it is reported.
enum class DeathCause : std::uint8_t { kUnknown, kReclaimed, kVmGone, kPlannedStop };

// A request body ran on an upstream when it died. Gossiped as a value; the age replaces an instant
// because the clocks of daemons differ. A withdrawn mark takes the mark back.
struct CrashMark {
  Sha256Digest digest{};
  UpstreamId upstream;
  Duration age = Duration::zero();
  bool withdrawn = false;

  friend auto operator<=>(const CrashMark&, const CrashMark&) = default;
};

// An upstream is reserved for one suspect request of one daemon. Gossiped; `held` is false at its
// end.
struct IsolationNotice {
  UpstreamId upstream;
  DaemonId daemon;
  bool held = true;

  friend auto operator<=>(const IsolationNotice&, const IsolationNotice&) = default;
};

// kWait: ask again later, a death that would make the body refused can still be explained.
enum class CrashDecision : std::uint8_t { kRun, kRunAlone, kWait, kRefuse };

// Upstream on which an isolated run may start, and when. The requests that run there are to be
// moved.
struct Isolation {
  UpstreamId upstream;
  TimePoint start;

  friend auto operator<=>(const Isolation&, const Isolation&) = default;
};

// An upstream that could take an isolated run, with the requests that it runs for this daemon.
struct IsolationCandidate {
  UpstreamId upstream;
  std::size_t running = 0;
};

// Finds request bodies that crash upstreams. A death marks all bodies that ran there; one mark
// makes a body run alone, and a second death makes it refused. An innocent body loses its mark when
// it completes, when the death is explained, or with time. Not safe to use from several threads:
// the daemon holds its lock.
class CrashTracker {
 public:
  explicit CrashTracker(CrashTrackerOptions options) : options_(options) {}

  // Takes the death of an upstream with the bodies that this daemon ran there. Returns the marks to
  // gossip.
  std::vector<CrashMark> OnUpstreamDied(const UpstreamId& upstream,
                                        const std::vector<Sha256Digest>& running, DeathCause cause,
                                        TimePoint now);

  // Takes a mark from another daemon.
  void OnMark(const CrashMark& mark, TimePoint now);

  // Takes the notice that an upstream is about to leave, by reclaim or planned stop. Its deaths
  // from now on mark nobody. Returns withdrawals to gossip.
  std::vector<CrashMark> OnNotice(const UpstreamId& upstream, TimePoint now);

  // Takes the news that the VM of an upstream is gone: its deaths shortly before now mark nobody.
  // Returns withdrawals to gossip.
  std::vector<CrashMark> OnVmGone(const UpstreamId& upstream, TimePoint now);

  // Takes the complete run of a body: what was only suspected is cleared. Returns withdrawals to
  // gossip.
  std::vector<CrashMark> OnCompleted(const Sha256Digest& digest, TimePoint now);

  // Returns how a body is to be run.
  CrashDecision Decide(const Sha256Digest& digest, TimePoint now) const;

  // Reserves an upstream for a suspect: the candidate with the fewest running requests that is not
  // reserved. Returns nothing while too many are reserved; the request then waits.
  std::optional<Isolation> Isolate(const DaemonId& self, std::size_t upstreams,
                                   const std::vector<IsolationCandidate>& candidates,
                                   TimePoint now);

  // Ends or renews a reservation of this daemon.
  void EndIsolation(const UpstreamId& upstream) { isolated_.erase(upstream); }
  void RenewIsolation(const UpstreamId& upstream, TimePoint now);

  // Takes a reservation from another daemon. If two daemons reserve an upstream at once, the lower
  // name keeps it; returns true if this daemon has lost its own reservation and must choose again.
  bool OnIsolation(const IsolationNotice& notice, const DaemonId& self, TimePoint now);

  // Returns true if new work must keep away from the upstream.
  bool IsIsolated(const UpstreamId& upstream, TimePoint now) const;

  // Verdict of a refused request. It is "not run" only if no attempt of this sending was
  // dispatched.
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

  // Deaths that a body was part of, by upstream, with their instants.
  using Deaths = std::map<UpstreamId, std::vector<TimePoint>>;

  // Interval in which the deaths of an upstream are explained.
  struct Explanation {
    TimePoint from;
    TimePoint until;
  };

  std::vector<CrashMark> Explain(const UpstreamId& upstream, Explanation explanation,
                                 TimePoint now);
  bool Explained(const UpstreamId& upstream, TimePoint death) const;
  bool AddMark(const Sha256Digest& digest, const UpstreamId& upstream, TimePoint death,
               TimePoint now);
  // Marks in force, and those of them that can no longer be explained.
  struct Marks {
    std::size_t count = 0;
    std::size_t settled = 0;
  };

  Marks CountMarks(const Deaths& deaths, TimePoint now) const;
  void Expire(TimePoint now);
  void MakeRoom();

  CrashTrackerOptions options_;
  std::map<Sha256Digest, Deaths> marks_;
  std::map<UpstreamId, Explanation> explained_;
  std::map<UpstreamId, Reservation> isolated_;
};

}  // namespace savoryglade
