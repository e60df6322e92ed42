#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/route_table.h"
#include "core/time.h"

namespace savoryglade::soak {

// Returns the present on the clock of the play.
inline TimePoint Now() { return std::chrono::steady_clock::now(); }

// Kind of call that the callers make. Must match the routes of the play.
struct CallType {
  std::string_view prefix;
  std::string_view method;
  CallKind kind;
  bool resumable = false;
  // Time that callers wait for the whole answer.
  Duration patience = 4s;

  bool Repeatable() const { return kind == CallKind::kIdempotent || resumable; }
};

inline constexpr std::array kCallTypes = {
    CallType{"/reads/", "GET", CallKind::kIdempotent},
    CallType{"/orders/", "POST", CallKind::kAtMostOnce},
    CallType{"/chats/stream/", "POST", CallKind::kStream, true, 8s},
    CallType{"/once/stream/", "POST", CallKind::kStream, false, 8s}};

// Call on one of the routes that are added during a play.
inline constexpr CallType kAddedCallType = {"/added-0/", "GET", CallKind::kIdempotent};

// One request as its caller saw it.
struct AttemptRecord {
  std::string id;
  const CallType* type = nullptr;
  std::size_t daemon = 0;
  // True if the connection had carried a request before.
  bool reused_connection = false;
  // Whether the body was sent in chunks, and whether the connection had carried the first bytes of
  // the request before the answer to another one.
  bool in_chunks = false;
  bool begun_ahead = false;
  // False if the connection failed before the whole request was written.
  bool sent = false;
  TimePoint sent_at{};
  TimePoint ended_at{};
  TimePoint deadline{};
  // Zero if the connection ended before the header of a response.
  unsigned status = 0;
  // Reason that the daemon gives for a response of its own.
  std::string reason;
  // True if the response ended as complete.
  bool complete = false;
  // Error of the connection, if the response is not complete.
  std::string failure;
  // True if the caller stopped reading at its deadline, so that the connection had not ended.
  bool timed_out = false;
  // What is wrong with the bytes received; empty if nothing.
  std::string mixed;
  // Last event that the caller had before this attempt, and after it.
  int events_before = 0;
  int events_after = 0;
  // Attempt that brought the first event of a stream that this attempt resumes.
  std::string resumes;
  // True if the caller closed the connection before the end of the answer.
  bool left_by_caller = false;
  // True for the first attempt of a call.
  bool is_first = false;
  // Path of a request that crashes the upstreams that run it; empty for others.
  std::string crashing_path;
};

// One run of a request at an upstream.
struct RunRecord {
  std::string upstream;
  std::string version;
  // Last event that the request names as received; zero for a new stream.
  int events_before = 0;
  TimePoint started_at{};
  // When it sent its first event or its answer.
  std::optional<TimePoint> first_sent_at;
  std::optional<TimePoint> ended_at;
  // Time that the run takes if nothing ends it.
  Duration length = Duration::zero();
  // Time for which it sends nothing and then goes on.
  Duration silence = Duration::zero();
};

enum class EventKind {
  kStart,
  kTerm,
  kRepeatedTerm,
  kHangUp,
  kKill,
  kFreeze,
  kThaw,
  kExit,
  kStoreFault,
  kStoreSound,
  kPartition,
  kPartitionEnd,
  kOther
};

// Rate limit that an upstream named from a time on; nothing if it named none.
struct NamedRateLimit {
  TimePoint from{};
  std::optional<double> rate;
};

// Answer in which an upstream said that it leaves, or that it wants no requests of the daemon for a
// while.
struct NamedWish {
  TimePoint at{};
  std::string attempt;
  // End of the wait; nothing if the upstream leaves.
  std::optional<TimePoint> wait_end;
};

// Request that reached an upstream.
struct Arrival {
  TimePoint at{};
  std::string attempt;
};

// Time in which all upstreams say that they are brittle.
struct BrittleTime {
  TimePoint from{};
  TimePoint to = TimePoint::max();
  std::size_t upstreams = 0;
};

// Crash of a brittle upstream, and the requests that it had rejected in the second before.
using Fall = std::vector<Arrival>;

// Something that was done to a daemon, or to an upstream or the store.
struct PlayEvent {
  TimePoint at{};
  EventKind kind = EventKind::kOther;
  std::optional<std::size_t> daemon;
  std::string text;
};

// A promise that was broken.
struct Violation {
  std::string rule;
  std::string text;
  const AttemptRecord* attempt = nullptr;
  std::optional<std::size_t> daemon;
  TimePoint at{};
};

// All that callers and upstreams saw in one play, and what was done to the system. Thread-safe
// until the play has ended; the accessors below are for afterwards.
class History {
 public:
  explicit History(std::function<TimePoint()> now = Now) : now_(std::move(now)) {}

