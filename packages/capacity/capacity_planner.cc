#include "capacity/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace savoryglade::capacity {
namespace {

DomainCapacity CapacityIn(const CapacityPlan& plan, const FailureDomainId& domain) {
  const auto found = plan.find(domain);
  return found == plan.end() ? DomainCapacity{} : found->second;
}

// Rounds up, but ignores floating-point error.
int CeilWorkers(double workers) {
  constexpr double kRoundingError = 1e-6;
  return static_cast<int>(std::ceil(workers - kRoundingError));
}

}  // namespace

void CapacityPlanner::RecordDemand(double demand, TimePoint now) {
  std::erase_if(demand_samples_, [&](const DemandSample& sample) {
    return now - sample.at > options_.peak_window || sample.demand <= demand;
  });
  demand_samples_.push_back({.at = now, .demand = demand});
}

double CapacityPlanner::PeakDemand(Duration window, TimePoint now) const {
  double peak = 0;
  for (const DemandSample& sample : demand_samples_) {
    if (now - sample.at <= window) {
      peak = std::max(peak, sample.demand);
    }
  }
  return peak;
}

void CapacityPlanner::ReplaceAtLimit(const ScalingRule& rule, int workers, int spare,
                                     CapacityPlan& plan, TimePoint now) const {
  int missing = workers;
  for (const auto& [domain, planned] : plan) {
    missing -= planned.reclaimable;
  }
  for (auto& [domain, planned] : plan) {
    if (planned.total() < rule.max_count || IsReclaimableUnavailable(domain, now)) {
      continue;
    }
    const int replaced = std::max(0, std::min({planned.on_demand, missing, spare}));
    planned.on_demand -= replaced;
    planned.reclaimable += replaced;
    missing -= replaced;
    spare -= replaced;
  }
}

std::vector<FailureDomainId> CapacityPlanner::ByPrice(const ScalingRule& rule) {
  std::vector<FailureDomainId> domains;
  for (const auto& [domain, price] : rule.prices) {
    domains.push_back(domain);
  }
  std::ranges::stable_sort(
      domains, {}, [&rule](const FailureDomainId& domain) { return rule.prices.at(domain); });
  return domains;
}

bool CapacityPlanner::IsReclaimableUnavailable(const FailureDomainId& domain, TimePoint now) const {
  const auto found = reclaimable_unavailable_until_.find(domain);
  return found != reclaimable_unavailable_until_.end() && now < found->second;
}

CapacityPlan CapacityPlanner::Plan(const ScalingRule& rule, double demand,
                                   const CapacityPlan& serving, const CapacityPlan& ordered,
                                   TimePoint now) {
  RecordDemand(demand, now);
  const double peak = PeakDemand(options_.peak_window, now);
  const double on_demand_peak = PeakDemand(options_.on_demand_peak_window, now);
  const int workers = std::max(baseline_, CeilWorkers(peak / options_.target_utilisation));
  const int needed = std::max(CeilWorkers(on_demand_peak / options_.max_utilisation),
                              CeilWorkers(baseline_ * options_.min_baseline_fraction));
  const std::vector<FailureDomainId> domains = ByPrice(rule);
  int reclaimable = 0;
  int serving_workers = 0;
  for (const FailureDomainId& domain : domains) {
    reclaimable += CapacityIn(serving, domain).reclaimable;
    serving_workers += CapacityIn(serving, domain).total();
  }
  // Limits the on-demand workers to those that reclaimable workers have not replaced.
  int max_on_demand = std::numeric_limits<int>::max();
  if (baseline_is_final_) {
    const int release_target =
        std::max(baseline_, CeilWorkers(on_demand_peak / options_.release_utilisation));
    max_on_demand = std::max(0, release_target - reclaimable);
  }
  CapacityPlan plan;
  int unmet = 0;
  for (std::size_t i = 0; i < domains.size(); ++i) {
    const DomainCapacity serving_here = CapacityIn(serving, domains[i]);
    const auto count = static_cast<int>(domains.size());
    const int domain_target = workers / count + (static_cast<int>(i) < workers % count ? 1 : 0);
    DomainCapacity& planned = plan[domains[i]];
    // Includes workers that were ordered and are still booting.
    const int on_demand =
        std::max(serving_here.on_demand, CapacityIn(ordered, domains[i]).on_demand);
    planned.on_demand = std::min({on_demand, rule.max_count, max_on_demand});
    max_on_demand -= planned.on_demand;
    const int capacity_left = std::max(0, rule.max_count - planned.on_demand);
    // Where reclaimable workers are unavailable, the order stays as it is, and only the serving
    // workers count.
    const bool unavailable = IsReclaimableUnavailable(domains[i], now);
    const int target_reclaimable =
        unavailable
            ? std::max(serving_here.reclaimable, CapacityIn(ordered, domains[i]).reclaimable)
            : domain_target;
    planned.reclaimable = std::min(target_reclaimable, capacity_left);
    const int expected_serving =
        planned.on_demand + (unavailable ? serving_here.reclaimable : planned.reclaimable);
    unmet += std::max(0, domain_target - expected_serving);
  }
  // Distributes the workers that a domain cannot provide over the other domains.
  for (const FailureDomainId& domain : domains) {
    DomainCapacity& planned = plan[domain];
    const int added = IsReclaimableUnavailable(domain, now)
                          ? 0
                          : std::min(unmet, rule.max_count - planned.total());
    planned.reclaimable += std::max(0, added);
    unmet -= std::max(0, added);
  }
  int shortfall = needed - (workers - unmet);
  for (const FailureDomainId& domain : domains) {
    if (shortfall <= 0) {
      break;
    }
    DomainCapacity& planned = plan[domain];
    // Both kinds of workers share the limit, so a reclaimable order that cannot be met is reduced.
    const int serving_reclaimable =
        std::min(CapacityIn(serving, domain).reclaimable, planned.reclaimable);
    const int capacity_left = rule.max_count - planned.on_demand - serving_reclaimable;
    const int added = std::clamp(capacity_left, 0, shortfall);
    planned.on_demand += added;
    planned.reclaimable = std::min(planned.reclaimable, rule.max_count - planned.on_demand);
    shortfall -= added;
  }
  if (baseline_is_final_) {
    ReplaceAtLimit(rule, workers, serving_workers - needed, plan, now);
  }
  for (auto& [domain, planned] : plan) {
    planned.on_demand += std::max(0, rule.min_count - planned.total());
  }
  return plan;
}

}  // namespace savoryglade::capacity
