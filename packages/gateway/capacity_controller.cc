#include "gateway/capacity_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <charconv>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "net/sleep.h"
#include "rollout/rollout_types.h"
#include "routing/software_version.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using capacity::CapacityPlan;

constexpr Duration kPlanInterval = 500ms;
// An accepted order is repeated if its workers are not serving this long after their boot time.
constexpr Duration kReorderMargin = 3s;
// Delay before a rejected order is repeated.
constexpr Duration kRejectedOrderPause = 2s;
// Weight of the newest sample in the smoothed demand; the planner reacts within a few seconds.
constexpr double kDemandSmoothingWeight = 0.6;
// Shortest interval between two samples of the demand.
constexpr Duration kMinDemandInterval = 1s;
// The number of workers must not have risen for this long before it becomes the baseline.
constexpr Duration kBaselineStableTime = 1500ms;

const Logger kLog("capacity");

std::string BaselineKey(const ServiceId& service) {
  return fmt::format("capacity/{}", service.value());
}

}  // namespace

CapacityController::CapacityController(FleetState& fleet, FleetStore& store, DutyApi& duties,
                                       const DutyRunner& duty_runner)
    : fleet_(fleet), store_(store), duties_(duties), duty_runner_(duty_runner) {}

asio::awaitable<void> CapacityController::Loop() {
  if (!fleet_.settings.orders_capacity) {
    co_return;
  }
  while (true) {
    co_await Sleep(kPlanInterval);
    // Holds this version for the whole pass, because the routes may change during a call.
    const std::shared_ptr<const RouteTable> routes = fleet_.routes;
    if (routes == nullptr || !duty_runner_.holds_lease()) {
      services_.clear();
      continue;
    }
    for (const RoutedService& service : routes->document().services) {
      if (service.scaling) {
        co_await PlanService(service, BootNow());
      }
    }
  }
}

std::optional<std::uint64_t> CapacityController::VersionInRollout(const ServiceId& service) const {
  const rollout::RolloutDirectory::Entry* const entry =
      fleet_.rollouts.enabled() ? fleet_.rollouts.Find(service) : nullptr;
  if (entry == nullptr || rollout::IsFinal(entry->step.stage)) {
    return std::nullopt;
  }
  return entry->version;
}

std::map<FailureDomainId, int> CapacityController::RolledOutWorkers(
    const ServiceId& service) const {
  std::map<FailureDomainId, int> workers;
  const std::optional<std::uint64_t> version = VersionInRollout(service);
  for (const UpstreamRecord& record : fleet_.load_balancer.Records()) {
    if (version && record.service == service && !record.leaving && !record.reclaimable &&
        SoftwareVersionKey(record.software_version) == *version) {
      ++workers[record.failure_domain];
    }
  }
  return workers;
}

CapacityPlan CapacityController::ServingCapacity(const ServiceId& service) const {
  CapacityPlan serving;
  const std::optional<std::uint64_t> new_version = VersionInRollout(service);
  for (const UpstreamRecord& record : fleet_.load_balancer.Records()) {
    if (record.service == service && !record.leaving &&
        (!new_version || SoftwareVersionKey(record.software_version) != *new_version)) {
      capacity::DomainCapacity& domain = serving[record.failure_domain];
      ++(record.reclaimable ? domain.reclaimable : domain.on_demand);
    }
  }
  return serving;
}

double CapacityController::UpdateDemand(const ServiceId& service, ServiceState& state,
                                        TimePoint now) const {
  const double work = fleet_.work.Total(service);
  if (state.sampled_at == TimePoint{}) {
    state.work_s = work;
    state.sampled_at = now;
  }
  const Duration interval = now - state.sampled_at;
  if (interval >= kMinDemandInterval) {
    // Either compute time or slots can be the bottleneck.
    const double rate = std::max(std::max(0.0, work - state.work_s) / ToSeconds(interval),
                                 fleet_.load_balancer.BusyUpstreams(service, now));
    state.demand += kDemandSmoothingWeight * (rate - state.demand);
    state.work_s = work;
    state.sampled_at = now;
  }
  return state.demand;
}

asio::awaitable<void> CapacityController::DetermineBaseline(const RoutedService& service,
                                                            ServiceState& state) {
  if (state.baseline_known) {
    co_return;
  }
  const std::string key = BaselineKey(service.name);
  const provider::ReadResult row = co_await store_.ReadRow(key);
  if (!row) {
    kLog.Warning("Reading the worker baseline of a service failed; retrying.",
                 {{"service", service.name.value()}, {"error", row.error().message}});
    co_return;
  }
  if (row->exists()) {
    int workers = 0;
    std::from_chars(row->value.data(), row->value.data() + row->value.size(), workers);
    state.planner.SetBaseline(workers, true);
    int serving = 0;
    for (const auto& [domain, capacity] : ServingCapacity(service.name)) {
      serving += capacity.total();
    }
    state.planner.SeedPeakDemand(serving, BootNow());
    state.baseline_known = true;
    co_return;
  }
  // Upstreams register one at a time after the system starts.
  int total = 0;
  for (const auto& [domain, capacity] : ServingCapacity(service.name)) {
    total += capacity.on_demand;
  }
  const TimePoint now = BootNow();
  if (total > state.max_serving) {
    state.max_serving = total;
    state.max_since = now;
    state.planner.SetBaseline(total, false);
  }
  if (state.max_serving == 0 || now - state.max_since < kBaselineStableTime) {
    co_return;
  }
  provider::Transaction transaction;
  transaction.conditions.push_back({.key = key, .version = 0});
  transaction.writes.push_back({.key = key, .value = std::to_string(state.max_serving)});
  if (co_await store_.Commit(transaction) != provider::CommitStatus::kCommitted) {
    co_return;
  }
  state.planner.SetBaseline(state.max_serving, true);
  state.baseline_known = true;
  kLog.Info("The worker baseline of a service was stored.",
            {{"service", service.name.value()}, {"workers", state.max_serving}});
}

