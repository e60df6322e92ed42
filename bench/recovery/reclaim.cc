#include <algorithm>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "bench/recovery/measures.h"
#include "core/event_queue.h"
#include "core/random.h"
#include "recovery/reclaim_planner.h"

namespace savoryglade {
namespace {

constexpr int kDomains = 4;
constexpr int kUpstreamsPerDomain = 5;
constexpr std::size_t kSlots = 16;
constexpr double kSlotUtilization = 0.8;
constexpr double kTokensPerSecond = 30;
constexpr double kMeanTokens = 400;
constexpr double kPrefillTokensPerSecond = 8000;
constexpr std::uint64_t kKvBytesPerToken = 160 * 1024;
constexpr double kLinkBytesPerSecond = 1.25e9;
constexpr Duration kReplanInterval = 250ms;
const ServiceId kService("assistant");

struct ReclaimCase {
  std::uint64_t seed = 1;
  bool use_planner = true;
  Duration notice = 10s;
  // Memory for KV caches, in tokens per slot. A request has about 2,100 tokens.
  int kv_tokens_per_slot = 4000;
  // Each notice is repeated 3 s later, and once more after the VMs are gone.
  bool repeat_notices = true;
};

struct ReclaimResult {
  double recomputed = 0;
  int lost = 0;
  int run_twice = 0;
  int starts_after_notice = 0;
  int interrupted = 0;
  int parked = 0;
};

// Simulates requests that stream from upstreams in four failure domains. One domain leaves after a
// notice, and new VMs start a minute later. The baseline restarts interrupted requests from the
// beginning.
class ReclaimSimulation {
 public:
  explicit ReclaimSimulation(const ReclaimCase& options)
      : options_(options), random_(options.seed), planner_({}) {}

  ReclaimResult Run() {
    for (int u = 0; u < kDomains * kUpstreamsPerDomain; ++u) {
      upstreams_.emplace_back();
    }
    const double mean_seconds = kMeanTokens / kTokensPerSecond;
    const double rate = kSlotUtilization * kDomains * kUpstreamsPerDomain * kSlots / mean_seconds;
    for (TimePoint when{}; when < TimePoint{} + 120s;
         when += FromSeconds(random_.Exponential(1 / rate))) {
      queue_.At(when, [this] { Arrive(); });
    }
    queue_.At(TimePoint{} + 60s, [this] { StartNotice(); });
    queue_.At(TimePoint{} + 60s + options_.notice, [this] { LoseDomain(); });
    queue_.At(TimePoint{} + 130s, [this] { ReplaceDomain(); });
    queue_.RunUntil(TimePoint{} + 600s);
    for (const Request& request : requests_) {
      result_.lost += request.completions == 0 ? 1 : 0;
      result_.run_twice += request.completions > 1 ? 1 : 0;
    }
    return result_;
  }

 private:
  struct Request {
    double prompt = 0;
    double tokens = 0;
    double generated = 0;
    // Ratio of the predicted to the actual length.
    double prediction_factor = 1;
    TimePoint started;
    int upstream = -1;
    int attempt = 0;
    int completions = 0;
    bool running = false;
    bool moving = false;
    bool has_cache = false;
  };

  struct Upstream {
    // Requests that have a slot, and requests that wait for one with their KV cache already here.
    std::set<std::size_t> slots;
    std::deque<std::size_t> parked;
    double kv_bytes = 0;
    TimePoint link_busy_until;
    bool alive = true;
    bool replaced = false;
  };

  static int DomainOf(int u) { return u / kUpstreamsPerDomain; }
  static UpstreamId Name(int u) { return UpstreamId("u-" + std::to_string(100 + u)); }
  FailureDomainId Domain(int u) const {
    return FailureDomainId("domain-" + std::to_string(DomainOf(u)));
  }
  VmId Vm(int u) const {
    return VmId("vm-" + std::to_string(u) + (upstreams_[u].replaced ? "-new" : ""));
  }

  bool CanAccept(int u) const {
    return upstreams_[u].alive && !planner_.IsLeaving(Vm(u), Domain(u)) &&
           upstreams_[u].slots.size() < kSlots;
  }

  double Generated(const Request& request) const {
    return request.running
               ? std::min(request.tokens,
                          request.generated +
                              kTokensPerSecond * ToSeconds(queue_.now() - request.started))
               : request.generated;
  }

  double KvBytes(const Request& request) const {
    return (request.prompt + Generated(request)) * kKvBytesPerToken;
  }

  void Arrive() {
    requests_.push_back({.prompt = 500 + 2500 * random_.UniformReal(),
                         .tokens = 1 + random_.Exponential(kMeanTokens),
                         .prediction_factor = 0.5 + 1.5 * random_.UniformReal()});
    new_requests_.push_back(requests_.size() - 1);
    StartWaitingRequests();
  }

