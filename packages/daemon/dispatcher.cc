#include "daemon/dispatcher.h"

#include <boost/asio.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace savoryglade {
namespace {

namespace asio = boost::asio;

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

// State of a coroutine that waits in Acquire. The timer never expires; cancelling it resumes the
// coroutine on its own executor.
struct Dispatcher::Waiter {
  Waiter(const asio::any_io_executor& executor, RouteRequest route_request)
      : timer(executor, TimePoint::max()), route(std::move(route_request)) {}

  asio::steady_timer timer;
  RouteRequest route;
  std::optional<tl::expected<UpstreamConfig, Verdict>> result;
};

Dispatcher::Dispatcher(SchedulerOptions options, const RoutingOptions& routing, std::uint64_t seed,
                       MetricRegistry& metrics)
    : scheduler_(options),
      upstream_table_(seed, routing),
      queue_wait_(metrics.GetTiming("savoryglade_queue_wait_seconds")) {}

void Dispatcher::Configure(const Configuration& configuration) {
  {
    const std::lock_guard lock(scheduler_mutex_);
    scheduler_.Configure(configuration);
  }
  {
    const std::lock_guard lock(upstream_table_mutex_);
    upstream_table_.Configure(configuration, Now());
    upstreams_.clear();
    for (const UpstreamConfig& upstream : configuration.upstreams) {
      upstreams_.emplace(upstream.name, upstream);
    }
  }
  DispatchQueued();
}

asio::awaitable<tl::expected<UpstreamConfig, Verdict>> Dispatcher::Acquire(QueuedRequest request,
                                                                           RouteRequest route) {
  const auto waiter =
      std::make_shared<Waiter>(co_await asio::this_coro::executor, std::move(route));
  const TimePoint start = Now();
  {
    const std::lock_guard lock(scheduler_mutex_);
    const auto queued = scheduler_.Enqueue(request, start);
    if (!queued) {
      co_return tl::make_unexpected(queued.error());
    }
    waiters_.emplace(request.ticket, waiter);
  }
  DispatchQueued();
  while (!waiter->result) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  queue_wait_.Record(Now() - start);
  co_return *waiter->result;
}

void Dispatcher::Cancel(Ticket ticket, const Verdict& verdict) {
  const std::lock_guard lock(scheduler_mutex_);
  if (scheduler_.Cancel(ticket)) {
    CompleteWait(ticket, tl::make_unexpected(verdict));
  }
}

void Dispatcher::Clear() {
  const std::lock_guard lock(scheduler_mutex_);
  waiters_.clear();
}

void Dispatcher::Finish(Ticket ticket, const UpstreamId& upstream, const AttemptOutcome& outcome) {
  const TimePoint now = Now();
  {
    const std::lock_guard lock(scheduler_mutex_);
    scheduler_.Finish(ticket, ToSeconds(outcome.total), now,
                      outcome.result == AttemptResult::kCompleted);
  }
  {
    const std::lock_guard lock(upstream_table_mutex_);
    AttemptOutcome table_outcome = outcome;
    table_outcome.attempt = ticket;
    upstream_table_.OnFinish(upstream, table_outcome, now);
  }
  DispatchQueued();
}

void Dispatcher::OnFirstToken(const UpstreamId& upstream, Duration latency) {
  const std::lock_guard lock(upstream_table_mutex_);
  upstream_table_.OnFirstToken(upstream, latency, Now());
}

UsageSummary Dispatcher::BuildDaemonSummary() {
  const std::lock_guard lock(scheduler_mutex_);
  return scheduler_.BuildDaemonSummary(Now());
}

UsageSummary Dispatcher::DomainSummary(const FailureDomainId& domain) {
  const std::lock_guard lock(scheduler_mutex_);
  return scheduler_.DomainSummary(domain, Now());
}

void Dispatcher::Merge(const DaemonId& from, const UsageSummary& summary) {
  const std::lock_guard lock(scheduler_mutex_);
  scheduler_.Merge(from, summary, Now());
}

void Dispatcher::UpdateLiveDaemonCount(std::size_t live_daemons) {
  const std::lock_guard lock(scheduler_mutex_);
  scheduler_.UpdateLiveDaemonCount(live_daemons);
}

void Dispatcher::OnLoadReport(const UpstreamId& upstream, const LoadReport& report) {
  const std::lock_guard lock(upstream_table_mutex_);
  upstream_table_.OnLoadReport(upstream, report, Now());
}

void Dispatcher::OnCacheEvent(const UpstreamId& upstream, const CacheEvent& event) {
  const std::lock_guard lock(upstream_table_mutex_);
  upstream_table_.OnCacheEvent(upstream, event, Now());
}

void Dispatcher::Tick() {
  {
    const std::lock_guard lock(scheduler_mutex_);
    for (const ExpiredRequest& expired : scheduler_.Expire(Now())) {
      CompleteWait(expired.ticket, tl::make_unexpected(expired.verdict));
    }
  }
  DispatchQueued();
}

void Dispatcher::DispatchQueued() {
  const TimePoint now = Now();
  const std::lock_guard lock(scheduler_mutex_);
  while (true) {
    const std::lock_guard table_lock(upstream_table_mutex_);
    const auto can_start = [&](const ServiceId& service) {
      return upstream_table_.HasCapacity(service, now);
    };
    const std::optional<QueuedRequest> request = scheduler_.Dequeue(can_start, now);
    if (!request) {
      return;
    }
    RouteRequest& route = waiters_.at(request->ticket)->route;
    route.attempt = request->ticket;
    const auto selected = upstream_table_.Select(route, now);
    if (!selected) {
      scheduler_.Finish(request->ticket, 0, now, false);
      CompleteWait(request->ticket, tl::make_unexpected(Verdict{.run_state = request->run_state,
                                                                .reason = selected.error(),
                                                                .retry_after = Duration(1s)}));
      continue;
    }
    CompleteWait(request->ticket, upstreams_.at(*selected));
  }
}

void Dispatcher::CompleteWait(Ticket ticket, tl::expected<UpstreamConfig, Verdict> result) {
  const auto found = waiters_.find(ticket);
  if (found == waiters_.end()) {
    return;
  }
  const std::shared_ptr<Waiter> waiter = std::move(found->second);
  waiters_.erase(found);
  asio::post(waiter->timer.get_executor(), [waiter, result = std::move(result)] {
    waiter->result = result;
    waiter->timer.cancel();
  });
}

}  // namespace savoryglade
