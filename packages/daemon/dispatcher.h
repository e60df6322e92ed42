#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "config/configuration.h"
#include "core/verdict.h"
#include "metrics/registry.h"
#include "routing/upstream_table.h"
#include "scheduling/scheduler.h"
#include "tl/expected.hpp"

namespace savoryglade {

// Queues requests in the scheduler until the upstream table has an upstream with a free slot. Safe
// to use from all workers. Lock order: scheduler, then upstream table.
class Dispatcher {
 public:
  Dispatcher(SchedulerOptions options, const RoutingOptions& routing, std::uint64_t seed,
             MetricRegistry& metrics);

  // Applies the client accounts, services and upstreams of a configuration.
  void Configure(const Configuration& configuration);

  Ticket NewTicket() { return next_ticket_.fetch_add(1); }

  // Waits until the scheduler selects the request and an upstream has a free slot. Returns the
  // upstream, whose slot must be released with Finish, or the verdict of a rejection, which says
  // "not run" unless an earlier attempt may have run.
  boost::asio::awaitable<tl::expected<UpstreamConfig, Verdict>> Acquire(QueuedRequest request,
                                                                        RouteRequest route);

  // Removes a queued request and ends its wait with this verdict. Does nothing if the request is no
  // longer queued.
  void Cancel(Ticket ticket, const Verdict& verdict);

  // Discards all waiting requests; to be called when the workers have stopped.
  void Clear();

  // Releases the slot of an attempt and charges its actual cost, in seconds of one slot.
  void Finish(Ticket ticket, const UpstreamId& upstream, const AttemptOutcome& outcome);

  // Records the time from dispatch to the first token.
  void OnFirstToken(const UpstreamId& upstream, Duration latency);

  // Build the summaries of the usage of the client accounts at this daemon, and in its failure
  // domain, for the other daemons.
  UsageSummary BuildDaemonSummary();
  UsageSummary DomainSummary(const FailureDomainId& domain);
  // Merges the usage that another daemon has reported.
  void Merge(const DaemonId& from, const UsageSummary& summary);
  // Updates the number of live daemons in this failure domain, including this one.
  void UpdateLiveDaemonCount(std::size_t live_daemons);

  // Record the load and the prefix cache changes that an upstream reports.
  void OnLoadReport(const UpstreamId& upstream, const LoadReport& report);
  void OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event);

  // Expires requests that can no longer meet their deadline, and dispatches others; to be called
  // every few milliseconds.
  void Tick();

 private:
  struct Waiter;

  // Dispatches queued requests while the upstreams have free slots.
  void DispatchQueued();
  // Resumes the coroutine that waits for a request. Requires the scheduler's lock.
  void CompleteWait(Ticket ticket, tl::expected<UpstreamConfig, Verdict> result);

  std::atomic<Ticket> next_ticket_{1};
  std::mutex scheduler_mutex_;
  Scheduler scheduler_;
  std::map<Ticket, std::shared_ptr<Waiter>> waiters_;
  std::mutex upstream_table_mutex_;
  UpstreamTable upstream_table_;
  std::map<UpstreamId, UpstreamConfig> upstreams_;
  Timing& queue_wait_;
};

}  // namespace savoryglade
