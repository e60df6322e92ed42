#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <utility>

#include "capacity/capacity_planner.h"
#include "gateway/adapter.h"
#include "gateway/duty_runner.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Orders the workers of each service that scales, while this daemon holds the duties.
class CapacityController {
 public:
  CapacityController(FleetState& fleet, FleetStore& store, DutyApi& duties,
                     const DutyRunner& duty_runner);

  // Runs until its context stops.
  boost::asio::awaitable<void> Loop();

 private:
  // Kind of worker in one failure domain: true for reclaimable ones.
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
    // Last accepted orders.
    std::map<OrderKey, AcceptedOrder> orders;
    std::map<OrderKey, TimePoint> refused;
    // Estimated work that was sent to the service at the last look, in seconds of one worker.
    double work_s = 0;
    TimePoint sampled_at{};
    double demand = 0;
  };

  boost::asio::awaitable<void> PlanService(const RoutedService& service, TimePoint now);
  // Reads the number of workers that the service began with, or keeps what it has had most once
  // that no longer rises.
  boost::asio::awaitable<void> DetermineBaseline(const RoutedService& service, ServiceState& state);
  boost::asio::awaitable<void> SendOrder(const ServiceId& service, ServiceState& state,
                                         const OrderKey& key, int count, int serving,
                                         Duration boot_time, TimePoint now);
  static capacity::CapacityPlan OrderedCapacity(const ServiceState& state);
  capacity::CapacityPlan ServingCapacity(const ServiceId& service) const;
  double UpdateDemand(const ServiceId& service, ServiceState& state, TimePoint now) const;

  FleetState& fleet_;
  FleetStore& store_;
  DutyApi& duties_;
  const DutyRunner& duty_runner_;
  std::map<ServiceId, ServiceState> services_;
};

}  // namespace savoryglade::gateway
