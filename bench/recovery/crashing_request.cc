#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench/recovery/measures.h"
#include "core/event_queue.h"
#include "core/random.h"
#include "recovery/crash_tracker.h"

namespace savoryglade {
namespace {

constexpr int kDaemons = 8;
constexpr int kUpstreams = 20;
constexpr std::size_t kSlots = 8;
constexpr int kMaxSubmissions = 20;
constexpr int kMaxAttempts = 3;
constexpr Duration kCrashAfter = 300ms;
constexpr Duration kRequestTimeout = 60s;

struct CrashCase {
  std::uint64_t seed = 1;
  bool use_tracker = true;
  // The caller resends every 100 ms without waiting for the outcome.
  bool resends_without_waiting = false;
  // Upstreams also fail with their VM, either with a notice before or with an entry in the VM list
  // afterwards.
  bool reclaims = false;
};

struct CrashResult {
  int upstreams_crashed = 0;
  int others_lost = 0;
  int others = 0;
  double longest_delay = 0;
};

// Simulates daemons, each with its own tracker, that share upstreams. An upstream runs several
// requests concurrently. Requests keep their progress when they are moved.
class CrashSimulation {
 public:
  explicit CrashSimulation(const CrashCase& options) : options_(options), random_(options.seed) {}

  CrashResult Run() {
    for (int d = 0; d < kDaemons; ++d) {
      daemons_.push_back(
          {.name = DaemonId("daemon-" + std::to_string(d)), .tracker = CrashTracker({})});
      Poll(d);
    }
    upstreams_.resize(kUpstreams);
    for (TimePoint when{}; when < TimePoint{} + 90s;
         when += FromSeconds(random_.Exponential(0.025))) {
      queue_.At(when, [this] { Arrive(ComputeSha256(std::to_string(requests_.size())), false); });
    }
    queue_.After(10s, [this] { SubmitCrashingRequest(); });
    if (options_.reclaims) {
      for (int n = 0; n < 6; ++n) {
        queue_.After(FromSeconds(random_.UniformReal() * 60), [this, n] { LoseVm(n % 2 == 0); });
      }
    }
    queue_.RunUntil(TimePoint{} + 200s);
    for (const Request& request : requests_) {
      if (!request.crashing) {
        ++result_.others;
        result_.others_lost += request.finished ? 0 : 1;
      }
    }
    return result_;
  }

 private:
  struct Request {
    Sha256Digest digest{};
    int daemon = 0;
    bool crashing = false;
    Duration work = Duration::zero();
    TimePoint arrived;
    TimePoint started;
    int upstream = -1;
    // Incremented at each start and stop, so that a late event of an earlier attempt is recognised.
    int attempt = 0;
    int failures = 0;
    bool isolated = false;
    bool finished = false;
    bool abandoned = false;
  };

  struct Upstream {
    std::set<std::size_t> running;
    bool alive = true;
  };

  struct Daemon {
    DaemonId name;
    CrashTracker tracker;
    std::deque<std::size_t> suspects;
    std::deque<std::size_t> waiting;
  };

  static UpstreamId Name(int upstream) {
    return UpstreamId("upstream-" + std::to_string(upstream));
  }

  // Delivers gossip within 100 ms over the links between daemons, which do not lose messages.
  void Gossip(int from, const std::function<void(int)>& deliver) {
    for (int d = 0; d < kDaemons; ++d) {
      if (d != from) {
        queue_.After(1ms + FromSeconds(random_.UniformReal() * 0.1), [=] { deliver(d); });
      }
    }
  }

  void GossipMarks(int from, const std::vector<CrashMark>& marks) {
    for (const CrashMark& mark : marks) {
      Gossip(from, [=, this](int d) { daemons_[d].tracker.OnMark(mark, queue_.now()); });
    }
  }

  void GossipIsolation(int from, const IsolationNotice& notice) {
    Gossip(from, [=, this](int d) {
      const bool lost = daemons_[d].tracker.OnIsolation(notice, daemons_[d].name, queue_.now());
      if (!notice.reserved) {
        return;
      }
      for (int u = 0; u < kUpstreams; ++u) {
        if (Name(u) == notice.upstream) {
          MoveRequests(d, u, lost);
        }
      }
    });
  }

  // Moves the requests of one daemon away from a reserved upstream.
  void MoveRequests(int d, int u, bool include_isolated) {
    const std::set<std::size_t> running = upstreams_[u].running;
    for (const std::size_t r : running) {
      if (requests_[r].daemon == d && (include_isolated || !requests_[r].isolated)) {
        Stop(r);
        Submit(r);
      }
    }
  }

