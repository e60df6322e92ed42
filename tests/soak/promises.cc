#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/history.h"

namespace savoryglade::soak {
namespace {

// A run in the last sixth of the grace period may be cut if its request was sent this early.
constexpr Duration kEarlyRequest = 3s;
constexpr int kGraceParts = 6;
// A daemon ends a call this long before its deadline.
constexpr Duration kDeadlineMargin = 50ms;
// Resumptions are judged from this number on, if this many upstreams of their version have served
// for this time.
constexpr std::size_t kJudgedResumptions = 12;
constexpr int kServingUpstreams = 2;
constexpr Duration kServedBefore = 1s;
// Crashes after which a request is judged, and the later sends that are allowed.
constexpr std::size_t kJudgedCrashes = 3;
constexpr std::size_t kLateSends = 3;
// Requests that an upstream may get in a window, as a multiple of what its limit allows, and
// beyond.
constexpr Duration kRateLimitWindow = 4s;
constexpr double kRateLimitFactor = 1.5;
constexpr double kRateLimitSlack = 5;
// Share of the first tries elsewhere that daemons without a path to the upstreams must serve, and
// the failures there that are allowed: a number and a share of all first tries.
constexpr double kPartitionedShare = 2.0 / 3;
constexpr double kPartitionFailures = 10;
constexpr double kPartitionFailureShare = 1.0 / 50;
// Time after a rejection from which an upstream that wants nothing gets at most these requests.
constexpr Duration kWaitSlack = 500ms;
constexpr std::size_t kUnwantedRequests = 2;
// Time after its start, and after a fault of the store, in which a daemon reads the routes.
constexpr Duration kLoadTime = 9s;
// Events of several daemons that happen at one moment.
constexpr Duration kSameMoment = 500ms;
// Time after a caller has left from which its request must not reach an upstream, or still run.
// Requests that may do so, and the share of the repeatable runs that would have lasted so long.
constexpr Duration kGoneSlack = 500ms;
constexpr std::size_t kSentAfterLeaving = 3;
constexpr double kRunningAfterLeavingShare = 0.25;
// Time after the grace period for which a stop counts as planned work around a request.
constexpr Duration kPlannedWorkSlack = 1s;

bool IsUnplanned(EventKind kind) {
  return kind == EventKind::kKill || kind == EventKind::kFreeze || kind == EventKind::kThaw;
}

bool IsPartition(EventKind kind) {
  return kind == EventKind::kPartition || kind == EventKind::kPartitionEnd;
}

class Checker {
 public:
  Checker(const History& history, const PromiseBounds& bounds)
      : history_(history), bounds_(bounds), violations_(history.violations()) {}

  std::vector<Violation> Check() {
    for (const AttemptRecord& attempt : history_.attempts()) {
      const std::vector<RunRecord> runs = history_.RunsOf(attempt.id);
      CheckLost(attempt, runs);
      CheckRuns(attempt, runs);
      CheckRoutes(attempt);
      if (!attempt.mixed.empty()) {
        Add("MIXED", attempt.mixed, attempt);
      }
    }
    CheckOrder();
    CheckResumptions();
    CheckCrashingRequests();
    CheckRateLimits();
    CheckWishes();
    CheckPartitions();
    CheckCallersThatLeft();
    return violations_;
  }

 private:
  // Name of the stream that an attempt begins or resumes.
  static const std::string& StreamOf(const AttemptRecord& attempt) {
    return attempt.resumes.empty() ? attempt.id : attempt.resumes;
  }

  void Add(std::string rule, std::string text, const AttemptRecord& attempt) {
    violations_.push_back({.rule = std::move(rule),
                           .text = std::move(text),
                           .attempt = &attempt,
                           .daemon = attempt.daemon,
                           .at = attempt.ended_at});
  }

  // Returns true if the daemon was killed or frozen too shortly before the request, or during it.
  bool IsDisturbed(const AttemptRecord& attempt) const {
    return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
      return event.daemon == attempt.daemon && IsUnplanned(event.kind) &&
             event.at >= attempt.sent_at - bounds_.contact && event.at <= attempt.ended_at;
    });
  }

