#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/time.h"
#include "scheduling/service_queue.h"

namespace savoryglade {

// Properties of a request that decide when it is sent to an upstream.
struct AdmissionRequest {
  Ticket ticket = 0;
  // 0 is the most urgent.
  int rank = 0;
  // Predicted work in the unit of the service: uncached prompt tokens, or 1 for a call.
  double cost = 1;
  // Time from the arrival within which the first event, or the answer, has its full benefit.
  Duration objective = 1s;
  TimePoint arrived{};
  // Hash that decides between requests of the same rank and cost, so that some of them are served.
  std::uint64_t spread = 0;

  friend auto operator<=>(const AdmissionRequest&, const AdmissionRequest&) = default;
};

// Load of a service, as far as a daemon knows it.
struct ServiceLoad {
  // Expected time until the first event of an empty prompt; zero for a plain service.
  Duration delay = Duration::zero();
  // Time per unit of cost, in seconds.
  double cost_s = 0;
  // Fraction of the upstreams' places that are taken, and time of the work that waits at an
  // upstream, in seconds.
  double place_use = 0;
  double waiting_s = 0;
  // Whether an upstream accepts another request.
  bool has_place = true;

  friend auto operator<=>(const ServiceLoad&, const ServiceLoad&) = default;
};

enum class AdmissionVerdict : std::uint8_t { kStart, kWait, kRefuse };

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kStart;
  // Predicted time until such a request would be served; only for a refusal.
  Duration retry_after = Duration::zero();

  friend auto operator<=>(const AdmissionDecision&, const AdmissionDecision&) = default;
};

struct AdmissionOptions {
  // Requests that may wait; bounds memory. The limit by predicted work rejects earlier.
  std::size_t max_waiting = 64;
  // Longest wait as a fraction of the request's objective.
  double max_wait_fraction = 0.4;
  // Delays, as fractions of the tightest objective in recent demand, up to which the least urgent
  // and the most urgent work is sent.
  double min_pressure = 0.4;
  double max_pressure = 0.8;
  // Place use from which, and waiting work, as a fraction of the tightest objective, from which a
  // delay is caused by load. A service may be slow without any.
  double min_place_use = 0.5;
  double min_waiting_fraction = 0.1;
  // Fraction of the served work that is given to requests whatever the delay, and fraction of the
  // requests among which these are drawn, so that no class starves.
  double guaranteed_work = 0.1;
  double guaranteed_requests = 0.2;
  // Averaging time of the demand and of the work that is served.
  Duration demand_window = 3s;
  Duration served_window = 2s;
  Duration min_retry_after = 200ms;
  Duration max_retry_after = 4s;
};

// Admits the requests of one service at one daemon. While the engines keep up, each request starts
// at once. When the delay before first events grows, the requests that give least for their work
// are held back first: those of less urgent ranks, within a rank the more expensive ones. The delay
// then stays at a level at which the others are on time. A request that is held back waits only if
// it can be expected to start early enough; otherwise it is refused at once. Not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionOptions options) : options_(options) {}

  // Decides on a new request. One that waits is in the queue until Release or Expire returns it, or
  // Remove removes it.
  AdmissionDecision Offer(const AdmissionRequest& request, const ServiceLoad& load, TimePoint now);

  // Removes and returns the waiting requests that start now, most urgent first.
  std::vector<Ticket> Release(const ServiceLoad& load, TimePoint now);

  // Removes and returns the requests that have waited for as long as is useful.
  std::vector<Ticket> Expire(TimePoint now);

  // Removes a waiting request. Returns false if it does not wait.
  bool Remove(Ticket ticket);

  // Records that an upstream began to answer a request of this cost.
  void OnServed(double cost, TimePoint now);

  // Records a refused request and returns the predicted time until such a request would be served.
  Duration RefusalDelay(const AdmissionRequest& request, const ServiceLoad& load, TimePoint now);

  std::size_t waiting() const { return waiting_.size(); }

 private:
  // Place in the queue: by rank, then by arrival; cheaper requests may pass others that arrived
  // earlier by less than the longest wait.
  using Position = std::tuple<int, TimePoint, Ticket>;

  struct Waiting {
    AdmissionRequest request;
    // Fraction of the recent demand that is served before the request; see OrderOf.
    double order = 0;
    Position position;
    TimePoint leaves_at{};
  };
  // Recent demand of one rank, or of one objective; each sum decays with the demand window.
  struct Demand {
    double requests = 0;
    double cost = 0;
    TimePoint updated_at{};
  };

  void RecordDemand(const AdmissionRequest& request, TimePoint now);
  void AddDemand(Demand& demand, double cost, TimePoint now) const;
  Demand DemandAt(const Demand& demand, TimePoint now) const;
  // Returns a number in [0, 1) that grows with the cost, compared with the mean of the rank.
  double OrderWithinRank(const AdmissionRequest& request, const Demand& own) const;
  // Returns the fraction of the recent demand, by cost, that is served before the request.
  double OrderOf(const AdmissionRequest& request, TimePoint now) const;
  // Returns the tightest objective in the recent demand.
  Duration TightestObjective(TimePoint now) const;
  // Returns the longest delay at which a request with this order is sent.
  Duration DelayLimit(double order, const ServiceLoad& load, TimePoint now) const;
  bool IsGuaranteed(const AdmissionRequest& request) const;
  bool MayStart(const Waiting& candidate, const ServiceLoad& load, TimePoint now) const;
  // Returns true if a waiting request precedes the candidate and may start.
  bool IsPreceded(const Waiting& candidate, const ServiceLoad& load, TimePoint now) const;
  // Charges a request that starts only because of the guarantee.
  void OnStarted(const Waiting& started, const ServiceLoad& load, TimePoint now);
  bool CanWait(const Waiting& candidate, const ServiceLoad& load, TimePoint now) const;
  // Returns the recently served cost per second.
  double ServedRate(TimePoint now) const;
  void Erase(Ticket ticket);

  AdmissionOptions options_;
  std::unordered_map<Ticket, Waiting> waiting_;
  // Waiting requests in the order in which they start, and in that in which they leave.
  std::set<Position> by_position_;
  std::set<std::pair<TimePoint, Ticket>> by_leave_time_;
  double waiting_cost_ = 0;
  std::map<int, Demand> demand_;
  std::map<Duration, Demand> demand_by_objective_;
  double served_ = 0;
  TimePoint served_at_{};
  // Cost that may start whatever the delay.
  double guaranteed_credit_ = 0;
  // Cost that may be released in addition to one request for each release interval.
  double release_credit_ = 0;
  TimePoint released_at_{};
  // Cost of refused requests that have been told when to return.
  double deferred_cost_ = 0;
  TimePoint deferred_at_{};
};

}  // namespace savoryglade