  void Arrive(const Sha256Digest& digest, bool crashing) {
    const int d =
        static_cast<int>(crashing ? submissions_ % kDaemons : random_.UniformInt(kDaemons));
    requests_.push_back(
        {.digest = digest,
         .daemon = d,
         .crashing = crashing,
         .work = crashing ? kCrashAfter : FromSeconds(0.2 + random_.Exponential(1.8)),
         .arrived = queue_.now()});
    Submit(requests_.size() - 1);
  }

  void SubmitCrashingRequest() {
    if (submissions_ >= kMaxSubmissions) {
      return;
    }
    Arrive(ComputeSha256("crasher"), true);
    ++submissions_;
    if (options_.resends_without_waiting) {
      queue_.After(100ms, [this] { SubmitCrashingRequest(); });
    }
  }

  void Abandon(std::size_t r) {
    requests_[r].abandoned = true;
    if (requests_[r].crashing && !options_.resends_without_waiting) {
      queue_.After(10ms, [this] { SubmitCrashingRequest(); });
    }
  }

  void Submit(std::size_t r) {
    Request& request = requests_[r];
    Daemon& daemon = daemons_[request.daemon];
    const CrashDecision decision = options_.use_tracker
                                       ? daemon.tracker.Decide(request.digest, queue_.now())
                                       : CrashDecision::kRun;
    const bool late = queue_.now() - request.arrived > kRequestTimeout;
    if (decision == CrashDecision::kRefuse || request.failures >= kMaxAttempts || late) {
      Abandon(r);
      return;
    }
    if (decision == CrashDecision::kWait) {
      queue_.After(500ms, [this, r] { Submit(r); });
      return;
    }
    (decision == CrashDecision::kRunIsolated ? daemon.suspects : daemon.waiting).push_back(r);
  }

  void Poll(int d) {
    queue_.After(20ms, [this, d] {
      Daemon& daemon = daemons_[d];
      std::deque<std::size_t> waiting;
      waiting.swap(daemon.waiting);
      for (const std::size_t r : waiting) {
        const int u = LeastLoaded(d);
        if (u < 0) {
          daemon.waiting.push_back(r);
        } else {
          Start(r, u, false);
        }
      }
      if (!daemon.suspects.empty()) {
        StartIsolated(d);
      }
      Poll(d);
    });
  }

  int LeastLoaded(int d) {
    int best = -1;
    for (int n = 0; n < kUpstreams; ++n) {
      const int u = static_cast<int>((n + random_.UniformInt(kUpstreams)) % kUpstreams);
      const Upstream& upstream = upstreams_[u];
      if (upstream.alive && upstream.running.size() < kSlots &&
          !daemons_[d].tracker.IsIsolated(Name(u), queue_.now()) &&
          (best < 0 || upstream.running.size() < upstreams_[best].running.size())) {
        best = u;
      }
    }
    return best;
  }

  void StartIsolated(int d) {
    Daemon& daemon = daemons_[d];
    std::vector<IsolationCandidate> candidates;
    for (int u = 0; u < kUpstreams; ++u) {
      if (upstreams_[u].alive) {
        candidates.push_back({Name(u), upstreams_[u].running.size()});
      }
    }
    const auto isolation =
        daemon.tracker.Isolate(daemon.name, kUpstreams, candidates, queue_.now());
    if (!isolation) {
      return;
    }
    const std::size_t r = daemon.suspects.front();
    daemon.suspects.pop_front();
    int u = 0;
    while (Name(u) != isolation->upstream) {
      ++u;
    }
    GossipIsolation(d, {isolation->upstream, daemon.name, true});
    MoveRequests(d, u, false);
    queue_.At(isolation->start, [=, this] {
      // Another mark may have arrived, or another daemon may have reserved the upstream.
      const bool isolated = daemons_[d].tracker.Decide(requests_[r].digest, queue_.now()) ==
                            CrashDecision::kRunIsolated;
      if (isolated && upstreams_[u].alive && upstreams_[u].running.empty()) {
        Start(r, u, true);
      } else {
        EndIsolation(d, u);
        Submit(r);
      }
    });
  }

  void EndIsolation(int d, int u) {
    daemons_[d].tracker.EndIsolation(Name(u));
    GossipIsolation(d, {Name(u), daemons_[d].name, false});
  }