  // Returns the time of the stop order that was in force when the attempt ended.
  std::optional<TimePoint> StopOrder(const AttemptRecord& attempt) const {
    std::optional<TimePoint> order;
    for (const PlayEvent& event : history_.events()) {
      if (event.daemon == attempt.daemon && event.kind == EventKind::kTerm &&
          event.at <= attempt.ended_at &&
          attempt.ended_at <= event.at + bounds_.grace + kPlannedWorkSlack) {
        order = event.at;
      }
    }
    return order;
  }

  // Returns true if the path to the upstreams was cut while the attempt used it, or the daemon is
  // partitioned and one that may relay the attempt was killed or frozen.
  bool IsCutByPartition(const AttemptRecord& attempt) const {
    bool partitioned = false;
    for (const PlayEvent& event : history_.events()) {
      if (event.at > attempt.ended_at) {
        break;
      }
      const bool meanwhile = event.at >= attempt.sent_at;
      if (event.daemon == attempt.daemon && event.kind == EventKind::kPartition) {
        partitioned = true;
        if (meanwhile) {
          return true;
        }
      } else if (event.daemon == attempt.daemon && event.kind == EventKind::kPartitionEnd) {
        partitioned = meanwhile;
      } else if (partitioned && meanwhile && IsUnplanned(event.kind)) {
        return true;
      }
    }
    return false;
  }

  // A request that was passed on to a sound upstream, or read by a daemon that was told to stop,
  // gets a complete answer.
  void CheckLost(const AttemptRecord& attempt, const std::vector<RunRecord>& runs) {
    if (!attempt.sent || attempt.complete || attempt.left_by_caller ||
        attempt.ended_at >= attempt.deadline - kDeadlineMargin || IsDisturbed(attempt)) {
      return;
    }
    const bool upstream_broke = std::ranges::any_of(runs, [&](const RunRecord& run) {
      return history_.BrokeBetween(run.upstream, run.started_at, attempt.ended_at);
    });
    if (upstream_broke || IsCutByPartition(attempt)) {
      return;
    }
    const std::optional<TimePoint> order = StopOrder(attempt);
    if (order && attempt.sent_at <= *order + kEarlyRequest) {
      const TimePoint last_sixth = *order + bounds_.grace - bounds_.grace / kGraceParts;
      const bool was_at_work = std::ranges::any_of(
          runs, [&](const RunRecord& run) { return !run.ended_at || *run.ended_at >= last_sixth; });
      if (attempt.ended_at >= last_sixth && was_at_work) {
        return;
      }
    }
    const Duration open_for = attempt.ended_at - attempt.sent_at;
    if (!runs.empty()) {
      Add("LOST", "The request was passed on and its connection closed without its answer.",
          attempt);
    } else if (order && open_for > bounds_.loss_slack) {
      Add("LOST",
          fmt::format("The connection closed without an answer {} ms after the request, {} ms "
                      "after SIGTERM.",
                      open_for / 1ms, (attempt.ended_at - *order) / 1ms),
          attempt);
    }
  }

  void CheckRuns(const AttemptRecord& attempt, const std::vector<RunRecord>& runs) {
    constexpr std::array kPromises = {408U, 421U, 429U, 503U};
    if (!attempt.type->Repeatable() && runs.size() > 1) {
      Add("TWICE", fmt::format("The request ran {} times.", runs.size()), attempt);
    }
    if (std::ranges::count(kPromises, attempt.status) > 0 && !runs.empty()) {
      Add("REFUSED", fmt::format("The request was answered {} and ran.", attempt.status), attempt);
    }
    if (attempt.status >= 200 && attempt.status < 300 && runs.empty()) {
      Add("MIXED", "The request was answered with success and did not run.", attempt);
    }
  }

