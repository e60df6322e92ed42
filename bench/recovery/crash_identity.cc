#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "bench/recovery/measures.h"
#include "core/random.h"
#include "recovery/crash_registry.h"

namespace savoryglade {
namespace {

constexpr Duration kLength = 100s;
constexpr Duration kStep = 5ms;
constexpr Duration kRunTime = 80ms;
constexpr std::uint64_t kOnlyPath = 1;
constexpr std::uint64_t kFirstQuery = 1000;
constexpr std::uint64_t kSeeds = 20;

// Which records of a crashing request are kept. A path that is answered either loses its record, or
// also gets none while the answer is remembered.
enum class Identity { kRequest, kPath, kRequestAndPath, kRequestAndUnansweredPath };

struct Pattern {
  const char* name;
  // Crashing and healthy requests per second, all of one path.
  double crashing_rate = 0;
  double healthy_rate = 0;
  // Each crashing request has a query of its own, instead of the same one.
  bool varies_query = false;
  // Three upstreams end together with what they run.
  bool upstreams_lost = false;
};

struct Outcome {
  int crashes = 0;
  int healthy = 0;
  int healthy_refused = 0;
};

struct RunningRequest {
  TimePoint ends;
  std::uint64_t query = 0;
  std::uint64_t upstream = 0;
  bool crashing = false;
};

// Crash records of the fleet, as if it were one daemon.
class Records {
 public:
  explicit Records(Identity identity)
      : identity_(identity),
        paths_(identity == Identity::kRequestAndUnansweredPath ? kPathCrashPolicy
                                                               : kRequestCrashPolicy) {}

  bool IsRefused(std::uint64_t query, TimePoint now) const {
    return (uses_requests() && requests_.IsRefused(query, now)) ||
           (uses_paths() && paths_.IsRefused(kOnlyPath, now));
  }
  void OnLoss(std::uint64_t query, std::uint64_t upstream, TimePoint now) {
    requests_.OnLoss(query, upstream, now);
    paths_.OnLoss(kOnlyPath, upstream, now);
  }
  void OnAnswer(std::uint64_t query, TimePoint now) {
    requests_.OnAnswer(query, now);
    paths_.OnAnswer(kOnlyPath, now);
  }

 private:
  bool uses_requests() const { return identity_ != Identity::kPath; }
  bool uses_paths() const { return identity_ != Identity::kRequest; }

  Identity identity_;
  CrashRegistry requests_;
  CrashRegistry paths_;
};

// Plays a pattern against one registry, as in a fleet whose daemons are in touch.
Outcome Play(const Pattern& pattern, Identity identity, std::uint64_t seed) {
  constexpr std::uint64_t kUpstreams = 12;
  constexpr std::uint64_t kLostUpstreams = 3;
  constexpr std::uint64_t kHealthyQueries = 200;
  Random random(seed);
  Records records(identity);
  std::deque<RunningRequest> running;
  Outcome outcome;
  std::uint64_t next_query = kFirstQuery + kHealthyQueries;
  std::uint64_t next_process = kUpstreams;
  const TimePoint begin(100s);
  const TimePoint loss_at = begin + kLength / 2;
  const auto send = [&](std::uint64_t query, bool crashing, TimePoint now) {
    const bool refused = records.IsRefused(query, now);
    if (!refused) {
      running.push_back({.ends = now + kRunTime,
                         .query = query,
                         .upstream = crashing ? ++next_process : random.UniformInt(kUpstreams),
                         .crashing = crashing});
    }
    return !refused;
  };
  for (TimePoint now = begin; now < begin + kLength; now += kStep) {
    if (random.Bernoulli(pattern.crashing_rate * ToSeconds(kStep))) {
      outcome.crashes += send(pattern.varies_query ? ++next_query : kFirstQuery, true, now) ? 1 : 0;
    }
    if (random.Bernoulli(pattern.healthy_rate * ToSeconds(kStep))) {
      ++outcome.healthy;
      const std::uint64_t query = kFirstQuery + 1 + random.UniformInt(kHealthyQueries);
      outcome.healthy_refused += send(query, false, now) ? 0 : 1;
    }
    if (pattern.upstreams_lost && now <= loss_at && loss_at < now + kStep) {
      std::erase_if(running, [&](const RunningRequest& request) {
        if (request.upstream >= kLostUpstreams) {
          return false;
        }
        records.OnLoss(request.query, request.upstream, now);
        return true;
      });
    }
    for (; !running.empty() && running.front().ends <= now; running.pop_front()) {
      const RunningRequest& request = running.front();
      if (request.crashing) {
        records.OnLoss(request.query, request.upstream, now);
      } else {
        records.OnAnswer(request.query, now);
      }
    }
  }
  return outcome;
}

void MeasureAgainst(const Pattern& pattern, Identity baseline, const char* baseline_name) {
  std::vector<Sample> crashes;
  std::vector<Sample> refused;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome before = Play(pattern, baseline, seed);
    const Outcome ours = Play(pattern, Identity::kRequestAndUnansweredPath, seed);
    crashes.push_back({.baseline = static_cast<double>(before.crashes),
                       .ours = static_cast<double>(ours.crashes),
                       .seed = seed});
    const auto share = [](const Outcome& outcome) {
      return outcome.healthy == 0 ? 0 : 1.0 * outcome.healthy_refused / outcome.healthy;
    };
    refused.push_back({.baseline = share(before), .ours = share(ours), .seed = seed});
  }
  const std::string name = std::string(pattern.name) + ", baseline " + baseline_name;
  PrintSamples("crash-identity", name, "upstreams ended", crashes);
  PrintSamples("crash-identity", name, "healthy requests refused", refused);
}

}  // namespace

void MeasureCrashIdentity() {
  constexpr Pattern kPatterns[] = {
      {.name = "other query each time", .crashing_rate = 3, .varies_query = true},
      {.name = "same query", .crashing_rate = 3},
      {.name = "same query, others of the path answered", .crashing_rate = 3, .healthy_rate = 5},
      {.name = "other query each time, others of the path answered",
       .crashing_rate = 3,
       .healthy_rate = 5,
       .varies_query = true},
      {.name = "no crashing request, 3 of 12 upstreams lost",
       .healthy_rate = 50,
       .upstreams_lost = true},
      {.name = "no crashing request, quiet path, 3 of 12 upstreams lost",
       .healthy_rate = 5,
       .upstreams_lost = true},
  };
  for (const Pattern& pattern : kPatterns) {
    MeasureAgainst(pattern, Identity::kRequest, "request");
    MeasureAgainst(pattern, Identity::kPath, "path");
    MeasureAgainst(pattern, Identity::kRequestAndPath, "request and path");
  }
}

}  // namespace savoryglade