  void AddAttempt(AttemptRecord attempt);
  void AddEvent(EventKind kind, std::optional<std::size_t> daemon, std::string text);
  // Records that one more upstream of the version serves, or one less.
  void AddServing(const std::string& version, int change);
  // Records that all connections of an upstream broke.
  void AddBreak(const std::string& upstream);
  void AddRateLimit(const std::string& upstream, std::optional<double> rate);
  // Records an answer to an attempt in which the upstream says that it leaves, or until when it
  // wants no requests.
  void AddWish(const std::string& upstream, const std::string& attempt,
               std::optional<TimePoint> wait_end);
  void BeginBrittleTime(std::size_t upstreams);
  void EndBrittleTime();
  void AddFall(Fall fall);
  // Records that a request reached an upstream, whether it runs or not.
  void AddArrival(const std::string& upstream, const std::string& attempt);
  // Records that an upstream began to run a request, and returns the number of the run.
  std::size_t BeginRun(const std::string& attempt, RunRecord run);
  void RecordFirstSend(const std::string& attempt, std::size_t run);
  void EndRun(const std::string& attempt, std::size_t run);
  // Records a violation that was seen during the play.
  void AddViolation(std::string rule, std::string text, std::optional<std::size_t> daemon = {});

  const std::vector<AttemptRecord>& attempts() const { return attempts_; }
  const std::vector<PlayEvent>& events() const { return events_; }
  const std::vector<Violation>& violations() const { return violations_; }
  // Limits of each upstream that named one, in order of time.
  const std::map<std::string, std::vector<NamedRateLimit>>& rate_limits() const {
    return rate_limits_;
  }
  // Wishes of each upstream that named one, in order of time.
  const std::map<std::string, std::vector<NamedWish>>& wishes() const { return wishes_; }
  const std::vector<BrittleTime>& brittle_times() const { return brittle_times_; }
  const std::vector<Fall>& falls() const { return falls_; }
  // Returns the requests that reached an upstream, in order of time.
  const std::vector<Arrival>& ArrivalsAt(const std::string& upstream) const {
    return arrivals_.at(upstream);
  }
  // Returns the requests that reached upstreams, by upstream and in order of time.
  const std::map<std::string, std::vector<Arrival>>& arrivals() const { return arrivals_; }
  // Returns the runs of an attempt.
  std::vector<RunRecord> RunsOf(const std::string& attempt) const;
  // Returns true if the upstream's connections broke within this time.
  bool BrokeBetween(const std::string& upstream, TimePoint from, TimePoint to) const;
  // Returns when the upstream's connections broke first, if they did.
  std::optional<TimePoint> EndOf(const std::string& upstream) const;
  // Returns the smallest number of upstreams of the version that served within this time.
  int ServingBetween(const std::string& version, TimePoint from, TimePoint to) const;
  // Formats the events around a violation and what is known of its attempt.
  std::string Timeline(const Violation& violation) const;

 private:
  std::function<TimePoint()> now_;
  mutable std::mutex mutex_;
  std::vector<AttemptRecord> attempts_;
  std::vector<PlayEvent> events_;
  std::vector<Violation> violations_;
  std::map<std::string, std::vector<RunRecord>> runs_;
  std::map<std::string, std::vector<NamedRateLimit>> rate_limits_;
  std::map<std::string, std::vector<NamedWish>> wishes_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::vector<BrittleTime> brittle_times_;
  std::vector<Fall> falls_;
  std::map<std::string, std::vector<TimePoint>> breaks_;
  // Number of upstreams that serve from a time on, by version.
  std::map<std::string, std::map<TimePoint, int>> serving_;
};

// Bounds of the promises.
struct PromiseBounds {
  // Time after a disturbance for which a daemon is not bound.
  Duration contact = 3s;
  // Time after its last byte within which a request may cross the daemon's close of a connection.
  Duration loss_slack = 200ms;
  Duration grace;
  // Time after an upstream's notice in which it may still get requests.
  Duration upstream_drain;
  // Arrivals beyond the first of each request that are allowed in a window: a share of the requests
  // and a number.
  Duration retry_window = 10s;
  double retry_ratio = 0;
  double retry_allowance = 0;
};

// Returns the promises that the history shows to be broken, including those seen during the play.
std::vector<Violation> CheckPromises(const History& history, const PromiseBounds& bounds);

}  // namespace savoryglade::soak
