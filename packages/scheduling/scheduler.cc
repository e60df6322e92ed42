#include "scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savoryglade {
namespace {

constexpr Duration kMinRetryAfter = 1s;
constexpr Duration kMaxRetryAfter = 300s;
// Fraction of an account's share that retrying callers may take. At 1 they would fill the capacity
// that new requests need, and the overload would last until all of them have retried.
constexpr double kRetryShareFraction = 0.25;
// Requests admitted to the queue while no slot is known to be usable. Some must wait, because the
// scheduler detects a free slot only when a request could start.
constexpr std::size_t kMaxProbeRequests = 8;
// Time after its deadline at which a request that was never ended by Finish is charged its
// predicted cost.
constexpr Duration kSettleGrace = 60s;

// A request is long when its predicted cost exceeds this multiple of the first quartile. This
// classifies 18% of exponentially distributed costs as long, and separates a mix of short work and
// work that is 50 times longer.
constexpr double kLongCostFactor = 6;
constexpr double kShortCostStep = 0.05;
constexpr double kShortCostQuantile = 0.25;

constexpr double kShortLoadWindowSeconds = 10;
// Slots reserved for short work, in standard deviations of a Poisson-distributed number of running
// requests: with 2.6, less than 1% of arrivals find no free slot.
constexpr double kHeadroomDeviations = 2.6;
// Overdue long work may use part of that headroom, but not the slots that short work needs on
// average: when it could use all slots but one, a burst of long work delayed short work by 0.6 s.
constexpr double kOverdueHeadroomDeviations = 1.5;
constexpr double kMinLongFraction = 0.25;
constexpr int kMaxEnginePriority = 9;

// Local limits are computed from demand that is up to 2 s old, so some daemons cannot fill their
// slots. The excess of the others waits at the upstreams for at most a tenth of a request's
// duration.
constexpr double kOvercommitFactor = 1.1;
// Averaging window of the served and entitled rates in the fleet. Summaries between failure domains
// are sent every 2 s and are up to 2 s old.
constexpr double kFleetWindowSeconds = 5;
// Exponent and bounds of the factor that corrects weights by entitled rate over served rate.
constexpr double kWeightCorrectionExponent = 2;
constexpr double kMaxWeightCorrection = 4;

// Time for which a computed local slot limit is cached. Summaries arrive every 500 ms; local demand
// changes with each request.
constexpr Duration kLocalSlotLimitTtl = 20ms;

std::uint16_t ClampToUint16(std::size_t value) {
  return static_cast<std::uint16_t>(
      std::min<std::size_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

double SecondsSinceEpoch(TimePoint instant) { return ToSeconds(instant.time_since_epoch()); }

}  // namespace

void Scheduler::Configure(const Configuration& configuration) {
  shares_.clear();
  for (const AccountConfig& account : configuration.accounts) {
    shares_[account.name] = account.share;
  }
  for (const ServiceConfig& config : configuration.services) {
    ServiceState& service = Service(config.name);
    for (const AccountConfig& account : configuration.accounts) {
      service.queue.SetShare(service.queue.FindOrCreateAccount(account.name, service.id),
                             account.share);
    }
    std::size_t slots = 0;
    for (const UpstreamConfig& upstream : configuration.upstreams) {
      if (upstream.service == config.name) {
        slots += static_cast<std::size_t>(std::max(0, upstream.concurrency));
      }
    }
    SetCapacity(config.name, slots);
  }
}

void Scheduler::SetCapacity(const ServiceId& service, std::size_t slots) {
  ServiceState& state = Service(service);
  state.capacity = slots;
  state.local_slot_limit_until = TimePoint::min();
}

void Scheduler::UpdateLiveDaemonCount(std::size_t live_daemons) {
  fleet_.UpdateLiveDaemonCount(live_daemons);
  InvalidateLocalSlotLimits();
}

tl::expected<void, Verdict> Scheduler::Enqueue(const QueuedRequest& request, TimePoint now) {
  if (request.deadline <= now) {
    return tl::make_unexpected(Verdict{.run_state = request.run_state,
                                       .reason = Reason::kDeadlineUnreachable,
                                       .retry_after = kMinRetryAfter});
  }
  ServiceState& service = Service(request.service);
  AccountQueue& account = service.queue.FindOrCreateAccount(request.account, service.id);
  if (const auto share = shares_.find(request.account);
      share != shares_.end() && share->second != account.share) {
    service.queue.SetShare(account, share->second);
  }
  Queued queued{.request = request,
                .service = &service,
                .account = &account,
                .prior = request.predicted_cost};
  const double cost = predictor_.Predict(QueryOf(queued));
  UpdateShortCost(service, cost);
  const bool is_long = cost > kLongCostFactor * service.short_cost;
  const WorkClass work_class = is_long ? WorkClass::kLong : WorkClass::kShort;
  if (const auto rejection = CheckAdmission(service, account, cost, work_class, request, now)) {
    return tl::make_unexpected(*rejection);
  }
  queued.request.predicted_cost = cost;
  queued.request.work_class = work_class;
  queued.rank = SecondsSinceEpoch(request.enqueued) + options_.ageing_factor * cost;
  const bool can_end = FromSeconds(cost) < request.deadline - now;
  queued.latest_start = can_end ? request.deadline - FromSeconds(cost) : request.deadline;
  if (work_class == WorkClass::kShort) {
    DecayShortLoad(service, now);
    service.short_load += cost / kShortLoadWindowSeconds;
  }
  service.queue.Push(account, EntryOf(queued));
  by_latest_start_.emplace(queued.latest_start, request.ticket);
  queued_.emplace(request.ticket, std::move(queued));
  return {};
}

std::optional<QueuedRequest> Scheduler::Dequeue(const CanStart& can_start, TimePoint now) {
  CollectExpired(now);
  if (fleet_.Prune(now)) {
    InvalidateLocalSlotLimits();
  }
  for (auto& [id, service] : services_) {
    const std::optional<Ticket> ticket = PickFrom(service, can_start, now);
    if (!ticket) {
      continue;
    }
    const auto found = queued_.find(*ticket);
    Queued queued = std::move(found->second);
    queued_.erase(found);
    by_latest_start_.erase({queued.latest_start, *ticket});
    service.queue.Start(*queued.account, EntryOf(queued));
    if (service.observed_slots) {
      service.observed_slots = std::max(*service.observed_slots, service.queue.running());
    }
    // The priority value rises by one for each doubling of the cost, and falls by one for each time
    // that the request has waited as long as its predicted cost.
    const double cost = std::max(queued.request.predicted_cost, 1e-6);
    const double size = std::log2(cost / std::max(service.short_cost, 1e-6));
    const double waited = ToSeconds(now - queued.request.enqueued) / cost;
    queued.request.engine_priority =
        static_cast<int>(std::clamp(size - waited, 0.0, static_cast<double>(kMaxEnginePriority)));
    QueuedRequest result = queued.request;
    const TimePoint settle_at = result.deadline + kSettleGrace;
    by_settlement_.emplace(settle_at, *ticket);
    running_.emplace(*ticket, Running{.queued = std::move(queued), .settle_at = settle_at});
    return result;
  }
  return std::nullopt;
}

bool Scheduler::Cancel(Ticket ticket) {
  if (!queued_.contains(ticket)) {
    return false;
  }
  RemoveQueued(ticket);
  return true;
}

void Scheduler::Finish(Ticket ticket, double actual_cost, TimePoint /*now*/, bool completed) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  const Running running = std::move(found->second);
  running_.erase(found);
  by_settlement_.erase({running.settle_at, ticket});
  const Queued& queued = running.queued;
  queued.service->queue.Finish(*queued.account, queued.request.work_class,
                               queued.request.predicted_cost, actual_cost);
  if (completed) {
    predictor_.RecordActualCost(QueryOf(queued), actual_cost);
  }
}

std::vector<ExpiredRequest> Scheduler::Expire(TimePoint now) {
  CollectExpired(now);
  SettleAbandoned(now);
  return std::exchange(expired_, {});
}

UsageSummary Scheduler::BuildDaemonSummary(TimePoint /*now*/) {
  UsageSummary summary = NewSummary(UsageScope::kDaemon, daemon_sequence_);
  for (auto& [id, service] : services_) {
    for (AccountQueue* account : service.queue.Accounts()) {
      const AccountUsage usage{
          .key = account->usage_key,
          .served_ms = static_cast<std::uint32_t>(std::llround(account->served * 1000)),
          .waiting = ClampToUint16(account->WaitingCount()),
          .running = ClampToUint16(account->running)};
      const AccountUsage reported{.key = account->usage_key,
                                  .served_ms = account->reported_served_ms,
                                  .waiting = account->reported_waiting,
                                  .running = account->reported_running};
      if (!summary.complete && usage == reported) {
        continue;
      }
      account->reported_served_ms = usage.served_ms;
      account->reported_waiting = usage.waiting;
      account->reported_running = usage.running;
      if (usage.served_ms != 0 || usage.waiting != 0 || usage.running != 0) {
        summary.accounts.push_back(usage);
      }
    }
  }
  return summary;
}

UsageSummary Scheduler::DomainSummary(const FailureDomainId& domain, TimePoint now) {
  fleet_.Prune(now);
  UsageSummary summary = NewSummary(UsageScope::kDomain, domain_sequence_);
  summary.domain = domain;
  summary.daemons = ClampToUint16(1 + fleet_.DomainPeers());
  summary.complete = true;
  for (auto& [id, service] : services_) {
    for (const AccountQueue* account : service.queue.Accounts()) {
      const auto served = domain_served_.find(account->usage_key);
      const double total =
          account->served + (served == domain_served_.end() ? 0.0 : served->second);
      const auto demand = fleet_.DomainDemand().find(account->usage_key);
      const bool has_demand = demand != fleet_.DomainDemand().end();
      const AccountUsage usage{
          .key = account->usage_key,
          .served_ms = static_cast<std::uint32_t>(std::llround(total * 1000)),
          .waiting =
              ClampToUint16(account->WaitingCount() + (has_demand ? demand->second.waiting : 0)),
          .running = ClampToUint16(account->running + (has_demand ? demand->second.running : 0))};
      if (usage.served_ms != 0 || usage.waiting != 0 || usage.running != 0) {
        summary.accounts.push_back(usage);
      }
    }
  }
  return summary;
}

void Scheduler::Merge(const DaemonId& from, const UsageSummary& summary, TimePoint now) {
  const std::vector<FleetUsage::Served> served = fleet_.Merge(from, summary, now);
  InvalidateLocalSlotLimits();
  for (const FleetUsage::Served& account_served : served) {
    if (summary.scope == UsageScope::kDaemon) {
      domain_served_[account_served.key] += account_served.cost;
    }
    for (auto& [id, service] : services_) {
      if (AccountQueue* account = service.queue.FindByKey(account_served.key)) {
        account->remote_served += account_served.cost;
        break;
      }
    }
  }
  // Updates the rates even while nothing waits here: otherwise an account that is served at other
  // daemons would appear to be served without being entitled to it.
  for (const auto& [id, service] : services_) {
    LocalSlotLimit(id, now);
  }
}

std::optional<std::size_t> Scheduler::LocalSlotLimit(const ServiceId& service, TimePoint now) {
  ServiceState& state = Service(service);
  if (!state.capacity || fleet_.FleetSize() <= 1) {
    return std::nullopt;
  }
  if (fleet_.Prune(now)) {
    InvalidateLocalSlotLimits();
  }
  if (now >= state.local_slot_limit_until || !state.local_slot_limit) {
    state.local_slot_limit = Rebalance(state, now);
    state.local_slot_limit_until = now + kLocalSlotLimitTtl;
  }
  return state.local_slot_limit;
}

double Scheduler::LongSlotFraction(const ServiceId& service, TimePoint now) {
  ServiceState& state = Service(service);
  const std::optional<double> slots = UsableSlots(state, now);
  if (!slots || *slots < 1) {
    return 1;
  }
  return std::min(
      1.0, static_cast<double>(LongSlotLimit(state, *slots, kHeadroomDeviations, now)) / *slots);
}

ServiceQueue::Entry Scheduler::EntryOf(const Queued& queued) {
  return {.ticket = queued.request.ticket,
          .cost = queued.request.predicted_cost,
          .rank = queued.rank,
          .work_class = queued.request.work_class};
}

CostQuery Scheduler::QueryOf(const Queued& queued) {
  return {.account = queued.request.account,
          .service = queued.request.service,
          .request_bytes = queued.request.request_bytes,
          .max_tokens = queued.request.max_tokens,
          .prior = queued.prior};
}

Scheduler::ServiceState& Scheduler::Service(const ServiceId& id) {
  ServiceState& service = services_[id];
  if (service.id.empty()) {
    service.id = id;
  }
  return service;
}

// Returns the number of slots that this daemon can fill, or nothing if a start was never refused
// and the daemon has no local limit.
std::optional<double> Scheduler::UsableSlots(ServiceState& service, TimePoint now) {
  std::optional<std::size_t> slots = service.observed_slots;
  if (const auto limit = LocalSlotLimit(service.id, now)) {
    slots = slots ? std::min(*slots, *limit) : *limit;
  }
  return slots ? std::optional<double>(static_cast<double>(*slots)) : std::nullopt;
}

std::size_t Scheduler::LongSlotLimit(ServiceState& service, double slots, double deviations,
                                     TimePoint now) {
  DecayShortLoad(service, now);
  const double load = service.short_load;
  const double headroom = load + deviations * std::sqrt(load);
  const double limit = std::clamp(slots - headroom, kMinLongFraction * slots, slots);
  return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

void Scheduler::DecayShortLoad(ServiceState& service, TimePoint now) {
  const double elapsed = ToSeconds(now - service.short_load_at);
  service.short_load *= std::exp(-std::max(0.0, elapsed) / kShortLoadWindowSeconds);
  service.short_load_at = now;
}

// Updates the running estimate of quantile q: it rises by q of a step and falls by 1 - q of a step,
// so that it converges to the cost below which a fraction q of the costs lies.
void Scheduler::UpdateShortCost(ServiceState& service, double cost) {
  if (service.short_cost <= 0) {
    service.short_cost = cost;
  } else if (cost > service.short_cost) {
    service.short_cost *= 1 + kShortCostStep * kShortCostQuantile;
  } else if (cost < service.short_cost) {
    service.short_cost *= 1 - kShortCostStep * (1 - kShortCostQuantile);
  }
}

// Divides the slots among the accounts by share, up to the number of requests of each account, and
// each account's slots among the daemons by their requests of that account. Unneeded slots are
// divided equally, so that a daemon can start its next request before its peers receive its demand.
// Sets the weights so that this daemon's slots are divided in the same way.
std::size_t Scheduler::Rebalance(ServiceState& service, TimePoint now) {
  struct Allocation {
    AccountQueue* account = nullptr;
    double local = 0;
    double total = 0;
  };
  const double elapsed = ToSeconds(now - service.rebalanced_at);
  const double decay = std::exp(-elapsed / kFleetWindowSeconds);
  service.rebalanced_at = now;
  std::vector<Allocation> allocations;
  double share_left = 0;
  for (AccountQueue* account : service.queue.Accounts()) {
    const FleetUsage::Demand remote = fleet_.RemoteDemand(account->usage_key);
    const auto local = static_cast<double>(account->WaitingCount() + account->running);
    const double total = local + static_cast<double>(remote.waiting + remote.running);
    const double served = account->served + account->remote_served;
    account->fleet_rate =
        account->fleet_rate * decay + (served - account->averaged_served) / kFleetWindowSeconds;
    account->averaged_served = served;
    account->entitled_rate *= decay;
    // Adds one request, so that an account without requests here does not start with a weight of 0.
    double weight = account->share * (local + 1) / (total + 1);
    if (account->fleet_rate > 0 && account->entitled_rate > 0) {
      weight *= std::clamp(
          std::pow(account->entitled_rate / account->fleet_rate, kWeightCorrectionExponent),
          1 / kMaxWeightCorrection, kMaxWeightCorrection);
    }
    service.queue.SetWeight(*account, weight);
    if (total > 0) {
      allocations.push_back({.account = account, .local = local, .total = total});
      share_left += account->share;
    }
  }
  // Accounts that need less than their share are allocated first; the slots that they leave raise
  // the allocation of the others.
  std::sort(allocations.begin(), allocations.end(), [](const Allocation& a, const Allocation& b) {
    return a.total * b.account->share < b.total * a.account->share;
  });
  double slots_left = static_cast<double>(*service.capacity) * fleet_.ReportingFraction();
  double limit = 0;
  for (const Allocation& allocation : allocations) {
    const double granted =
        std::min(allocation.total, slots_left * allocation.account->share / share_left);
    allocation.account->entitled_rate += granted * (1 - decay);
    limit += granted * allocation.local / allocation.total;
    slots_left -= granted;
    share_left -= allocation.account->share;
  }
  limit += slots_left / static_cast<double>(fleet_.ReportingDaemons());
  if (fleet_.ReportingDaemons() == 1) {
    // Rounds down: the limits of daemons that are partitioned from each other never exceed the
    // slots in total.
    return std::max<std::size_t>(1, *service.capacity / fleet_.FleetSize());
  }
  // 1e-9 keeps an exact whole number from being rounded up because of floating-point error.
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(limit * kOvercommitFactor - 1e-9)));
}

