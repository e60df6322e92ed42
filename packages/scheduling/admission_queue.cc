#include "scheduling/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace savoryglade {
namespace {

// Objectives of a smaller fraction of the recent requests do not limit the delay.
constexpr double kMinDemandFraction = 0.1;
// Objectives whose recent demand is tracked; routes have few different ones.
constexpr std::size_t kMaxObjectives = 32;
// Weight of the cost, against chance, in the order of requests of one rank.
constexpr double kCostWeight = 0.8;
// Waiting work that may start for each unit of work that was served. Above 1, so that the queue
// empties when the service recovers.
constexpr double kReleasePerServed = 2;
// Work that may be released at once, as seconds of the served rate.
constexpr double kMaxReleaseBurstSeconds = 0.1;
// One waiting request may start in each such interval although nothing was served.
constexpr Duration kReleaseInterval = 25ms;

double Decay(Duration elapsed, Duration window) {
  return std::exp(-ToSeconds(std::max(elapsed, Duration::zero())) / ToSeconds(window));
}

// Maps a hash to [0, 1).
double UnitInterval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }

}  // namespace

AdmissionQueue::Demand AdmissionQueue::DemandAt(const Demand& demand, TimePoint now) const {
  const double left = Decay(now - demand.updated_at, options_.demand_window);
  return {.requests = demand.requests * left, .cost = demand.cost * left, .updated_at = now};
}

void AdmissionQueue::AddDemand(Demand& demand, double cost, TimePoint now) const {
  demand = DemandAt(demand, now);
  demand.requests += 1;
  demand.cost += cost;
}

void AdmissionQueue::RecordDemand(const AdmissionRequest& request, TimePoint now) {
  AddDemand(demand_[request.rank], request.cost, now);
  AddDemand(demand_by_objective_[request.objective], request.cost, now);
  if (demand_by_objective_.size() > kMaxObjectives) {
    constexpr double kForgottenRequests = 0.1;
    std::erase_if(demand_by_objective_, [&](const auto& entry) {
      return DemandAt(entry.second, now).requests < kForgottenRequests;
    });
  }
}

double AdmissionQueue::OrderWithinRank(const AdmissionRequest& request, const Demand& own) const {
  const double mean_cost = own.requests > 0 ? own.cost / own.requests : request.cost;
  const double by_cost = request.cost / std::max(request.cost + mean_cost, 1e-9);
  return kCostWeight * by_cost + (1 - kCostWeight) * UnitInterval(request.spread);
}

double AdmissionQueue::OrderOf(const AdmissionRequest& request, TimePoint now) const {
  double total = 0;
  double before = 0;
  Demand own;
  for (const auto& [rank, recorded] : demand_) {
    const Demand demand = DemandAt(recorded, now);
    total += demand.cost;
    before += rank < request.rank ? demand.cost : 0;
    if (rank == request.rank) {
      own = demand;
    }
  }
  if (total <= 0 || own.requests <= 0) {
    return 0;
  }
  return (before + own.cost * OrderWithinRank(request, own)) / total;
}

Duration AdmissionQueue::TightestObjective(TimePoint now) const {
  double requests = 0;
  for (const auto& [objective, demand] : demand_by_objective_) {
    requests += DemandAt(demand, now).requests;
  }
  for (const auto& [objective, demand] : demand_by_objective_) {
    if (DemandAt(demand, now).requests >= kMinDemandFraction * requests) {
      return objective;
    }
  }
  return Duration::zero();
}

Duration AdmissionQueue::DelayLimit(double order, const ServiceLoad& load, TimePoint now) const {
  const double tightest = ToSeconds(TightestObjective(now));
  const bool is_loaded = load.place_use >= options_.min_place_use ||
                         load.waiting_s >= options_.min_waiting_fraction * tightest;
  if (!is_loaded) {
    return load.delay;
  }
  const double pressure =
      options_.max_pressure - (options_.max_pressure - options_.min_pressure) * order;
  return FromSeconds(tightest * pressure);
}

bool AdmissionQueue::IsGuaranteed(const AdmissionRequest& request) const {
  return guaranteed_credit_ > 0 && UnitInterval(request.spread) < options_.guaranteed_requests;
}

bool AdmissionQueue::MayStart(const Waiting& candidate, const ServiceLoad& load,
                              TimePoint now) const {
  return load.has_place &&
         (load.delay <= DelayLimit(candidate.order, load, now) || IsGuaranteed(candidate.request));
}

bool AdmissionQueue::IsPreceded(const Waiting& candidate, const ServiceLoad& load,
                                TimePoint now) const {
  for (const Position& position : by_position_) {
    if (position > candidate.position) {
      return false;
    }
    if (MayStart(waiting_.at(std::get<Ticket>(position)), load, now)) {
      return true;
    }
  }
  return false;
}

void AdmissionQueue::OnStarted(const Waiting& started, const ServiceLoad& load, TimePoint now) {
  if (load.delay > DelayLimit(started.order, load, now)) {
    guaranteed_credit_ -= started.request.cost;
  }
}

