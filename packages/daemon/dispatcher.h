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

// Joins scheduler and upstream table: requests wait in the scheduler until an upstream has a slot
// for them. Safe to use from all workers. Lock order: scheduler, then upstream table.
class Dispatcher {
 public:
  Dispatcher(SchedulerOptions options, const RoutingOptions& routing, std::uint64_t seed,
             MetricRegistry& metrics);

  // Takes over the upstreams of a configuration.
  void Configure(const Configuration& configuration);

  // Returns a new ticket.
  Ticket NewTicket() { return next_ticket_.fetch_add(1); }

  // Waits until the request's turn has come and an upstream has a slot. The slot must be given back
  // with Finish. The verdict of a refusal always says "not run".
  boost::asio::awaitable<tl::expected<UpstreamConfig, Verdict>> Acquire(QueuedRequest request,
                                                                        RouteRequest route);

  // Ends the wait of a request that still waits, with this verdict.
  void Cancel(Ticket ticket, const Verdict& verdict);

  // Forgets all waiting requests; to be called when the workers have stopped.
  void Clear();

  // Gives the slot of an attempt back and charges its real cost, in seconds of one slot.
  void Finish(Ticket ticket, const UpstreamId& upstream, const AttemptOutcome& outcome);

  // Records the time from dispatch to the first token.
  void OnFirstToken(const UpstreamId& upstream, Duration latency);

  // Usage of the client accounts here, and of the whole failure domain, for the other daemons.
  UsageSummary Summary();
  UsageSummary DomainSummary(const FailureDomainId& domain);
  // Takes the usage of another daemon.
  void Merge(const DaemonId& from, const UsageSummary& summary);
  // Takes the number of live daemons of this failure domain, this one included.
  void OnView(std::size_t live_daemons);

  // Take what an upstream says of its load and of its prefix cache.
  void OnLoadReport(const UpstreamId& upstream, const LoadReport& report);
  void OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event);

  // Removes requests whose deadline has passed; to be called every few milliseconds.
  void Tick();

 private:
  struct Waiter;

  void Pump();
  void Deliver(Ticket ticket, tl::expected<UpstreamConfig, Verdict> result);

  std::atomic<Ticket> next_ticket_{1};
  std::mutex scheduler_mutex_;
  Scheduler scheduler_;
  std::map<Ticket, std::shared_ptr<Waiter>> waiters_;
  std::mutex table_mutex_;
  UpstreamTable table_;
  std::map<UpstreamId, UpstreamConfig> upstreams_;
  Timing& queue_wait_;
};

}  // namespace savoryglade