std::optional<Ticket> Scheduler::PickFrom(ServiceState& service, const CanStart& can_start,
                                          TimePoint now) {
  ServiceQueue& queue = service.queue;
  if (queue.waiting() == 0) {
    return std::nullopt;
  }
  const auto limit = LocalSlotLimit(service.id, now);
  if (limit && queue.running() >= *limit) {
    return std::nullopt;
  }
  if (!can_start(service.id)) {
    service.observed_slots = queue.running();
    return std::nullopt;
  }
  const std::optional<double> slots = UsableSlots(service, now);
  ServiceQueue::PickOptions options{.overdue_rank = SecondsSinceEpoch(now)};
  if (slots) {
    const double usable_slots = std::max(*slots, static_cast<double>(queue.running() + 1));
    const std::size_t running_long = queue.running(WorkClass::kLong);
    options.short_slack =
        options_.short_slack_seconds * usable_slots / std::max(queue.total_weight(), 1e-9);
    options.long_allowed =
        running_long < LongSlotLimit(service, usable_slots, kHeadroomDeviations, now);
    options.overdue_allowed =
        running_long < LongSlotLimit(service, usable_slots, kOverdueHeadroomDeviations, now);
    options.behind_allowed = static_cast<double>(running_long + 1) < usable_slots;
  }
  return queue.Pick(options);
}

