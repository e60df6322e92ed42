#pragma once

#include <compare>
#include <map>
#include <vector>

#include "config/route_table.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade::capacity {

// Workers of a service in one failure domain, by how they are paid.
struct DomainCapacity {
  int on_demand = 0;
  int reclaimable = 0;

  int total() const { return on_demand + reclaimable; }
  friend auto operator<=>(const DomainCapacity&, const DomainCapacity&) = default;
};

using CapacityPlan = std::map<FailureDomainId, DomainCapacity>;

struct PlannerOptions {
  // Part of the workers that demand keeps busy on average. The rest is for uneven load and for the
  // loss of a failure domain.
  double target_utilisation = 0.36;
  // Utilisation beyond which on-demand workers stand in until reclaimable ones are to be had again;
  // they cost several times as much.
  double highest_utilisation = 0.7;
  // Part of the baseline below which on-demand workers stand in whatever the demand is. Demand that
  // finds too few workers looks small, and a new holder of the duty has seen little of it.
  double least_of_baseline = 0.6;
  // Utilisation of the reclaimable workers alone up to which on-demand ones are given back.
  double release_utilisation = 0.5;
  // Time for which the highest demand counts before workers are given back.
  Duration peak_memory = 30s;
  // Time for which a failure domain that has reclaimed or refused workers is not asked again.
  Duration dry_time = 5s;
};

// Plans the workers of one service: as many as the demand needs, evenly over the failure domains,
// because the reclaimable ones of a domain go together, and reclaimable ones wherever they are to
// be had. On-demand workers are given back once reclaimable ones serve in their place, and ordered
// only where there is nothing else. Not safe to use from several threads.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(PlannerOptions options) : options_(options) {}

  // Sets the number of workers that is never gone below, usually those that the operators began
  // with. Until it is final, no on-demand worker is given back.
  void SetBaseline(int workers, bool is_final) {
    baseline_ = workers;
    baseline_is_final_ = is_final;
  }

  // Takes the demand in workers that would be fully busy, the workers that serve now without those
  // that leave, and the last orders. Returns the workers to order.
  CapacityPlan Plan(const ScalingRule& rule, double demand, const CapacityPlan& serving,
                    const CapacityPlan& ordered, TimePoint now);

  // Takes over from another planner: what serves now was needed for as long as a peak counts.
  void SeedPeakDemand(int serving, TimePoint now) {
    peaks_.push_back({.at = now, .demand = serving * options_.target_utilisation});
  }

  // Takes a refused order or a notice of reclaim: the domain has no reclaimable workers for now.
  void OnReclaimableUnavailable(const FailureDomainId& domain, TimePoint now) {
    dry_until_[domain] = now + options_.dry_time;
  }

 private:
  struct Peak {
    TimePoint at;
    double demand = 0;
  };

  // Highest demand within the memory.
  double PeakDemand(double demand, TimePoint now);
  // All failure domains, cheapest first.
  static std::vector<FailureDomainId> ByPrice(const ScalingRule& rule);
  bool IsDry(const FailureDomainId& domain, TimePoint now) const;

  PlannerOptions options_;
  int baseline_ = 0;
  bool baseline_is_final_ = false;
  std::vector<Peak> peaks_;
  std::map<FailureDomainId, TimePoint> dry_until_;
};

}  // namespace savoryglade::capacity
