#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "capacity/capacity_planner.h"
#include "gateway/adapter.h"
#include "gateway/duty_runner.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Orders workers from the platform for each service with a scaling rule, while this daemon holds
// the lease on the fleet's duties (usage reports and capacity orders).
class CapacityController {
 public:
  CapacityController(FleetState& fleet, FleetStore& store, DutyApi& duties,
                     const DutyRunner& duty_runner);

  // Plans and orders the workers of all services at a regular interval, until the io_context that
  // runs the coroutine stops. Returns at once if the settings turn off capacity orders.
  boost::asio::awaitable<void> Loop();

 private:
  // Failure domain and kind of the ordered workers: true for reclaimable, false for on-demand ones.
  using OrderKey = std::pair<FailureDomainId, bool>;
  struct AcceptedOrder {
    int count = 0;
    TimePoint at{};
  };
  struct ServiceState {
    capacity::CapacityPlanner planner{{}};
    bool baseline_known = false;
    int max_serving = 0;
    TimePoint max_since{};
    // Last order that the platform accepted for each failure domain and kind of worker.
    std::map<OrderKey, AcceptedOrder> orders;
    // Time at which the platform last rejected an order, for each failure domain and kind of
    // worker. Removed when it accepts one.
    std::map<OrderKey, TimePoint> rejected_at;
    // Total estimated work sent to the service until the last sample of its demand, in seconds of
    // one worker.
    double work_s = 0;
    TimePoint sampled_at{};
    // Smoothed demand for the service, as the number of workers that it keeps busy.
    double demand = 0;
    // Whether a version was being rolled out at the last plan.
    bool is_rolling_out = false;
  };

  boost::asio::awaitable<void> PlanService(const RoutedService& service, TimePoint now);
  // Reads the service's initial number of workers from the store. If none is stored, stores the
  // highest number seen once it has stopped rising.
  boost::asio::awaitable<void> DetermineBaseline(const RoutedService& service, ServiceState& state);
  // Orders `count` workers for a failure domain and kind if this differs from the last accepted
  // order, or if the workers of that order have not registered in time.
  boost::asio::awaitable<void> SendOrder(const ServiceId& service, ServiceState& state,
                                         const OrderKey& key, int count, int serving,
                                         Duration boot_time, TimePoint now);
  static capacity::CapacityPlan OrderedCapacity(const ServiceState& state);
  // Returns the serving workers, without those of a version that is being rolled out.
  capacity::CapacityPlan ServingCapacity(const ServiceId& service) const;
  // Returns the on-demand workers of a version that is being rolled out, by failure domain. They
  // are started by the operators' order, and an order for fewer workers would stop them.
  std::map<FailureDomainId, int> RolledOutWorkers(const ServiceId& service) const;
  // Returns the version that is being rolled out, if there is one.
  std::optional<std::uint64_t> VersionInRollout(const ServiceId& service) const;
  // Updates the demand of a service from the work since the last sample, and returns it.
  double UpdateDemand(const ServiceId& service, ServiceState& state, TimePoint now) const;

  FleetState& fleet_;
  FleetStore& store_;
  DutyApi& duties_;
  const DutyRunner& duty_runner_;
  std::map<ServiceId, ServiceState> services_;
};

}  // namespace savoryglade::gateway