std::optional<Verdict> Scheduler::CheckAdmission(ServiceState& service, AccountQueue& account,
                                                 double cost, WorkClass work_class,
                                                 const QueuedRequest& request, TimePoint now) {
  const ServiceQueue& queue = service.queue;
  const std::optional<double> usable_slots = UsableSlots(service, now);
  const double slots = std::max(1.0, usable_slots.value_or(1));
  const auto reject = [&](Reason reason, double excess) {
    return Verdict{.run_state = request.run_state,
                   .reason = reason,
                   .retry_after = RetryAfter(service, account, cost, excess, slots, now)};
  };
  if (!request.is_retry && queued_.size() >= options_.queue_limit) {
    return reject(Reason::kQueueFull, queue.waiting_cost() / slots);
  }
  if (!request.is_retry && account.WaitingCount() >= options_.account_queue_limit) {
    return reject(Reason::kAccountQueueFull, account.WaitingCost() / slots);
  }
  // Admits a request that finds an empty queue even if its predicted cost exceeds its deadline: a
  // prediction can only be corrected by running the request.
  if (!usable_slots || queue.waiting() == 0) {
    return std::nullopt;
  }
  if (*usable_slots < 1) {
    if (queue.waiting() < kMaxProbeRequests) {
      return std::nullopt;
    }
    return reject(Reason::kDeadlineUnreachable, queue.waiting_cost());
  }
  const double wait = queue.CostAhead(account, work_class) / slots;
  const double remaining = ToSeconds(request.deadline - now);
  if (wait > 0 && wait + cost > remaining) {
    return reject(Reason::kDeadlineUnreachable, wait + cost - remaining);
  }
  const double max_wait_seconds =
      std::max(ToSeconds(options_.max_wait), options_.cost_wait_factor * cost);
  if (!request.is_retry && wait > max_wait_seconds) {
    return reject(Reason::kAccountQueueFull, wait - max_wait_seconds);
  }
  return std::nullopt;
}

