#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak/history.h"

namespace savoryglade::soak {

// Finds the promises that a history shows to be broken.
class PromiseChecker {
 public:
  PromiseChecker(const History& history, const PromiseBounds& bounds)
      : history_(history), bounds_(bounds), violations_(history.violations()) {}

  std::vector<Violation> Check();

 private:
  // Events of several daemons that happen at one moment.
  static constexpr Duration kSameMoment = 500ms;

  // Attempts of the history by their ids.
  using AttemptIndex = std::map<std::string, const AttemptRecord*>;

  // Name of the stream that an attempt begins or resumes.
  static const std::string& StreamOf(const AttemptRecord& attempt) {
    return attempt.resumes.empty() ? attempt.id : attempt.resumes;
  }

  void Add(std::string rule, std::string text, const AttemptRecord& attempt);
  // Returns true if the daemon was killed or frozen too shortly before the request, or during it.
  bool IsDisturbed(const AttemptRecord& attempt) const;
  // Returns when the daemon ended the attempt at the latest. A slow reader notices the end of its
  // connection only after it has read what came before. For one whose deadline comes first, the
  // kernel still delivers what the daemon has written.
  TimePoint EndOf(const AttemptRecord& attempt) const;
  // Returns the time of the stop order that was in force when the daemon ended the attempt.
  std::optional<TimePoint> StopOrder(const AttemptRecord& attempt) const;
  // Returns true if the path to the upstreams was cut while the attempt used it, or the daemon is
  // partitioned and one that may relay the attempt was killed, frozen or cut off.
  bool IsCutByPartition(const AttemptRecord& attempt) const;
  // Returns true if a run ended when a daemon was cut off from the upstreams, which may have
  // relayed it for the one that its caller asked.
  bool WasRelayCut(const std::vector<RunRecord>& runs) const;
  // Returns true if the daemon and the store were undisturbed, also by planned work, long enough
  // before the attempt and until its end. Partitions from the upstreams may be left out.
  bool IsInTouch(const AttemptRecord& attempt, bool partitions_count, Duration contact) const;
  // Returns true if the daemon was not started, stopped, killed or frozen too shortly before.
  bool IsCalm(std::size_t daemon, TimePoint at) const;
  // Returns true if the daemon was started, killed, frozen or cut off between the two instants.
  bool IsExcused(std::size_t daemon, TimePoint from, TimePoint to) const;
  // Returns true if the daemon's path to the upstreams was cut around the attempt, so that bytes on
  // the way to an upstream may have been held up.
  bool IsNearPartition(const AttemptRecord& attempt) const;
  // Returns true if the daemon's path to the upstreams is cut at this time.
  bool IsPartitioned(std::size_t daemon, TimePoint at) const;
  // Returns when a run ended, also with its upstream.
  std::optional<TimePoint> EndOf(const RunRecord& run) const;
  AttemptIndex IndexAttempts() const;
  // A request that was passed on to a sound upstream, or read by a daemon that was told to stop,
  // gets a complete answer.
  void CheckLost(const AttemptRecord& attempt, const std::vector<RunRecord>& runs);
  void CheckRuns(const AttemptRecord& attempt, const std::vector<RunRecord>& runs);
  // A request that goes on at another upstream has been stopped at the one before soon after that,
  // if its daemon is in touch and reaches the upstreams.
  void CheckOverlaps(const AttemptRecord& attempt, const std::vector<RunRecord>& runs);
  // Daemons in touch serve the routes that were added earlier, and hold routes some time after
  // their start.
  void CheckRoutes(const AttemptRecord& attempt);
  // All events of a stream come from one version, in one answer and over resumptions.
  void CheckOrder();
  // Of the streams that callers resume while two upstreams of their version serve, the share that
  // goes on is at least half of the share of new streams that begin.
  void CheckResumptions();
  // A request that has crashed three upstreams reaches upstreams in at most three later sends.
  void CheckCrashingRequests();
  void CheckCrashingRequest(const std::string& path);
  // Upstreams get no requests that their callers sent after they had passed on a notice, and few
  // while they want none, whether the store answers or not.
  void CheckWishes();
  void CheckWait(const std::string& upstream, const NamedWish& wish, std::size_t daemon,
                 const AttemptIndex& attempts);
  // An upstream that names a limit gets at most one and a half times what it allows, and some
  // requests more, in each window that begins some time after it first named it.
  void CheckRateLimits();
  void CheckRateLimit(const std::string& upstream, double rate, TimePoint from, TimePoint to,
                      const std::vector<std::pair<TimePoint, const AttemptRecord*>>& arrivals);
  // In each time in which the upstreams are brittle, few of them crash from what daemons in touch
  // sent.
  void CheckFalls();
  // In each window, arrivals beyond the first of each request are at most what the retry budget of
  // all daemons allows.
  void CheckRepeats();
  // While some daemons are partitioned from all upstreams, they serve first tries almost as often
  // as the others.
  void CheckPartitions();
  void CheckPartition(const PlayEvent& begin);
  // No request is sent, and few runs go on, for callers that have left. A daemon that was frozen
  // finds the close when it goes on, so freezes excuse no send.
  void CheckCallersThatLeft();

  const History& history_;
  const PromiseBounds& bounds_;
  // Version of the first event of each stream.
  std::map<std::string, std::string> versions_;
  std::vector<Violation> violations_;
};

}  // namespace savoryglade::soak
