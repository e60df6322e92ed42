#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/configuration.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "scheduling/cost_predictor.h"
#include "scheduling/fleet_usage.h"
#include "scheduling/service_queue.h"
#include "scheduling/usage_summary.h"
#include "tl/expected.hpp"

namespace savoryglade {

// A request that waits for an upstream. Costs are in seconds of one upstream slot.
struct QueuedRequest {
  Ticket ticket = 0;
  AccountId account;
  ServiceId service;
  // Cost estimated by the caller of Enqueue, or 0. The scheduler corrects it by the actual costs of
  // earlier requests; Dequeue returns the corrected value.
  double predicted_cost = 0;
  TimePoint enqueued;
  TimePoint deadline;
  // Size of the body in bytes and the caller's limit on generated tokens, for the cost prediction.
  std::size_t request_bytes = 0;
  int max_tokens = 0;
  // Whether an earlier attempt failed and the retry budget has been charged for this one. Only the
  // deadline limits the admission of a retry: rejecting it for a full queue would waste the charged
  // budget and the work of the earlier attempts.
  bool is_retry = false;
  // Run state after the earlier attempts: the verdict on a request that may have run is never "not
  // run".
  RunState run_state = RunState::kNotRun;
  // Set by the scheduler. Routing limits long work to LongSlotFraction of each upstream's slots.
  WorkClass work_class = WorkClass::kShort;
  // Set by the scheduler: 0 is the most urgent, 9 the least. Engines run lower values first.
  int engine_priority = 0;

  friend auto operator<=>(const QueuedRequest&, const QueuedRequest&) = default;
};

// A request that left the queue without running, with its final verdict.
struct ExpiredRequest {
  Ticket ticket = 0;
  Verdict verdict;
};

// Limits and weights of the queue.
struct SchedulerOptions {
  // Limits in requests, which bound memory; the limits by predicted cost reject earlier.
  std::size_t queue_limit = 4096;
  std::size_t account_queue_limit = 1024;
  // Longest predicted wait in the queue. A longer queue adds latency but no throughput, and takes
  // longer to drain after an overload. Long work may wait cost_wait_factor times its own cost.
  Duration max_wait = 2s;
  double cost_wait_factor = 2;
  // Ageing: a request precedes a cheaper one if it arrived earlier by more than this factor times
  // the difference of their costs. Long work that has waited this factor times its cost is overdue
  // and may use some of the slots reserved for bursts of short work.
  double ageing_factor = 0.5;
  // Capacity, in seconds of all slots of a service, by which an account's short work may precede
  // another account's long work.
  double short_slack_seconds = 0.25;
  // Start time of the daemon in milliseconds, sent in usage summaries.
  std::uint64_t incarnation = 1;
};

// Schedules the waiting requests of all services and admits or rejects new ones. Not thread-safe:
// the daemon holds its lock.
class Scheduler {
 public:
  using CanStart = std::function<bool(const ServiceId&)>;

  explicit Scheduler(SchedulerOptions options) : options_(options) {}

  // Sets the shares of the client accounts, and the slots of each service to the sum over its
  // upstreams.
  void Configure(const Configuration& configuration);

  // Sets the number of slots of a service at the reachable upstreams, for all daemons together.
  void SetCapacity(const ServiceId& service, std::size_t slots);

  // Updates the number of live daemons, including this one.
  void UpdateLiveDaemonCount(std::size_t live_daemons);

  // Adds a request to the queue, or rejects it. The verdict of a rejection is "not run" unless an
  // earlier attempt may have run.
  tl::expected<void, Verdict> Enqueue(const QueuedRequest& request, TimePoint now);

  // Removes and returns the next request whose service can start one now; returns nothing if there
  // is none. The caller must end each returned request with Finish.
  std::optional<QueuedRequest> Dequeue(const CanStart& can_start, TimePoint now);

  // Removes a waiting request. Returns false if it is not in the queue.
  bool Cancel(Ticket ticket);

  // Corrects what a client account is charged for a request that ran to its actual cost, in seconds
  // of one upstream slot. Updates the cost prediction if the attempt completed.
  void Finish(Ticket ticket, double actual_cost, TimePoint now, bool completed = true);

  // Removes and returns the requests that can no longer end within their deadline.
  std::vector<ExpiredRequest> Expire(TimePoint now);