  void Start(std::size_t r, int u, bool isolated) {
    Request& request = requests_[r];
    request.upstream = u;
    request.isolated = isolated;
    request.started = queue_.now();
    upstreams_[u].running.insert(r);
    const int attempt = ++request.attempt;
    queue_.After(request.work, [=, this] {
      if (requests_[r].attempt != attempt) {
        return;
      }
      if (requests_[r].crashing) {
        ++result_.upstreams_crashed;
        FailUpstream(u, FailureCause::kUnknown);
      } else {
        Finish(r);
      }
    });
  }

  // Removes a request from its upstream and keeps its progress.
  void Stop(std::size_t r) {
    Request& request = requests_[r];
    ++request.attempt;
    upstreams_[request.upstream].running.erase(r);
    if (!request.crashing) {
      request.work -= queue_.now() - request.started;
    }
    if (request.isolated) {
      EndIsolation(request.daemon, request.upstream);
    }
    request.isolated = false;
  }

  void Finish(std::size_t r) {
    Request& request = requests_[r];
    const Duration ideal = request.work;
    Stop(r);
    request.finished = true;
    if (options_.use_tracker) {
      GossipMarks(request.daemon,
                  daemons_[request.daemon].tracker.OnCompleted(request.digest, queue_.now()));
    }
    const double delay = ToSeconds(queue_.now() - request.arrived - ideal);
    result_.longest_delay = std::max(result_.longest_delay, delay);
  }

  void FailUpstream(int u, FailureCause cause) {
    if (!upstreams_[u].alive) {
      return;
    }
    upstreams_[u].alive = false;
    queue_.After(10s, [this, u] { upstreams_[u].alive = true; });
    const std::set<std::size_t> running = upstreams_[u].running;
    std::map<int, std::vector<Sha256Digest>> by_daemon;
    for (const std::size_t r : running) {
      by_daemon[requests_[r].daemon].push_back(requests_[r].digest);
      Stop(r);
      // With the tracker, an upstream failure does not count as a failed attempt of the request.
      requests_[r].failures += options_.use_tracker ? 0 : 1;
    }
    for (const auto& [d, digests] : by_daemon) {
      GossipMarks(d, daemons_[d].tracker.OnUpstreamFailed(Name(u), digests, cause, queue_.now()));
    }
    for (const std::size_t r : running) {
      Submit(r);
    }
  }

  void LoseVm(bool has_notice) {
    const int u = static_cast<int>(random_.UniformInt(kUpstreams));
    const auto report_cause = [=, this] {
      for (int d = 0; d < kDaemons; ++d) {
        CrashTracker& tracker = daemons_[d].tracker;
        GossipMarks(d, has_notice ? tracker.OnNotice(Name(u), queue_.now())
                                  : tracker.OnVmGone(Name(u), queue_.now()));
      }
    };
    if (has_notice) {
      report_cause();
    } else {
      // The VM list is delayed.
      queue_.After(3s + FromSeconds(random_.UniformReal() * 5), report_cause);
    }
    FailUpstream(u, FailureCause::kUnknown);
  }

  CrashCase options_;
  Random random_;
  EventQueue queue_;
  std::vector<Daemon> daemons_;
  std::vector<Upstream> upstreams_;
  std::deque<Request> requests_;
  int submissions_ = 0;
  CrashResult result_;
};

void MeasureCase(const char* name, bool resends_without_waiting, bool reclaims) {
  std::vector<Sample> crashed;
  std::vector<Sample> lost;
  std::vector<Sample> delay;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const CrashResult before =
        CrashSimulation({seed, false, resends_without_waiting, reclaims}).Run();
    const CrashResult after =
        CrashSimulation({seed, true, resends_without_waiting, reclaims}).Run();
    crashed.push_back({1.0 * before.upstreams_crashed, 1.0 * after.upstreams_crashed, seed});
    lost.push_back({1.0 * before.others_lost, 1.0 * after.others_lost, seed});
    delay.push_back({before.longest_delay, after.longest_delay, seed});
  }
  const std::string prefix = name;
  PrintSamples("crashing-request", prefix + ": upstreams lost", "upstreams", crashed);
  PrintSamples("crashing-request", prefix + ": other requests lost", "requests", lost);
  PrintSamples("crashing-request", prefix + ": longest delay of another request", "s", delay);
}

}  // namespace

void MeasureCrashingRequest() {
  MeasureCase("resent after each failure", false, false);
  MeasureCase("resent after each failure, VMs lost besides", false, true);
  MeasureCase("resent each 100 ms", true, false);
}

}  // namespace savoryglade