  // Starts waiting requests: first those that wait for a slot at their upstream, then interrupted
  // ones, then new ones.
  void StartWaitingRequests() {
    for (std::size_t u = 0; u < upstreams_.size(); ++u) {
      Upstream& upstream = upstreams_[u];
      while (upstream.alive && !upstream.parked.empty() && upstream.slots.size() < kSlots) {
        const std::size_t r = upstream.parked.front();
        upstream.parked.pop_front();
        Start(r, static_cast<int>(u));
      }
    }
    for (std::deque<std::size_t>* queue : {&interrupted_, &new_requests_}) {
      while (!queue->empty()) {
        int best = -1;
        for (int u = 0; u < static_cast<int>(upstreams_.size()); ++u) {
          if (CanAccept(u) &&
              (best < 0 || upstreams_[u].slots.size() < upstreams_[best].slots.size())) {
            best = u;
          }
        }
        if (best < 0) {
          return;
        }
        const std::size_t r = queue->front();
        queue->pop_front();
        Start(r, best);
      }
    }
  }

  void Start(std::size_t r, int u) {
    Request& request = requests_[r];
    result_.run_twice += request.running ? 1 : 0;
    result_.starts_after_notice +=
        notice_sent_ && DomainOf(u) == 0 && !upstreams_[u].replaced ? 1 : 0;
    const double prefill =
        request.has_cache ? 0 : (request.prompt + request.generated) / kPrefillTokensPerSecond;
    request.has_cache = true;
    request.upstream = u;
    request.running = true;
    request.moving = false;
    request.started = queue_.now() + FromSeconds(prefill);
    upstreams_[u].slots.insert(r);
    const int attempt = ++request.attempt;
    queue_.At(
        request.started + FromSeconds((request.tokens - request.generated) / kTokensPerSecond),
        [=, this] {
          if (requests_[r].attempt == attempt) {
            Stop(r);
            ++requests_[r].completions;
            StartWaitingRequests();
          }
        });
  }

  // Removes a request from its slot and keeps the tokens that it has delivered.
  void Stop(std::size_t r) {
    Request& request = requests_[r];
    request.generated = std::max(request.generated, Generated(request));
    request.running = false;
    ++request.attempt;
    upstreams_[request.upstream].slots.erase(r);
  }

  // Resumes a request whose KV cache is lost: its prompt and its delivered tokens are recomputed.
  void Interrupt(std::size_t r) {
    Request& request = requests_[r];
    if (request.running) {
      Stop(r);
    }
    ++request.attempt;
    request.moving = false;
    request.has_cache = false;
    ++result_.interrupted;
    result_.recomputed += request.prompt + request.generated;
    if (!options_.use_planner) {
      request.generated = 0;
    }
    interrupted_.push_back(r);
  }

  void StartNotice() {
    notice_sent_ = true;
    SendNotice();
    if (options_.repeat_notices) {
      queue_.After(3s, [this] { SendNotice(); });
      queue_.After(options_.notice + 5s, [this] { SendNotice(); });
    }
    if (options_.use_planner) {
      Replan();
    }
  }

  // The notice contains the remaining time at its creation, so a late copy appears to extend the
  // time.
  void SendNotice() {
    planner_.OnNotice({NoticeScope::kFailureDomain, "domain-0", queue_.now() + options_.notice},
                      queue_.now());
  }

  void Replan() {
    if (domain_lost_) {
      return;
    }
    const double kv_capacity =
        static_cast<double>(kSlots * kKvBytesPerToken) * options_.kv_tokens_per_slot;
    std::vector<DepartingUpstream> departing_upstreams;
    std::vector<DepartingRequest> requests;
    std::vector<Destination> destinations;
    for (int u = 0; u < static_cast<int>(upstreams_.size()); ++u) {
      const Upstream& upstream = upstreams_[u];
      double used = upstream.kv_bytes;
      for (const std::size_t r : upstream.slots) {
        used += KvBytes(requests_[r]);
      }
      for (const std::size_t r : upstream.parked) {
        used += KvBytes(requests_[r]);
      }
      if (DomainOf(u) != 0) {
        const double free = std::max(0.0, kv_capacity - used);
        const std::size_t taken = upstream.slots.size() + upstream.parked.size() + arriving_[u];
        destinations.push_back(
            {Name(u), kService, Vm(u), Domain(u), taken < kSlots ? kSlots - taken : 0,
             static_cast<std::uint64_t>(free), kLinkBytesPerSecond, upstream.link_busy_until});
        continue;
      }
      departing_upstreams.push_back(
          {Name(u), Vm(u), Domain(u), kLinkBytesPerSecond, upstream.link_busy_until});
      for (const std::size_t r : upstream.slots) {
        const Request& request = requests_[r];
        const double done = Generated(request);
        const double predicted = std::max(request.tokens * request.prediction_factor - done, 10.0);
        requests.push_back({r, kService, Name(u), static_cast<std::uint64_t>(request.prompt + done),
                            FromSeconds(predicted / kTokensPerSecond),
                            static_cast<std::uint64_t>(KvBytes(request))});
      }
    }
    for (const ReclaimStep& step :
         planner_.Plan(departing_upstreams, requests, destinations, queue_.now())) {
      if (step.begin < queue_.now() + kReplanInterval) {
        ExecuteStep(step);
      }
    }
    StartWaitingRequests();
    queue_.After(kReplanInterval, [this] { Replan(); });
  }