// Returns the time until the queue has room plus the time that earlier rejected requests need when
// they are retried, so that callers do not retry all at once.
Duration Scheduler::RetryAfter(const ServiceState& service, AccountQueue& account, double cost,
                               double excess, double slots, TimePoint now) {
  const double rate = kRetryShareFraction * slots * account.weight / service.queue.total_weight();
  const double elapsed = ToSeconds(now - account.deferred_cost_at);
  account.deferred_cost = std::max(0.0, account.deferred_cost - elapsed * rate) + cost;
  account.deferred_cost_at = now;
  const double seconds =
      std::min(std::max(0.0, excess) + account.deferred_cost / rate, ToSeconds(kMaxRetryAfter));
  return std::max<Duration>(FromSeconds(seconds), kMinRetryAfter);
}

void Scheduler::RemoveQueued(Ticket ticket) {
  const auto found = queued_.find(ticket);
  const Queued queued = std::move(found->second);
  queued_.erase(found);
  by_latest_start_.erase({queued.latest_start, ticket});
  queued.service->queue.Remove(*queued.account, EntryOf(queued));
}

// Removes the waiting requests that can no longer end within their deadline, before they use a
// slot.
void Scheduler::CollectExpired(TimePoint now) {
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    const Ticket ticket = by_latest_start_.begin()->second;
    const Queued& queued = queued_.at(ticket);
    ServiceState& service = *queued.service;
    const Reason reason =
        queued.request.deadline <= now ? Reason::kDeadlineExceeded : Reason::kDeadlineUnreachable;
    const double slots = std::max(1.0, UsableSlots(service, now).value_or(1));
    const Duration retry_after = RetryAfter(service, *queued.account, queued.request.predicted_cost,
                                            service.queue.waiting_cost() / slots, slots, now);
    expired_.push_back(
        {.ticket = ticket,
         .verdict = {
             .run_state = queued.request.run_state, .reason = reason, .retry_after = retry_after}});
    RemoveQueued(ticket);
  }
}

void Scheduler::SettleAbandoned(TimePoint now) {
  while (!by_settlement_.empty() && by_settlement_.begin()->first <= now) {
    const Ticket ticket = by_settlement_.begin()->second;
    Finish(ticket, running_.at(ticket).queued.request.predicted_cost, now, false);
  }
}

void Scheduler::InvalidateLocalSlotLimits() {
  for (auto& [id, service] : services_) {
    service.local_slot_limit_until = TimePoint::min();
  }
}

UsageSummary Scheduler::NewSummary(UsageScope scope, std::uint32_t& sequence) {
  // A complete summary every 4 s (8 summaries at 500 ms) corrects what a lost summary left wrong.
  constexpr std::uint32_t kCompleteEvery = 8;
  UsageSummary summary{.scope = scope, .incarnation = options_.incarnation};
  summary.complete = sequence % kCompleteEvery == 0;
  summary.sequence = ++sequence;
  return summary;
}

}  // namespace savoryglade
