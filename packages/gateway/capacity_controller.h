#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <utility>

#include "capacity/capacity_planner.h"
#include "gateway/adapter.h"
#include "gateway/duty_runner.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Orders workers for each service with a scaling rule, while this daemon holds the duties.
class CapacityController {
 public:
  CapacityController(FleetState& fleet, FleetStore& store, DutyApi& duties,
                     const DutyRunner& duty_runner);

  // Runs until its context stops.
  boost::asio::awaitable<void> Loop();

 private:
  // Failure domain and kind of worker; true for reclaimable workers.
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
    // Last order that the platform accepted for each key.
    std::map<OrderKey, AcceptedOrder> orders;
    // Time at which the last order was rejected, until one is accepted.
    std::map<OrderKey, TimePoint> rejected_at;
    // Total estimated work of the service at the last sample, in seconds of one worker.
    double work_s = 0;
    TimePoint sampled_at{};
    // Smoothed demand, in workers.
    double demand = 0;
  };

  boost::asio::awaitable<void> PlanService(const RoutedService& service, TimePoint now);
  // Reads the service's initial number of workers from the store. If none is stored, stores the
  // highest number seen once it has stopped rising.
  boost::asio::awaitable<void> DetermineBaseline(const RoutedService& service, ServiceState& state);
  // Sends an order if it differs from the last one, or if its workers do not register in time.
  boost::asio::awaitable<void> SendOrder(const ServiceId& service, ServiceState& state,
                                         const OrderKey& key, int count, int serving,
                                         Duration boot_time, TimePoint now);
  static capacity::CapacityPlan OrderedCapacity(const ServiceState& state);
  capacity::CapacityPlan ServingCapacity(const ServiceId& service) const;
  // Updates the demand of a service from the work since the last sample, and returns it.
  double UpdateDemand(const ServiceId& service, ServiceState& state, TimePoint now) const;

  FleetState& fleet_;
  FleetStore& store_;
  DutyApi& duties_;
  const DutyRunner& duty_runner_;
  std::map<ServiceId, ServiceState> services_;
};

}  // namespace savoryglade::gateway