  void ExecuteStep(const ReclaimStep& step) {
    const std::size_t r = step.request_id;
    if (step.action == ReclaimAction::kResume) {
      Interrupt(r);
    }
    if (step.action != ReclaimAction::kMove) {
      return;
    }
    int to = 0;
    while (Name(to) != step.destination) {
      ++to;
    }
    result_.parked += step.waits_for_slot ? 1 : 0;
    const int from = requests_[r].upstream;
    upstreams_[from].link_busy_until = std::max(upstreams_[from].link_busy_until, step.end);
    upstreams_[to].link_busy_until = std::max(upstreams_[to].link_busy_until, step.end);
    ++arriving_[to];
    // The stream stops when its transfer begins, unless it has already ended.
    const int attempt = requests_[r].attempt;
    queue_.At(step.begin, [=, this] {
      if (requests_[r].attempt != attempt) {
        --arriving_[to];
        return;
      }
      const double bytes = KvBytes(requests_[r]);
      upstreams_[to].kv_bytes += bytes;
      Stop(r);
      requests_[r].moving = true;
      const int moving = requests_[r].attempt;
      queue_.At(step.end, [=, this] {
        --arriving_[to];
        upstreams_[to].kv_bytes -= bytes;
        if (requests_[r].attempt == moving) {
          upstreams_[to].parked.push_back(r);
          StartWaitingRequests();
        }
      });
    });
  }

  void LoseDomain() {
    domain_lost_ = true;
    planner_.OnGone(NoticeScope::kFailureDomain, "domain-0", queue_.now());
    for (int u = 0; u < kUpstreamsPerDomain; ++u) {
      upstreams_[u].alive = false;
      const std::set<std::size_t> running = upstreams_[u].slots;
      for (const std::size_t r : running) {
        Interrupt(r);
      }
    }
    // Transfers from the domain that have not completed are cut off.
    for (std::size_t r = 0; r < requests_.size(); ++r) {
      if (requests_[r].moving && DomainOf(requests_[r].upstream) == 0) {
        bool arrived = false;
        for (const Upstream& upstream : upstreams_) {
          arrived = arrived || std::count(upstream.parked.begin(), upstream.parked.end(), r) > 0;
        }
        if (!arrived) {
          Interrupt(r);
        }
      }
    }
    StartWaitingRequests();
  }

  void ReplaceDomain() {
    for (int u = 0; u < kUpstreamsPerDomain; ++u) {
      upstreams_[u] = {.replaced = true};
      planner_.OnStarted(Vm(u), Domain(u), queue_.now());
    }
    StartWaitingRequests();
  }

  ReclaimCase options_;
  Random random_;
  EventQueue queue_;
  ReclaimPlanner planner_;
  std::vector<Upstream> upstreams_;
  std::deque<Request> requests_;
  std::deque<std::size_t> interrupted_;
  std::deque<std::size_t> new_requests_;
  std::vector<int> arriving_ = std::vector<int>(kDomains * kUpstreamsPerDomain);
  bool notice_sent_ = false;
  bool domain_lost_ = false;
  ReclaimResult result_;
};

void MeasureNotice(const std::string& name, Duration notice, int kv_tokens_per_slot) {
  std::vector<Sample> recomputed;
  std::vector<Sample> share;
  std::vector<Sample> lost;
  std::vector<Sample> twice;
  std::vector<Sample> started_late;
  std::vector<Sample> interrupted;
  std::vector<Sample> parked;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const ReclaimResult before = ReclaimSimulation({seed, false, notice, kv_tokens_per_slot}).Run();
    const ReclaimResult after = ReclaimSimulation({seed, true, notice, kv_tokens_per_slot}).Run();
    recomputed.push_back({before.recomputed, after.recomputed, seed});
    share.push_back({100, 100 * after.recomputed / before.recomputed, seed});
    lost.push_back({1.0 * before.lost, 1.0 * after.lost, seed});
    twice.push_back({1.0 * before.run_twice, 1.0 * after.run_twice, seed});
    started_late.push_back(
        {1.0 * before.starts_after_notice, 1.0 * after.starts_after_notice, seed});
    parked.push_back({0, 1.0 * after.parked, seed});
    interrupted.push_back({1.0 * before.interrupted, 1.0 * after.interrupted, seed});
  }
  PrintSamples("reclaim", name + ": requests lost", "requests", lost);
  PrintSamples("reclaim", name + ": run twice", "requests", twice);
  PrintSamples("reclaim", name + ": started at an upstream that leaves", "requests", started_late);
  PrintSamples("reclaim", name + ": resumed without their KV cache", "requests", interrupted);
  PrintSamples("reclaim", name + ": moved before a slot was free", "requests", parked);
  PrintSamples("reclaim", name + ": recomputed tokens", "tokens", recomputed);
  PrintSamples("reclaim", name + ": recomputed tokens of the baseline", "percent", share);
}

}  // namespace

void MeasureReclaim() {
  MeasureNotice("10 s of notice", 10s, 4000);
  MeasureNotice("10 s of notice, little memory", 10s, 2200);
  MeasureNotice("3 s of notice", 3s, 4000);
}

}  // namespace savoryglade