  // Returns the usage of the client accounts at this daemon: the cost served to each at each
  // service, and its waiting and running requests. It is sent to the other daemons of its failure
  // domain every 500 ms.
  UsageSummary BuildDaemonSummary(TimePoint now);

  // Returns the usage of the client accounts at all daemons of this failure domain together, which
  // the live daemon with the lowest id sends to the other failure domains every 2 s.
  UsageSummary DomainSummary(const FailureDomainId& domain, TimePoint now);

  // Merges a usage summary of another daemon. A client account that is served more there waits
  // longer here.
  void Merge(const DaemonId& from, const UsageSummary& summary, TimePoint now);

  // Returns the number of a service's slots that this daemon may fill; nothing if it is not
  // limited. The slots are divided by the demand of the accounts at each daemon; a daemon without
  // fresh summaries from any other daemon may fill an equal part.
  std::optional<std::size_t> LocalSlotLimit(const ServiceId& service, TimePoint now);

  // Returns the fraction of each upstream's slots, in (0, 1], that long work may hold.
  double LongSlotFraction(const ServiceId& service, TimePoint now);

  std::size_t size() const { return queued_.size(); }

 private:
  struct ServiceState {
    ServiceId id;
    ServiceQueue queue;
    std::optional<std::size_t> capacity;
    // Slots in use when the service last could not start a request, raised by each start since.
    std::optional<std::size_t> observed_slots;
    // Running estimate of the first quartile of the predicted costs; 0 before the first request.
    double short_cost = 0;
    // Arriving short work in slots, averaged with exponential decay over kShortLoadWindowSeconds.
    double short_load = 0;
    TimePoint short_load_at;
    std::optional<std::size_t> local_slot_limit;
    TimePoint rebalanced_at;
    TimePoint local_slot_limit_until;
  };

  struct Queued {
    QueuedRequest request;
    ServiceState* service = nullptr;
    AccountQueue* account = nullptr;
    // Cost estimated by the caller of Enqueue, or 0; the cost predictor corrects it.
    double prior = 0;
    double rank = 0;
    // Latest instant at which the request can start and still end within its deadline.
    TimePoint latest_start;
  };

  struct Running {
    Queued queued;
    TimePoint settle_at;
  };

  static ServiceQueue::Entry EntryOf(const Queued& queued);
  static CostQuery QueryOf(const Queued& queued);
  ServiceState& Service(const ServiceId& id);
  std::optional<double> UsableSlots(ServiceState& service, TimePoint now);
  std::size_t LongSlotLimit(ServiceState& service, double slots, double deviations, TimePoint now);
  void DecayShortLoad(ServiceState& service, TimePoint now);
  void UpdateShortCost(ServiceState& service, double cost);
  std::size_t Rebalance(ServiceState& service, TimePoint now);
  std::optional<Ticket> PickFrom(ServiceState& service, const CanStart& can_start, TimePoint now);
  std::optional<Verdict> CheckAdmission(ServiceState& service, AccountQueue& account, double cost,
                                        WorkClass work_class, const QueuedRequest& request,
                                        TimePoint now);
  Duration RetryAfter(const ServiceState& service, AccountQueue& account, double cost,
                      double excess, double slots, TimePoint now);
  void RemoveQueued(Ticket ticket);
  void CollectExpired(TimePoint now);
  void SettleAbandoned(TimePoint now);
  void InvalidateLocalSlotLimits();
  UsageSummary NewSummary(UsageScope scope, std::uint32_t& sequence);

  SchedulerOptions options_;
  CostPredictor predictor_;
  FleetUsage fleet_;
  std::map<AccountId, double> shares_;
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<Ticket, Queued> queued_;
  std::set<std::pair<TimePoint, Ticket>> by_latest_start_;
  std::unordered_map<Ticket, Running> running_;
  std::set<std::pair<TimePoint, Ticket>> by_settlement_;
  std::vector<ExpiredRequest> expired_;
  // Cost served by the other daemons of this failure domain, in seconds of one upstream slot, by
  // the key of client account and service.
  std::unordered_map<std::uint32_t, double> domain_served_;
  std::uint32_t daemon_sequence_ = 0;
  std::uint32_t domain_sequence_ = 0;
};

}  // namespace savoryglade