  // Daemons in touch serve the routes that were added earlier, and hold routes some time after
  // their start.
  void CheckRoutes(const AttemptRecord& attempt) {
    if (attempt.type == &kAddedCallType && attempt.status == 404 &&
        IsInTouch(attempt, false, bounds_.contact)) {
      Add("CONFIG", "A route that was added earlier is not in force.", attempt);
    }
    if (attempt.reason == "not_ready" && IsInTouch(attempt, false, kLoadTime)) {
      Add("CONFIG", "A daemon that started long before holds no routes.", attempt);
    }
  }

  // All events of a stream come from one version, in one answer and over resumptions.
  void CheckOrder() {
    for (const AttemptRecord& attempt : history_.attempts()) {
      const std::vector<RunRecord> runs = history_.RunsOf(attempt.id);
      for (std::size_t i = 0; i < runs.size() && attempt.type->kind == CallKind::kStream; ++i) {
        // A run brought the events up to the one that the next run is asked to go on behind.
        const int last = i + 1 < runs.size() ? runs[i + 1].events_before : attempt.events_after;
        if (last <= runs[i].events_before) {
          continue;
        }
        const auto& [known, added] = versions_.try_emplace(StreamOf(attempt), runs[i].version);
        if (!added && known->second != runs[i].version) {
          Add("ORDER",
              fmt::format("The stream {} began at version {} and has events {} to {} of {}.",
                          StreamOf(attempt), known->second, runs[i].events_before + 1, last,
                          runs[i].version),
              attempt);
        }
      }
    }
  }

  // Returns true if the daemon and the store were undisturbed, also by planned work, long enough
  // before the attempt and until its end. Partitions from the upstreams may be left out.
  bool IsInTouch(const AttemptRecord& attempt, bool partitions_count, Duration contact) const {
    bool store_is_sound = true;
    for (const PlayEvent& event : history_.events()) {
      const bool concerns_store =
          event.kind == EventKind::kStoreFault || event.kind == EventKind::kStoreSound;
      const bool concerns_daemon = event.daemon == attempt.daemon &&
                                   event.kind != EventKind::kHangUp &&
                                   (partitions_count || !IsPartition(event.kind));
      if (event.at > attempt.ended_at) {
        break;
      }
      if (event.at >= attempt.sent_at - contact && (concerns_store || concerns_daemon)) {
        return false;
      }
      store_is_sound = concerns_store ? event.kind == EventKind::kStoreSound : store_is_sound;
    }
    return store_is_sound;
  }

  // Of the streams that callers resume while two upstreams of their version serve, the share that
  // goes on is at least half of the share of new streams that begin.
  void CheckResumptions() {
    int begun = 0;
    int new_streams = 0;
    // Streams that were resumed, and whether they went on.
    std::map<std::string, bool> resumed;
    for (const AttemptRecord& attempt : history_.attempts()) {
      if (!attempt.type->resumable || !attempt.sent || !IsInTouch(attempt, true, bounds_.contact)) {
        continue;
      }
      const bool goes_on = attempt.status == 200 &&
                           (attempt.complete || attempt.events_after > attempt.events_before);
      if (attempt.events_before == 0) {
        ++new_streams;
        begun += goes_on ? 1 : 0;
        continue;
      }
      const auto version = versions_.find(attempt.resumes);
      if (version != versions_.end() &&
          history_.ServingBetween(version->second, attempt.sent_at - kServedBefore,
                                  attempt.ended_at) >= kServingUpstreams) {
        resumed[attempt.resumes] |= goes_on;
      }
    }
    const auto gone_on =
        std::ranges::count_if(resumed, [](const auto& entry) { return entry.second; });
    if (resumed.size() >= kJudgedResumptions && 2.0 * static_cast<double>(gone_on) * new_streams <
                                                    static_cast<double>(begun * resumed.size())) {
      violations_.push_back(
          {.rule = "LOST",
           .text = fmt::format("Only {} of {} resumed streams went on, and {} of {} new streams "
                               "began.",
                               gone_on, resumed.size(), begun, new_streams)});
    }
  }

