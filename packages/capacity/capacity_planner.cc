#include "capacity/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace savoryglade::capacity {

int CapacityPlanner::WorkersFor(double demand, TimePoint now) {
  std::erase_if(peaks_, [&](const Peak& peak) {
    return now - peak.at > options_.peak_memory || peak.demand <= demand;
  });
  peaks_.push_back({.at = now, .demand = demand});
  const auto highest = std::ranges::max_element(peaks_, {}, &Peak::demand);
  const double workers = std::ceil(highest->demand / options_.target_utilisation);
  return std::max(baseline_, static_cast<int>(workers));
}

std::vector<FailureDomainId> CapacityPlanner::ByPrice(const ScalingRule& rule) {
  std::vector<FailureDomainId> domains;
  for (const auto& [domain, price] : rule.prices) {
    domains.push_back(domain);
  }
  std::ranges::stable_sort(domains, {}, [&rule](const FailureDomainId& domain) {
    return rule.prices.at(domain);
  });
  return domains;
}

bool CapacityPlanner::IsDry(const FailureDomainId& domain, TimePoint now) const {
  const auto dry = dry_until_.find(domain);
  return dry != dry_until_.end() && now < dry->second;
}

CapacityPlan CapacityPlanner::Plan(const ScalingRule& rule, double demand,
                                   const CapacityPlan& serving, TimePoint now) {
  const int workers = WorkersFor(demand, now);
  const std::vector<FailureDomainId> domains = ByPrice(rule);
  const auto served = [&serving](const FailureDomainId& domain) {
    const auto found = serving.find(domain);
    return found == serving.end() ? DomainCapacity{} : found->second;
  };
  int reclaimable = 0;
  for (const FailureDomainId& domain : domains) {
    reclaimable += served(domain).reclaimable;
  }
  const bool replaced = reclaimable >= workers;
  CapacityPlan plan;
  int missing = 0;
  for (std::size_t i = 0; i < domains.size(); ++i) {
    const DomainCapacity there = served(domains[i]);
    const auto count = static_cast<int>(domains.size());
    const int share = workers / count + (static_cast<int>(i) < workers % count ? 1 : 0);
    DomainCapacity& planned = plan[domains[i]];
    planned.on_demand = replaced ? 0 : std::min(there.on_demand, rule.max_count);
    const int room = std::max(0, rule.max_count - planned.on_demand);
    planned.reclaimable =
        std::min(IsDry(domains[i], now) ? std::min(share, there.reclaimable) : share, room);
    missing += std::max(0, share - planned.total());
  }
  // What a domain can't give, the others do.
  for (const FailureDomainId& domain : domains) {
    DomainCapacity& planned = plan[domain];
    const int added = IsDry(domain, now) ? 0 : std::min(missing, rule.max_count - planned.total());
    planned.reclaimable += std::max(0, added);
    missing -= std::max(0, added);
  }
  if (missing > workers * options_.tolerated_shortage) {
    for (const FailureDomainId& domain : domains) {
      const int added = std::clamp(rule.max_count - plan[domain].total(), 0, missing);
      plan[domain].on_demand += added;
      missing -= added;
    }
  }
  for (auto& [domain, planned] : plan) {
    planned.on_demand += std::max(0, rule.min_count - planned.total());
  }
  return plan;
}

}  // namespace savoryglade::capacity