CapacityPlan CapacityController::OrderedCapacity(const ServiceState& state) {
  CapacityPlan ordered;
  for (const auto& [key, order] : state.orders) {
    const auto& [domain, reclaimable] = key;
    (reclaimable ? ordered[domain].reclaimable : ordered[domain].on_demand) = order.count;
  }
  return ordered;
}

asio::awaitable<void> CapacityController::PlanService(const RoutedService& service, TimePoint now) {
  ServiceState& state = services_[service.name];
  co_await DetermineBaseline(service, state);
  for (const UpstreamRecord& record : fleet_.load_balancer.Records()) {
    if (record.service == service.name && record.reclaimable && record.leaving) {
      state.planner.OnReclaimableUnavailable(record.failure_domain, now);
    }
  }
  const bool is_rolling_out = VersionInRollout(service.name).has_value();
  if (state.is_rolling_out && !is_rolling_out) {
    // The workers of one of the two versions stop, so the counts that were ordered are out of date.
    state.orders.clear();
  }
  state.is_rolling_out = is_rolling_out;
  const std::map<FailureDomainId, int> rolled_out = RolledOutWorkers(service.name);
  const CapacityPlan serving = ServingCapacity(service.name);
  const CapacityPlan plan =
      state.planner.Plan(*service.scaling, UpdateDemand(service.name, state, now), serving,
                         OrderedCapacity(state), now);
  for (const auto& [domain, capacity] : plan) {
    const auto found = serving.find(domain);
    const capacity::DomainCapacity current =
        found == serving.end() ? capacity::DomainCapacity{} : found->second;
    const auto found_new = rolled_out.find(domain);
    const int new_workers = found_new == rolled_out.end() ? 0 : found_new->second;
    // An order sent before all workers have registered could remove some of them. During a roll-out
    // the platform could stop workers of the new version in place of those that are released.
    const bool may_order_on_demand =
        state.baseline_known && (!is_rolling_out || capacity.on_demand > current.on_demand);
    const bool releases_on_demand = may_order_on_demand && capacity.on_demand < current.on_demand;
    // The platform rejects an order that exceeds the limit together with the other kind, so the
    // order that makes room comes first.
    if (releases_on_demand) {
      co_await SendOrder(service.name, state, {domain, false}, capacity.on_demand + new_workers,
                         current.on_demand + new_workers, service.scaling->boot_time, now);
    }
    co_await SendOrder(service.name, state, {domain, true}, capacity.reclaimable,
                       current.reclaimable, service.scaling->boot_time, now);
    if (may_order_on_demand && !releases_on_demand) {
      co_await SendOrder(service.name, state, {domain, false}, capacity.on_demand + new_workers,
                         current.on_demand + new_workers, service.scaling->boot_time, now);
    }
  }
}

asio::awaitable<void> CapacityController::SendOrder(const ServiceId& service, ServiceState& state,
                                                    const OrderKey& key, int count, int serving,
                                                    Duration boot_time, TimePoint now) {
  const auto& [domain, reclaimable] = key;
  const auto last = state.orders.find(key);
  if (last == state.orders.end() ? count == serving : count == last->second.count) {
    const bool settled = last == state.orders.end() || count == serving ||
                         now - last->second.at < boot_time + kReorderMargin;
    if (settled) {
      co_return;
    }
  }
  if (const auto rejected_at = state.rejected_at.find(key);
      rejected_at != state.rejected_at.end() && now - rejected_at->second < kRejectedOrderPause) {
    co_return;
  }
  // The lease may have expired during an earlier call.
  if (!duty_runner_.holds_lease()) {
    co_return;
  }
  CapacityOrder order;
  order.service = service;
  order.failure_domain = domain;
  order.count = count;
  order.reclaimable = reclaimable;
  const Result<void> sent = co_await duties_.OrderCapacity(duty_runner_.holder(), order);
  kLog.Info("Sent an order for workers.",
            {{"service", service.value()},
             {"failure_domain", domain.value()},
             {"count", count},
             {"serving", serving},
             {"reclaimable", reclaimable},
             {"outcome", sent ? std::string("accepted") : sent.error().message}});
  if (sent) {
    state.orders[key] = {.count = count, .at = now};
    state.rejected_at.erase(key);
    co_return;
  }
  state.rejected_at[key] = now;
  if (reclaimable && sent.error().code == ErrorCode::kDenied) {
    state.planner.OnReclaimableUnavailable(domain, now);
  }
}

}  // namespace savoryglade::gateway
