#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "gateway/adapter.h"
#include "gateway/duty_runner.h"
#include "gateway/fleet_state.h"
#include "gateway/rollout_row.h"
#include "rollout/rollout_plan.h"

namespace savoryglade::gateway {

// Carries out the operators' orders to roll out versions. At each daemon, limits the versions to
// which requests are sent. At the one that holds the duties, decides the steps, writes them to the
// store and publishes them. Decisions never wait for the store. The loops run until their context
// stops.
class RolloutCoordinator {
 public:
  struct Callbacks {
    // Returns true once the registrations of the upstreams have been read.
    std::function<bool()> has_synced;
    // Called to send a new step to the group immediately.
    std::function<void()> publish;
  };

  RolloutCoordinator(FleetState& fleet, FleetStore& store, const DutyRunner& duties,
                     Callbacks callbacks)
      : fleet_(fleet), store_(store), duties_(duties), callbacks_(std::move(callbacks)) {}

  // Applies what is known of the roll-outs to the choice of upstreams. Called before a request can
  // be sent to an upstream that has just registered.
  void ApplyLimits();

  boost::asio::awaitable<void> DecisionLoop();
  boost::asio::awaitable<void> StoreLoop();

 private:
  // Work on one order under one lease.
  struct Lead {
    std::uint64_t order_version = 0;
    std::uint64_t fencing = 0;
    bool has_read = false;
    bool has_failed_read = false;
    // Version of the row as last read; empty once the row may have changed.
    std::optional<std::uint64_t> row_version;
    // Step in the row, and the store's era in which it was written; empty if there is none.
    std::optional<rollout::RolloutStep> written;
    std::uint64_t written_era = 0;
    // Step that must be written before it is published or, if it is a roll-back, after.
    std::optional<rollout::RolloutStep> wanted;
    std::unique_ptr<rollout::RolloutPlan> plan;
  };
  using Entry = rollout::RolloutDirectory::Entry;

  void LimitVersions(const ServiceId& service, const std::set<std::uint64_t>& versions,
                     TimePoint now);
  // Returns the work on an order, newly begun if the order or the lease is new.
  Lead& LeadOf(const ServiceId& service, const Entry& entry);
  // Returns the work on an order if this daemon still leads it.
  Lead* FindLead(const ServiceId& service);
  rollout::PlanInput MakeInput(const Entry& entry, TimePoint now);
  // Decides and publishes the next step of an order.
  void Decide(const ServiceId& service, TimePoint now);
  void Publish(const ServiceId& service, const Lead& lead, const rollout::RolloutStep& step,
               TimePoint now);
  // Reads the row of a service. Returns false if that failed.
  boost::asio::awaitable<bool> ReadRow(const ServiceId& service);
  boost::asio::awaitable<void> WriteStep(const ServiceId& service);
  // Takes over what the row says. Only a final step counts if this daemon does not lead.
  void ApplyRow(const ServiceId& service, const RolloutRow& row, TimePoint now);
  // Returns true if no step has been heard of for so long that this daemon reads the row itself.
  bool IsOutOfTouch(const Entry& entry, TimePoint now) const;
  void PublishMetrics(TimePoint now);

  FleetState& fleet_;
  FleetStore& store_;
  const DutyRunner& duties_;
  Callbacks callbacks_;
  std::map<ServiceId, Lead> leads_;
  // When each version of a service was first registered, and whether that was in the first view.
  std::map<std::pair<ServiceId, std::uint64_t>, TimePoint> first_seen_;
  // Orders for which it is known whether their version was already the only one.
  std::map<ServiceId, std::uint64_t> checked_orders_;
  TimePoint next_outcome_read_{};
  TimePoint metrics_published_at_{};
};

}  // namespace savoryglade::gateway