  // A request that has crashed three upstreams reaches upstreams in at most three later sends.
  void CheckCrashingRequests() {
    std::set<std::string> paths;
    for (const AttemptRecord& attempt : history_.attempts()) {
      paths.insert(attempt.crashing_path);
    }
    paths.erase(std::string());
    for (const std::string& path : paths) {
      CheckCrashingRequest(path);
    }
  }

  void CheckCrashingRequest(const std::string& path) {
    std::vector<std::pair<TimePoint, const AttemptRecord*>> runs;
    std::set<std::string> upstreams;
    std::vector<TimePoint> crashes;
    for (const AttemptRecord& attempt : history_.attempts()) {
      for (const RunRecord& run : history_.RunsOf(attempt.id)) {
        if (attempt.crashing_path != path) {
          continue;
        }
        runs.emplace_back(run.started_at, &attempt);
        const std::optional<TimePoint> end = history_.EndOf(run.upstream);
        if (end && upstreams.insert(run.upstream).second) {
          crashes.push_back(*end);
        }
      }
    }
    std::ranges::sort(crashes);
    if (crashes.size() < kJudgedCrashes) {
      return;
    }
    const TimePoint known = crashes[kJudgedCrashes - 1] + bounds_.contact;
    std::vector<const AttemptRecord*> late;
    for (const auto& [started_at, attempt] : runs) {
      if (started_at > known && IsInTouch(*attempt, true, bounds_.contact)) {
        late.push_back(attempt);
      }
    }
    if (late.size() > kLateSends) {
      Add("BUDGET",
          fmt::format("The request {} was sent {} times more after three crashes; {} upstreams "
                      "ended in all.",
                      path, late.size(), crashes.size()),
          *late[kLateSends]);
    }
  }

  // Returns true if the daemon was not started, stopped, killed or frozen too shortly before.
  bool IsCalm(std::size_t daemon, TimePoint at) const {
    return std::ranges::none_of(history_.events(), [&](const PlayEvent& event) {
      return event.daemon == daemon && event.kind != EventKind::kHangUp &&
             event.at >= at - bounds_.contact && event.at <= at;
    });
  }

  // An upstream that names a limit gets at most one and a half times what it allows, and some
  // requests more, in each window that begins some time after it first named it.
  // Attempts of the history by their ids.
  using AttemptIndex = std::map<std::string, const AttemptRecord*>;

  AttemptIndex IndexAttempts() const {
    AttemptIndex attempts;
    for (const AttemptRecord& attempt : history_.attempts()) {
      attempts.emplace(attempt.id, &attempt);
    }
    return attempts;
  }

