#include "scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savoryglade {
namespace {

constexpr Duration kMinRetryAfter = 1s;
constexpr Duration kMaxRetryAfter = 300s;
// Part of an account's share that returning callers may take. At 1 they would fill the capacity
// that new requests need, and the overload would last until all have returned.
constexpr double kReturnFraction = 0.25;
// Waiting requests that are admitted while no slot is known to be usable. Some must wait, because
// a free slot is noticed only when a request could start.
constexpr std::size_t kProbeQueue = 8;
// A request that was never ended by Finish is settled at its predicted cost this long after its
// deadline.
constexpr Duration kSettleGrace = 60s;

// A request is long when its predicted cost is above this multiple of the first quartile. For
// exponentially distributed costs 18% are long; a mix of short and 50 times longer work is divided
// cleanly.
constexpr double kLongFactor = 6;
constexpr double kSizeStep = 0.05;
constexpr double kSizeQuantile = 0.25;

constexpr double kLoadWindowSeconds = 10;
// Slots kept for short work, in standard deviations of a Poisson number of running requests: 2.6
// leave less than 1% of arrivals without a free slot.
constexpr double kHeadroomDeviations = 2.6;
// Overdue long work may use part of that headroom, but not the slots that short work needs on
// average: with all slots but one, a burst of long work delayed short work by 0.6 s.
constexpr double kOverdueDeviations = 1.5;
constexpr double kMinLongFraction = 0.25;
constexpr int kMaxEnginePriority = 9;

// Parts are computed from demand that is up to 2 s old, so some daemons can't fill theirs. The
// excess of the others waits for at most a tenth of a request's time at the upstreams.
constexpr double kOvercommit = 1.1;
// Averaging time of service and entitlement in the fleet. Summaries between failure domains are 2 s
// apart and up to 2 s old.
constexpr double kFleetWindowSeconds = 5;
// Exponent and bounds of the correction of weights by entitlement over service.
constexpr double kCorrectionExponent = 2;
constexpr double kMaxCorrection = 4;

// How long a computed local limit is used. Summaries come every 500 ms, the own demand changes with
// each request.
constexpr Duration kLocalLimitLife = 20ms;

std::uint16_t Clamp16(std::size_t value) {
  return static_cast<std::uint16_t>(
      std::min<std::size_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

double SecondsOf(TimePoint when) { return ToSeconds(when.time_since_epoch()); }

}  // namespace

void Scheduler::Configure(const Configuration& configuration) {
  shares_.clear();
  for (const AccountConfig& account : configuration.accounts) {
    shares_[account.name] = account.share;
  }
  for (const ServiceConfig& config : configuration.services) {
    ServiceState& service = Service(config.name);
    for (const AccountConfig& account : configuration.accounts) {
      service.queue.SetShare(service.queue.Account(account.name, service.id), account.share);
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
  state.local_limit_until = TimePoint::min();
}

void Scheduler::OnView(std::size_t live_daemons) {
  fleet_.OnView(live_daemons);
  ForgetLimits();
}

tl::expected<void, Verdict> Scheduler::Enqueue(const QueuedRequest& request, TimePoint now) {
  if (request.deadline <= now) {
    return tl::make_unexpected(Verdict{.run_state = request.run_state,
                                       .reason = Reason::kDeadlineUnreachable,
                                       .retry_after = kMinRetryAfter});
  }
  ServiceState& service = Service(request.service);
  FairAccount& account = service.queue.Account(request.account, service.id);
  if (const auto share = shares_.find(request.account);
      share != shares_.end() && share->second != account.share) {
    service.queue.SetShare(account, share->second);
  }
  Queued queued{.request = request,
                .service = &service,
                .account = &account,
                .prior = request.predicted_cost};
  const double cost = predictor_.Predict(QueryOf(queued));
  LearnSize(service, cost);
  const bool is_long = cost > kLongFactor * service.short_cost;
  const WorkClass work_class = is_long ? WorkClass::kLong : WorkClass::kShort;
  if (const auto refusal = Refusal(service, account, cost, work_class, request, now)) {
    return tl::make_unexpected(*refusal);
  }
  queued.request.predicted_cost = cost;
  queued.request.work_class = work_class;
  queued.rank = SecondsOf(request.enqueued) + options_.ageing * cost;
  const bool can_end = FromSeconds(cost) < request.deadline - now;
  queued.latest_start = can_end ? request.deadline - FromSeconds(cost) : request.deadline;
  if (work_class == WorkClass::kShort) {
    DecayShortLoad(service, now);
    service.short_load += cost / kLoadWindowSeconds;
  }
  service.queue.Push(account, ItemOf(queued));
  by_latest_start_.emplace(queued.latest_start, request.ticket);
  queued_.emplace(request.ticket, std::move(queued));
  return {};
}

std::optional<QueuedRequest> Scheduler::Dequeue(const CanStart& can_start, TimePoint now) {
  CollectOverdue(now);
  if (fleet_.Prune(now)) {
    ForgetLimits();
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
    service.queue.Start(*queued.account, ItemOf(queued));
    if (service.observed_slots) {
      service.observed_slots = std::max(*service.observed_slots, service.queue.running());
    }
    // One step of priority for each doubling of the cost, less one for each time that the request
    // has waited for as long as it runs.
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
    predictor_.Learn(QueryOf(queued), actual_cost);
  }
}

std::vector<ExpiredRequest> Scheduler::Expire(TimePoint now) {
  CollectOverdue(now);
  SettleAbandoned(now);
  return std::exchange(overdue_, {});
}

UsageSummary Scheduler::Summary(TimePoint /*now*/) {
  UsageSummary summary = NewSummary(UsageScope::kDaemon, daemon_sequence_);
  for (auto& [id, service] : services_) {
    for (FairAccount* account : service.queue.Accounts()) {
      const AccountUsage usage{
          .key = account->usage_key,
          .served_ms = static_cast<std::uint32_t>(std::llround(account->served * 1000)),
          .waiting = Clamp16(account->Waiting()),
          .running = Clamp16(account->running)};
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
  summary.daemons = Clamp16(1 + fleet_.DomainPeers());
  summary.complete = true;
  for (auto& [id, service] : services_) {
    for (const FairAccount* account : service.queue.Accounts()) {
      const auto served = domain_served_.find(account->usage_key);
      const double total =
          account->served + (served == domain_served_.end() ? 0.0 : served->second);
      const auto demand = fleet_.DomainDemand().find(account->usage_key);
      const bool has_demand = demand != fleet_.DomainDemand().end();
      const AccountUsage usage{
          .key = account->usage_key,
          .served_ms = static_cast<std::uint32_t>(std::llround(total * 1000)),
          .waiting = Clamp16(account->Waiting() + (has_demand ? demand->second.waiting : 0)),
          .running = Clamp16(account->running + (has_demand ? demand->second.running : 0))};
      if (usage.served_ms != 0 || usage.waiting != 0 || usage.running != 0) {
        summary.accounts.push_back(usage);
      }
    }
  }
  return summary;
}

void Scheduler::Merge(const DaemonId& from, const UsageSummary& summary, TimePoint now) {
  const std::vector<FleetUsage::Served> served = fleet_.Merge(from, summary, now);
  ForgetLimits();
  for (const FleetUsage::Served& part : served) {
    if (summary.scope == UsageScope::kDaemon) {
      domain_served_[part.key] += part.cost;
    }
    for (auto& [id, service] : services_) {
      if (FairAccount* account = service.queue.FindByKey(part.key)) {
        account->remote_served += part.cost;
        break;
      }
    }
  }
  // Also while nothing waits here: an account that is entitled to what it is served elsewhere would
  // otherwise seem to be served without entitlement.
  for (const auto& [id, service] : services_) {
    LocalLimit(id, now);
  }
}

std::optional<std::size_t> Scheduler::LocalLimit(const ServiceId& service, TimePoint now) {
  ServiceState& state = Service(service);
  if (!state.capacity || fleet_.FleetSize() <= 1) {
    return std::nullopt;
  }
  if (fleet_.Prune(now)) {
    ForgetLimits();
  }
  if (now >= state.local_limit_until || !state.local_limit) {
    state.local_limit = Rebalance(state, now);
    state.local_limit_until = now + kLocalLimitLife;
  }
  return state.local_limit;
}

double Scheduler::LongSlotFraction(const ServiceId& service, TimePoint now) {
  ServiceState& state = Service(service);
  const std::optional<double> slots = Slots(state, now);
  if (!slots || *slots < 1) {
    return 1;
  }
  return std::min(1.0,
                  static_cast<double>(LongLimit(state, *slots, kHeadroomDeviations, now)) / *slots);
}

ServiceQueue::Item Scheduler::ItemOf(const Queued& queued) {
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

// Returns the slots that this daemon can fill, or nothing if none was ever refused to it.
std::optional<double> Scheduler::Slots(ServiceState& service, TimePoint now) {
  std::optional<std::size_t> slots = service.observed_slots;
  if (const auto limit = LocalLimit(service.id, now)) {
    slots = slots ? std::min(*slots, *limit) : *limit;
  }
  return slots ? std::optional<double>(static_cast<double>(*slots)) : std::nullopt;
}

std::size_t Scheduler::LongLimit(ServiceState& service, double slots, double deviations,
                                 TimePoint now) {
  DecayShortLoad(service, now);
  const double load = service.short_load;
  const double kept = load + deviations * std::sqrt(load);
  const double limit = std::clamp(slots - kept, kMinLongFraction * slots, slots);
  return std::max<std::size_t>(1, static_cast<std::size_t>(limit));
}

void Scheduler::DecayShortLoad(ServiceState& service, TimePoint now) {
  const double elapsed = ToSeconds(now - service.short_load_at);
  service.short_load *= std::exp(-std::max(0.0, elapsed) / kLoadWindowSeconds);
  service.short_load_at = now;
}

// Moves the estimate of the quantile by small steps, up by q and down by 1 - q of a step, so that
// it rests where a part q of the costs is below it.
void Scheduler::LearnSize(ServiceState& service, double cost) {
  if (service.short_cost <= 0) {
    service.short_cost = cost;
  } else if (cost > service.short_cost) {
    service.short_cost *= 1 + kSizeStep * kSizeQuantile;
  } else if (cost < service.short_cost) {
    service.short_cost *= 1 - kSizeStep * (1 - kSizeQuantile);
  }
}

// Divides the slots among the accounts by share, at most as many as an account has requests, and
// each account's part among the daemons by their requests of it. What no account needs is divided
// equally, so that a daemon can start its next request before its peers hear of it. The weights
// divide this daemon's slots in the same way.
std::size_t Scheduler::Rebalance(ServiceState& service, TimePoint now) {
  struct Part {
    FairAccount* account = nullptr;
    double local = 0;
    double total = 0;
  };
  const double elapsed = ToSeconds(now - service.rebalanced_at);
  const double keep = std::exp(-elapsed / kFleetWindowSeconds);
  service.rebalanced_at = now;
  std::vector<Part> open;
  double share_left = 0;
  for (FairAccount* account : service.queue.Accounts()) {
    const FleetUsage::Demand remote = fleet_.RemoteDemand(account->usage_key);
    const auto local = static_cast<double>(account->Waiting() + account->running);
    const double total = local + static_cast<double>(remote.waiting + remote.running);
    const double served = account->served + account->remote_served;
    account->fleet_rate =
        account->fleet_rate * keep + (served - account->counted_served) / kFleetWindowSeconds;
    account->counted_served = served;
    account->entitled_rate *= keep;
    // One request more, so that an account that has none here yet doesn't start with a weight of 0.
    double weight = account->share * (local + 1) / (total + 1);
    if (account->fleet_rate > 0 && account->entitled_rate > 0) {
      weight *=
          std::clamp(std::pow(account->entitled_rate / account->fleet_rate, kCorrectionExponent),
                     1 / kMaxCorrection, kMaxCorrection);
    }
    service.queue.SetWeight(*account, weight);
    if (total > 0) {
      open.push_back({.account = account, .local = local, .total = total});
      share_left += account->share;
    }
  }
  // Accounts that need less than their share are served first; what they leave raises the level of
  // the others.
  std::sort(open.begin(), open.end(), [](const Part& a, const Part& b) {
    return a.total * b.account->share < b.total * a.account->share;
  });
  double slots_left = static_cast<double>(*service.capacity) * fleet_.KnownFraction();
  double limit = 0;
  for (const Part& part : open) {
    const double given = std::min(part.total, slots_left * part.account->share / share_left);
    part.account->entitled_rate += given * (1 - keep);
    limit += given * part.local / part.total;
    slots_left -= given;
    share_left -= part.account->share;
  }
  limit += slots_left / static_cast<double>(fleet_.KnownDaemons());
  if (fleet_.KnownDaemons() == 1) {
    // Rounded down: the parts of daemons that are cut off from each other never exceed the slots.
    return std::max<std::size_t>(1, *service.capacity / fleet_.FleetSize());
  }
  // 1e-9 keeps an exact whole number from being rounded up by an error of the sum.
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(limit * kOvercommit - 1e-9)));
}

std::optional<Ticket> Scheduler::PickFrom(ServiceState& service, const CanStart& can_start,
                                          TimePoint now) {
  ServiceQueue& queue = service.queue;
  if (queue.waiting() == 0) {
    return std::nullopt;
  }
  const auto limit = LocalLimit(service.id, now);
  if (limit && queue.running() >= *limit) {
    return std::nullopt;
  }
  if (!can_start(service.id)) {
    service.observed_slots = queue.running();
    return std::nullopt;
  }
  const std::optional<double> slots = Slots(service, now);
  ServiceQueue::PickOptions options{.overdue_rank = SecondsOf(now)};
  if (slots) {
    const double known = std::max(*slots, static_cast<double>(queue.running() + 1));
    const std::size_t running_long = queue.running(WorkClass::kLong);
    options.short_slack =
        options_.short_slack_seconds * known / std::max(queue.total_weight(), 1e-9);
    options.long_allowed = running_long < LongLimit(service, known, kHeadroomDeviations, now);
    options.overdue_allowed = running_long < LongLimit(service, known, kOverdueDeviations, now);
    options.behind_allowed = static_cast<double>(running_long + 1) < known;
  }
  return queue.Pick(options);
}

std::optional<Verdict> Scheduler::Refusal(ServiceState& service, FairAccount& account, double cost,
                                          WorkClass work_class, const QueuedRequest& request,
                                          TimePoint now) {
  const ServiceQueue& queue = service.queue;
  const std::optional<double> known = Slots(service, now);
  const double slots = std::max(1.0, known.value_or(1));
  const auto refuse = [&](Reason reason, double excess) {
    return Verdict{.run_state = request.run_state,
                   .reason = reason,
                   .retry_after = RetryAfter(service, account, cost, excess, slots, now)};
  };
  if (!request.is_retry && queued_.size() >= options_.queue_limit) {
    return refuse(Reason::kQueueFull, queue.waiting_cost() / slots);
  }
  if (!request.is_retry && account.Waiting() >= options_.account_queue_limit) {
    return refuse(Reason::kAccountQueueFull, account.WaitingCost() / slots);
  }
  // A request that finds no queue is admitted even if its predicted cost is beyond its deadline:
  // a prediction that is never tried would never be corrected.
  if (!known || queue.waiting() == 0) {
    return std::nullopt;
  }
  if (*known < 1) {
    if (queue.waiting() < kProbeQueue) {
      return std::nullopt;
    }
    return refuse(Reason::kDeadlineUnreachable, queue.waiting_cost());
  }
  const double wait = queue.CostAhead(account, work_class) / slots;
  const double remaining = ToSeconds(request.deadline - now);
  if (wait > 0 && wait + cost > remaining) {
    return refuse(Reason::kDeadlineUnreachable, wait + cost - remaining);
  }
  const double longest = std::max(ToSeconds(options_.max_wait), options_.cost_wait_factor * cost);
  if (!request.is_retry && wait > longest) {
    return refuse(Reason::kAccountQueueFull, wait - longest);
  }
  return std::nullopt;
}

// Returns the time until the queue has room, plus the time that earlier refused requests need when
// they return, so that callers don't come back all at once.
Duration Scheduler::RetryAfter(const ServiceState& service, FairAccount& account, double cost,
                               double excess, double slots, TimePoint now) {
  const double rate = kReturnFraction * slots * account.weight / service.queue.total_weight();
  const double elapsed = ToSeconds(now - account.promised_at);
  account.promised = std::max(0.0, account.promised - elapsed * rate) + cost;
  account.promised_at = now;
  const double seconds =
      std::min(std::max(0.0, excess) + account.promised / rate, ToSeconds(kMaxRetryAfter));
  return std::max<Duration>(FromSeconds(seconds), kMinRetryAfter);
}

void Scheduler::RemoveQueued(Ticket ticket) {
  const auto found = queued_.find(ticket);
  const Queued queued = std::move(found->second);
  queued_.erase(found);
  by_latest_start_.erase({queued.latest_start, ticket});
  queued.service->queue.Remove(*queued.account, ItemOf(queued));
}

// Takes the requests out of the queue that could no longer end within their deadline, before they
// use a slot.
void Scheduler::CollectOverdue(TimePoint now) {
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    const Ticket ticket = by_latest_start_.begin()->second;
    const Queued& queued = queued_.at(ticket);
    ServiceState& service = *queued.service;
    const Reason reason =
        queued.request.deadline <= now ? Reason::kDeadlineExceeded : Reason::kDeadlineUnreachable;
    const double slots = std::max(1.0, Slots(service, now).value_or(1));
    const Duration retry_after = RetryAfter(service, *queued.account, queued.request.predicted_cost,
                                            service.queue.waiting_cost() / slots, slots, now);
    overdue_.push_back(
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

void Scheduler::ForgetLimits() {
  for (auto& [id, service] : services_) {
    service.local_limit_until = TimePoint::min();
  }
}

UsageSummary Scheduler::NewSummary(UsageScope scope, std::uint32_t& sequence) {
  // A summary with all accounts every 4 s corrects what a lost one left wrong.
  constexpr std::uint32_t kCompleteEvery = 8;
  UsageSummary summary{.scope = scope, .incarnation = options_.incarnation};
  summary.complete = sequence % kCompleteEvery == 0;
  summary.sequence = ++sequence;
  return summary;
}

}  // namespace savoryglade