bool AdmissionQueue::CanWait(const Waiting& candidate, const ServiceLoad& load,
                             TimePoint now) const {
  if (waiting_.size() >= options_.max_waiting) {
    return false;
  }
  double ahead = 0;
  for (const Position& position : by_position_) {
    if (position > candidate.position) {
      break;
    }
    ahead += waiting_.at(std::get<Ticket>(position)).request.cost;
  }
  const double rate = ServedRate(now);
  if (ahead > 0 && rate <= 0) {
    return false;
  }
  // Without new work the delay falls by a second each second.
  const Duration until_limit =
      std::max(load.delay - DelayLimit(candidate.order, load, now), Duration::zero());
  const Duration behind_others = rate > 0 ? FromSeconds(ahead / rate) : Duration::zero();
  return now + std::max(until_limit, behind_others) < candidate.leaves_at;
}

AdmissionDecision AdmissionQueue::Offer(const AdmissionRequest& request, const ServiceLoad& load,
                                        TimePoint now) {
  RecordDemand(request, now);
  Waiting candidate{.request = request, .order = OrderOf(request, now)};
  const Duration max_wait = FromSeconds(ToSeconds(request.objective) * options_.max_wait_fraction);
  const double within_rank = OrderWithinRank(request, demand_.at(request.rank));
  candidate.position = {request.rank, now + FromSeconds(ToSeconds(max_wait) * within_rank),
                        request.ticket};
  const Duration own_time = FromSeconds(request.cost * load.cost_s);
  const Duration delay_at_start = std::min(load.delay, DelayLimit(candidate.order, load, now));
  candidate.leaves_at =
      request.arrived + std::min(max_wait, request.objective - own_time - delay_at_start);
  if (MayStart(candidate, load, now) && !IsPreceded(candidate, load, now)) {
    OnStarted(candidate, load, now);
    return {.verdict = AdmissionVerdict::kStart};
  }
  if (!CanWait(candidate, load, now)) {
    return {.verdict = AdmissionVerdict::kRefuse, .retry_after = RefusalDelay(request, load, now)};
  }
  by_position_.insert(candidate.position);
  by_leave_time_.emplace(candidate.leaves_at, request.ticket);
  waiting_cost_ += request.cost;
  waiting_.emplace(request.ticket, candidate);
  return {.verdict = AdmissionVerdict::kWait};
}

std::vector<Ticket> AdmissionQueue::Release(const ServiceLoad& load, TimePoint now) {
  std::vector<Ticket> released;
  for (auto next = by_position_.begin(); next != by_position_.end();) {
    const Waiting first = waiting_.at(std::get<Ticket>(*next));
    ++next;
    if (release_credit_ <= 0 && now - released_at_ < kReleaseInterval) {
      break;
    }
    if (!MayStart(first, load, now)) {
      continue;
    }
    release_credit_ -= first.request.cost;
    released_at_ = now;
    OnStarted(first, load, now);
    released.push_back(first.request.ticket);
    Erase(first.request.ticket);
  }
  return released;
}

std::vector<Ticket> AdmissionQueue::Expire(TimePoint now) {
  std::vector<Ticket> expired;
  while (!by_leave_time_.empty() && by_leave_time_.begin()->first <= now) {
    expired.push_back(by_leave_time_.begin()->second);
    Erase(expired.back());
  }
  return expired;
}

bool AdmissionQueue::Remove(Ticket ticket) {
  if (!waiting_.contains(ticket)) {
    return false;
  }
  Erase(ticket);
  return true;
}

void AdmissionQueue::Erase(Ticket ticket) {
  const auto found = waiting_.find(ticket);
  by_position_.erase(found->second.position);
  by_leave_time_.erase({found->second.leaves_at, ticket});
  waiting_cost_ -= found->second.request.cost;
  waiting_.erase(found);
}

double AdmissionQueue::ServedRate(TimePoint now) const {
  return served_ * Decay(now - served_at_, options_.served_window) /
         ToSeconds(options_.served_window);
}

void AdmissionQueue::OnServed(double cost, TimePoint now) {
  served_ = served_ * Decay(now - served_at_, options_.served_window) + cost;
  served_at_ = std::max(served_at_, now);
  guaranteed_credit_ = std::min(guaranteed_credit_ + options_.guaranteed_work * cost,
                                ServedRate(now) * options_.guaranteed_work);
  release_credit_ = std::min(release_credit_ + kReleasePerServed * cost,
                             std::max(ServedRate(now) * kMaxReleaseBurstSeconds, cost));
}

Duration AdmissionQueue::RefusalDelay(const AdmissionRequest& request, const ServiceLoad& load,
                                      TimePoint now) {
  const double rate = ServedRate(now);
  const double drained = rate * ToSeconds(std::max(now - deferred_at_, Duration::zero()));
  deferred_cost_ = std::max(deferred_cost_ - drained, 0.0);
  deferred_at_ = now;
  const double ahead = waiting_cost_ + deferred_cost_;
  const Duration until_limit =
      std::max(load.delay - DelayLimit(OrderOf(request, now), load, now), Duration::zero());
  Duration delay = until_limit;
  if (rate > 0) {
    delay += FromSeconds(ahead / rate);
    deferred_cost_ += request.cost;
  }
  return std::clamp(delay, options_.min_retry_after, options_.max_retry_after);
}

}  // namespace savoryglade