  // Returns true if the daemon was started, killed, frozen or cut off between the two instants.
  bool IsExcused(std::size_t daemon, TimePoint from, TimePoint to) const {
    return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
      return event.daemon == daemon && event.at >= from - kSameMoment && event.at <= to &&
             (IsUnplanned(event.kind) || IsPartition(event.kind) ||
              event.kind == EventKind::kStart || event.kind == EventKind::kExit);
    });
  }

  // Upstreams get no requests that their callers sent after they had passed on a notice, and few
  // while they want none, whether the store answers or not.
  void CheckWishes() {
    const AttemptIndex attempts = IndexAttempts();
    for (const auto& [upstream, wishes] : history_.wishes()) {
      // Daemons with an answer that says that the upstream leaves, and when it was passed on.
      std::map<std::size_t, TimePoint> notices;
      for (const NamedWish& wish : wishes) {
        const auto answered = attempts.find(wish.attempt);
        if (answered == attempts.end()) {
          continue;
        }
        const AttemptRecord& answer = *answered->second;
        if (wish.wait_end) {
          CheckWait(upstream, wish, answer.daemon, attempts);
        } else if (answer.complete && !answer.left_by_caller) {
          notices.try_emplace(answer.daemon, answer.ended_at);
        }
      }
      for (const Arrival& arrival : history_.ArrivalsAt(upstream)) {
        const auto sent = attempts.find(arrival.attempt);
        const auto notice =
            sent == attempts.end() ? notices.end() : notices.find(sent->second->daemon);
        if (notice != notices.end() &&
            sent->second->sent_at > notice->second + bounds_.upstream_drain &&
            !IsExcused(notice->first, notice->second, arrival.at)) {
          Add("DRAIN",
              fmt::format("{} said that it leaves and got a request sent {} ms later.", upstream,
                          (sent->second->sent_at - notice->second) / 1ms),
              *sent->second);
        }
      }
    }
  }

  void CheckWait(const std::string& upstream, const NamedWish& wish, std::size_t daemon,
                 const AttemptIndex& attempts) {
    std::vector<const AttemptRecord*> unwanted;
    for (const Arrival& arrival : history_.ArrivalsAt(upstream)) {
      const auto sent = attempts.find(arrival.attempt);
      if (arrival.at > wish.at + kWaitSlack && arrival.at < *wish.wait_end &&
          sent != attempts.end() && sent->second->daemon == daemon) {
        unwanted.push_back(sent->second);
      }
    }
    if (unwanted.size() > kUnwantedRequests && !IsExcused(daemon, wish.at, *wish.wait_end)) {
      Add("BUDGET",
          fmt::format("{} wanted nothing for {} ms and got {} requests of one daemon.", upstream,
                      (*wish.wait_end - wish.at) / 1ms, unwanted.size()),
          *unwanted.back());
    }
  }

  void CheckRateLimits() {
    const AttemptIndex attempts = IndexAttempts();
    for (const auto& [upstream, limits] : history_.rate_limits()) {
      std::vector<std::pair<TimePoint, const AttemptRecord*>> counted;
      for (const Arrival& arrival : history_.ArrivalsAt(upstream)) {
        const auto attempt = attempts.find(arrival.attempt);
        if (attempt != attempts.end() && IsCalm(attempt->second->daemon, arrival.at)) {
          counted.emplace_back(arrival.at, attempt->second);
        }
      }
      for (std::size_t i = 0; i < limits.size(); ++i) {
        if (limits[i].rate) {
          const TimePoint to = i + 1 < limits.size() ? limits[i + 1].from : TimePoint::max();
          CheckRateLimit(upstream, *limits[i].rate, limits[i].from + bounds_.contact, to, counted);
        }
      }
    }
  }

  void CheckRateLimit(const std::string& upstream, double rate, TimePoint from, TimePoint to,
                      const std::vector<std::pair<TimePoint, const AttemptRecord*>>& arrivals) {
    const double allowed = kRateLimitFactor * rate * ToSeconds(kRateLimitWindow) + kRateLimitSlack;
    std::deque<TimePoint> window;
    for (const auto& [at, attempt] : arrivals) {
      if (at < from || at >= to) {
        continue;
      }
      window.push_back(at);
      while (at - window.front() >= kRateLimitWindow) {
        window.pop_front();
      }
      if (static_cast<double>(window.size()) > allowed) {
        Add("LIMIT",
            fmt::format("{} named {:.1f}/s and got {} requests in {} s; {:.0f} allowed.", upstream,
                        rate, window.size(), ToSeconds(kRateLimitWindow), allowed),
            *attempt);
        return;
      }
    }
  }

  // First tries at daemons in touch, and how many of them were served.
  struct Tries {
    double sent = 0;
    double served = 0;
    const AttemptRecord* last_failure = nullptr;

    void Add(const AttemptRecord& attempt) {
      const bool is_served = attempt.status == 200 && attempt.complete;
      ++sent;
      served += is_served ? 1 : 0;
      last_failure = is_served ? last_failure : &attempt;
    }
  };

  // While some daemons are partitioned from all upstreams, they serve first tries almost as often
  // as the others.
  void CheckPartitions() {
    for (const PlayEvent& begin : history_.events()) {
      if (begin.kind == EventKind::kPartition && begin.daemon) {
        CheckPartition(begin);
      }
    }
  }

  void CheckPartition(const PlayEvent& begin) {
    std::set<std::size_t> partitioned;
    TimePoint end = TimePoint::max();
    for (const PlayEvent& event : history_.events()) {
      if (event.kind == EventKind::kPartition && event.at - begin.at < kSameMoment &&
          begin.at - event.at < kSameMoment) {
        partitioned.insert(*event.daemon);
      } else if (event.kind == EventKind::kPartitionEnd && event.at > begin.at) {
        end = std::min(end, event.at);
      }
    }
    // Each partition is judged once.
    if (*partitioned.begin() != *begin.daemon) {
      return;
    }
    Tries cut;
    Tries others;
    for (const AttemptRecord& attempt : history_.attempts()) {
      if (attempt.is_first && attempt.crashing_path.empty() && !attempt.left_by_caller &&
          attempt.status != 429 && attempt.sent_at >= begin.at + bounds_.contact &&
          attempt.ended_at <= end && IsInTouch(attempt, false, bounds_.contact)) {
        (partitioned.contains(attempt.daemon) ? cut : others).Add(attempt);
      }
    }
    const double allowed_failures =
        kPartitionFailures + kPartitionFailureShare * (cut.sent + others.sent);
    if (cut.sent - cut.served > allowed_failures &&
        cut.served * others.sent < kPartitionedShare * others.served * cut.sent) {
      Add("RECOVER",
          fmt::format("Daemons without a path to the upstreams served {} of {} first tries, the "
                      "others {} of {}.",
                      cut.served, cut.sent, others.served, others.sent),
          *cut.last_failure);
    }
  }

  // No request is sent, and few runs go on, for callers that have left. A daemon that was frozen
  // finds the close when it goes on, so freezes excuse no send.
  void CheckCallersThatLeft() {
    std::vector<const AttemptRecord*> sent;
    std::vector<const AttemptRecord*> running;
    std::size_t long_runs = 0;
    for (const AttemptRecord& attempt : history_.attempts()) {
      if (!attempt.left_by_caller || !attempt.crashing_path.empty()) {
        continue;
      }
      const TimePoint late = attempt.ended_at + kGoneSlack;
      const bool is_calm = IsInTouch(attempt, true, bounds_.contact);
      for (const RunRecord& run : history_.RunsOf(attempt.id)) {
        if (run.started_at > late && !IsNearPartition(attempt)) {
          sent.push_back(&attempt);
        } else if (is_calm && attempt.type->Repeatable() && run.started_at + run.length > late) {
          ++long_runs;
          if (!run.ended_at || *run.ended_at > late) {
            running.push_back(&attempt);
          }
        }
      }
    }
    if (sent.size() > kSentAfterLeaving) {
      Add("GONE", fmt::format("{} requests were sent after their callers had left.", sent.size()),
          *sent.back());
    }
    if (running.size() > kSentAfterLeaving &&
        static_cast<double>(running.size()) >
            kRunningAfterLeavingShare * static_cast<double>(long_runs)) {
      Add("GONE",
          fmt::format("{} of {} runs went on after their callers had left.", running.size(),
                      long_runs),
          *running.back());
    }
  }

  // Returns true if the daemon's path to the upstreams was cut around the attempt, so that bytes on
  // the way to an upstream may have been held up.
  bool IsNearPartition(const AttemptRecord& attempt) const {
    return std::ranges::any_of(history_.events(), [&](const PlayEvent& event) {
      return event.daemon == attempt.daemon && IsPartition(event.kind) &&
             event.at >= attempt.sent_at - bounds_.contact &&
             event.at <= attempt.ended_at + bounds_.contact;
    });
  }

  const History& history_;
  const PromiseBounds& bounds_;
  // Version of the first event of each stream.
  std::map<std::string, std::string> versions_;
  std::vector<Violation> violations_;
};

}  // namespace

std::vector<Violation> CheckPromises(const History& history, const PromiseBounds& bounds) {
  return Checker(history, bounds).Check();
}

}  // namespace savoryglade::soak
