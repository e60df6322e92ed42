#include "capacity/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace savoryglade::capacity {
namespace {

DomainCapacity Of(const CapacityPlan& plan, const FailureDomainId& domain) {
  const auto found = plan.find(domain);
  return found == plan.end() ? DomainCapacity{} : found->second;
}

// Rounds up, except for what binary fractions leave behind.
int CeilWorkers(double workers) {
  constexpr double kRoundingError = 1e-6;
  return static_cast<int>(std::ceil(workers - kRoundingError));
}

}  // namespace

double CapacityPlanner::PeakDemand(double demand, TimePoint now) {
  std::erase_if(peaks_, [&](const Peak& peak) {
    return now - peak.at > options_.peak_memory || peak.demand <= demand;
  });
  peaks_.push_back({.at = now, .demand = demand});
  return std::ranges::max_element(peaks_, {}, &Peak::demand)->demand;
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

bool CapacityPlanner::IsDry(const FailureDomainId& domain, TimePoint now) const {
  const auto dry = dry_until_.find(domain);
  return dry != dry_until_.end() && now < dry->second;
}

CapacityPlan CapacityPlanner::Plan(const ScalingRule& rule, double demand,
                                   const CapacityPlan& serving, const CapacityPlan& ordered,
                                   TimePoint now) {
  const double peak = PeakDemand(demand, now);
  const int workers = std::max(baseline_, CeilWorkers(peak / options_.target_utilisation));
  const int needed = std::max(CeilWorkers(peak / options_.highest_utilisation),
                              CeilWorkers(baseline_ * options_.least_of_baseline));
  const std::vector<FailureDomainId> domains = ByPrice(rule);
  int reclaimable = 0;
  for (const FailureDomainId& domain : domains) {
    reclaimable += Of(serving, domain).reclaimable;
  }
  // On-demand workers beyond these have been replaced.
  int kept = std::numeric_limits<int>::max();
  if (baseline_is_final_) {
    const int enough = std::max(baseline_, CeilWorkers(peak / options_.release_utilisation));
    kept = std::max(0, enough - reclaimable);
  }
  CapacityPlan plan;
  int missing = 0;
  for (std::size_t i = 0; i < domains.size(); ++i) {
    const DomainCapacity there = Of(serving, domains[i]);
    const auto count = static_cast<int>(domains.size());
    const int share = workers / count + (static_cast<int>(i) < workers % count ? 1 : 0);
    DomainCapacity& planned = plan[domains[i]];
    // Ordered ones that still boot count as well.
    const int on_demand = std::max(there.on_demand, Of(ordered, domains[i]).on_demand);
    planned.on_demand = std::min({on_demand, rule.max_count, kept});
    kept -= planned.on_demand;
    const int room = std::max(0, rule.max_count - planned.on_demand);
    // An order in a dry domain stays as it is, and only what serves there counts.
    const bool dry = IsDry(domains[i], now);
    const int wanted =
        dry ? std::max(there.reclaimable, Of(ordered, domains[i]).reclaimable) : share;
    planned.reclaimable = std::min(wanted, room);
    const int expected = planned.on_demand + (dry ? there.reclaimable : planned.reclaimable);
    missing += std::max(0, share - expected);
  }
  // What a domain can't give, the others do.
  for (const FailureDomainId& domain : domains) {
    DomainCapacity& planned = plan[domain];
    const int added = IsDry(domain, now) ? 0 : std::min(missing, rule.max_count - planned.total());
    planned.reclaimable += std::max(0, added);
    missing -= std::max(0, added);
  }
  int short_of_need = needed - (workers - missing);
  for (const FailureDomainId& domain : domains) {
    if (short_of_need <= 0) {
      break;
    }
    DomainCapacity& planned = plan[domain];
    // Both kinds share the limit, so an order that can't be met makes room.
    const int serving_there = std::min(Of(serving, domain).reclaimable, planned.reclaimable);
    const int room = rule.max_count - planned.on_demand - serving_there;
    const int added = std::clamp(room, 0, short_of_need);
    planned.on_demand += added;
    planned.reclaimable = std::min(planned.reclaimable, rule.max_count - planned.on_demand);
    short_of_need -= added;
  }
  for (auto& [domain, planned] : plan) {
    planned.on_demand += std::max(0, rule.min_count - planned.total());
  }
  return plan;
}

}  // namespace savoryglade::capacity
