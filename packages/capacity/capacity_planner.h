#pragma once

#include <compare>
#include <map>
#include <vector>

#include "config/route_table.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade::capacity {

// Number of workers of a service in one failure domain, by pricing model.
struct DomainCapacity {
  int on_demand = 0;
  int reclaimable = 0;

  int total() const { return on_demand + reclaimable; }
  friend auto operator<=>(const DomainCapacity&, const DomainCapacity&) = default;
};

using CapacityPlan = std::map<FailureDomainId, DomainCapacity>;

struct PlannerOptions {
  // Average utilisation of the workers. The rest is reserved for uneven load and the loss of a
  // failure domain.
  double target_utilisation = 0.36;
  // Utilisation above which on-demand workers replace unavailable reclaimable ones; they cost
  // several times as much.
  double max_utilisation = 0.7;
  // Fraction of the baseline below which on-demand workers are ordered whatever the demand is.
  // Demand is underestimated while there are too few workers, and a new duty holder has observed
  // little of it.
  double min_baseline_fraction = 0.6;
  // Utilisation of the reclaimable workers alone up to which on-demand workers are released.
  double release_utilisation = 0.5;
  // Time for which the peak demand counts before workers are released.
  Duration peak_window = 30s;
  // The same for on-demand workers, which cost several times as much and boot within seconds.
  Duration on_demand_peak_window = 10s;
  // Time after a reclaim or a rejected order for which a failure domain gets no new orders for
  // reclaimable workers.
  Duration reclaimable_cooldown = 5s;
};

// Plans the workers of one service: as many as the demand needs, spread evenly over the failure
// domains because the reclaimable workers of a domain are reclaimed together. Prefers reclaimable
// workers wherever they are available. Releases on-demand workers once reclaimable ones serve in
// their place, and orders them only where no reclaimable ones are available. Not thread-safe.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(PlannerOptions options) : options_(options) {}

  // Sets the minimum number of workers, usually the number that the operators started with. No
  // on-demand worker is released until the baseline is final.
  void SetBaseline(int workers, bool is_final) {
    baseline_ = workers;
    baseline_is_final_ = is_final;
  }

  // Returns the workers to order, given the demand in fully busy workers, the serving workers
  // without those that are leaving, and the last orders.
  CapacityPlan Plan(const ScalingRule& rule, double demand, const CapacityPlan& serving,
                    const CapacityPlan& ordered, TimePoint now);

  // Initialises the peak demand after another planner: assumes that the serving workers were
  // needed, for the length of the peak window.
  void SeedPeakDemand(int serving, TimePoint now) {
    demand_samples_.push_back({.at = now, .demand = serving * options_.target_utilisation});
  }

  // Records a rejected order or a reclaim notice: the domain has no reclaimable workers for now.
  void OnReclaimableUnavailable(const FailureDomainId& domain, TimePoint now) {
    reclaimable_unavailable_until_[domain] = now + options_.reclaimable_cooldown;
  }

 private:
  struct DemandSample {
    TimePoint at;
    double demand = 0;
  };

  void RecordDemand(double demand, TimePoint now);
  // Returns the highest demand within a window of at most the peak window.
  double PeakDemand(Duration window, TimePoint now) const;
  // Returns all failure domains, cheapest first.
  static std::vector<FailureDomainId> ByPrice(const ScalingRule& rule);
  bool IsReclaimableUnavailable(const FailureDomainId& domain, TimePoint now) const;
  // Replaces on-demand workers by reclaimable ones where both kinds together have reached the limit
  // of a domain. At most `spare` on-demand workers are released.
  void ReplaceAtLimit(const ScalingRule& rule, int workers, int spare, CapacityPlan& plan,
                      TimePoint now) const;

  PlannerOptions options_;
  int baseline_ = 0;
  bool baseline_is_final_ = false;
  std::vector<DemandSample> demand_samples_;
  std::map<FailureDomainId, TimePoint> reclaimable_unavailable_until_;
};

}  // namespace savoryglade::capacity
