#include "gateway/rollout_coordinator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/boot_clock.h"
#include "core/prefix_hash.h"
#include "logging/logger.h"
#include "net/sleep.h"
#include "routing/software_version.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using rollout::IsFinal;
using rollout::RolloutDirectory;
using rollout::RolloutStage;
using rollout::RolloutStep;

constexpr Duration kDecisionInterval = 100ms;
constexpr Duration kStoreInterval = 50ms;
constexpr Duration kStoreRetryInterval = 250ms;
constexpr Duration kMetricsInterval = 1s;
// Interval at which a daemon that hears of no step reads the row: the minimum, or the time per
// daemon of the fleet if that is longer.
constexpr Duration kMinOutcomeReadInterval = 2s;
constexpr Duration kOutcomeReadIntervalPerDaemon = 50ms;
// Difference between the clocks of two leaders that is allowed for.
constexpr Duration kMaxClockSkew = 1s;

const Logger kLog("rollout");

RolloutState StateOf(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kCompleted:
      return RolloutState::kCompleted;
    case RolloutStage::kRolledBack:
      return RolloutState::kRolledBack;
    default:
      return RolloutState::kRunning;
  }
}

// Returns true if a step differs from another in more than its leader and number.
bool DiffersFrom(RolloutStep step, const RolloutStep& other) {
  step.fencing = other.fencing;
  step.number = other.number;
  return step != other;
}

}  // namespace

void RolloutCoordinator::ApplyLimits() {
  if (!fleet_.rollouts.enabled()) {
    return;
  }
  const TimePoint now = BootNow();
  for (const auto& [service, versions] : fleet_.load_balancer.Versions()) {
    LimitVersions(service, versions, now);
  }
}

void RolloutCoordinator::LimitVersions(const ServiceId& service,
                                       const std::set<std::uint64_t>& versions, TimePoint now) {
  const bool has_synced = callbacks_.has_synced();
  Entry* const entry = fleet_.rollouts.Find(service);
  if (entry != nullptr && has_synced && checked_orders_[service] != entry->order.version) {
    checked_orders_[service] = entry->order.version;
    entry->already_served = versions == std::set<std::uint64_t>{entry->version} &&
                            first_seen_.contains({service, entry->version});
  }
  std::map<std::uint64_t, VersionLimit> limits;
  for (const rollout::VersionRule& rule : fleet_.rollouts.RulesOf(service, now)) {
    const bool is_unbounded = rule.upstreams == std::numeric_limits<int>::max();
    limits[rule.version] = {.upstreams = is_unbounded ? -1 : rule.upstreams,
                            .exclusive = rule.exclusive,
                            .valid_until = rule.valid_until};
  }
  for (const std::uint64_t version : versions) {
    // The versions of the first view may have registered long ago.
    const TimePoint seen =
        first_seen_.try_emplace({service, version}, has_synced ? now : TimePoint{}).first->second;
    const std::optional<TimePoint> read_at = fleet_.rollouts.orders_read_at();
    if (versions.size() > 1 && (!read_at || *read_at < seen) && !limits.contains(version)) {
      // It may have been ordered.
      limits[version] = {};
    }
  }
  std::erase_if(first_seen_, [&](const auto& seen) {
    return seen.first.first == service && !versions.contains(seen.first.second);
  });
  fleet_.load_balancer.SetVersionLimits(service, std::move(limits));
}

asio::awaitable<void> RolloutCoordinator::DecisionLoop() {
  if (!fleet_.settings.rolls_out) {
    co_return;
  }
  while (true) {
    const TimePoint now = BootNow();
    fleet_.rollout_responses.Tick(now);
    if (duties_.holds_lease()) {
      for (const ServiceId& service : fleet_.rollouts.Services()) {
        Decide(service, now);
      }
    } else {
      leads_.clear();
    }
    ApplyLimits();
    PublishMetrics(now);
    co_await Sleep(kDecisionInterval);
  }
}

RolloutCoordinator::Lead& RolloutCoordinator::LeadOf(const ServiceId& service, const Entry& entry) {
  const std::uint64_t fencing = duties_.holder().fencing_token;
  Lead& lead = leads_[service];
  if (lead.order_version != entry.order.version || lead.fencing != fencing) {
    lead = Lead{};
    lead.order_version = entry.order.version;
    lead.fencing = fencing;
  }
  return lead;
}

RolloutCoordinator::Lead* RolloutCoordinator::FindLead(const ServiceId& service) {
  const Entry* const entry = fleet_.rollouts.Find(service);
  const auto found = leads_.find(service);
  if (entry == nullptr || found == leads_.end() || !duties_.holds_lease() ||
      found->second.order_version != entry->order.version ||
      found->second.fencing != duties_.holder().fencing_token) {
    return nullptr;
  }
  return &found->second;
}

rollout::PlanInput RolloutCoordinator::MakeInput(const Entry& entry, TimePoint now) {
  const auto [next, other] = fleet_.load_balancer.UseOf(entry.order.service, entry.version, now);
  return {.counts = entry.ledger.Total(),
          .old_slots = other.slots,
          .new_slots = next.slots,
          .new_upstreams = next.upstreams,
          .running_on_old = other.running,
          .already_served = entry.already_served};
}

void RolloutCoordinator::Decide(const ServiceId& service, TimePoint now) {
  Entry& entry = *fleet_.rollouts.Find(service);
  Lead& lead = LeadOf(service, entry);
  if (!callbacks_.has_synced()) {
    return;
  }
  if (lead.plan == nullptr) {
    // Without the row, only a step that was heard of is continued.
    if (!lead.has_read && !(lead.has_failed_read && entry.confirmed_at)) {
      return;
    }
    lead.plan = std::make_unique<rollout::RolloutPlan>(
        rollout::PlanOptions{.bounds = fleet_.rollouts.bounds()}, entry.order.duration,
        entry.ordered_at);
    if (entry.confirmed_at) {
      lead.plan->Resume(entry.step, now);
    }
  }
  if (IsFinal(entry.step.stage) && lead.plan->stage() != entry.step.stage) {
    lead.plan->Resume(entry.step, now);
  }
  rollout::PlanInput input = MakeInput(entry, now);
  const bool is_back = lead.wanted && lead.wanted->stage == RolloutStage::kRolledBack;
  input.step_pending = lead.wanted.has_value() && !is_back;
  RolloutStep step = lead.plan->Decide(input, now);
  step.fencing = lead.fencing;
  step.number = entry.step.number + 1;
  const bool is_final_unwritten =
      IsFinal(step.stage) && (!lead.written || lead.written->stage != step.stage);
  const bool needs_write = !lead.has_read || !lead.written || step.IsLargerThan(*lead.written) ||
                           is_final_unwritten || lead.written_era != store_.era().number;
  if (needs_write && !(lead.wanted && !DiffersFrom(step, *lead.wanted))) {
    lead.wanted = step;
  } else if (!needs_write) {
    lead.wanted.reset();
  }
  const bool is_safe = step.stage == RolloutStage::kRolledBack ||
                       (lead.written && !step.IsLargerThan(*lead.written) && !is_final_unwritten) ||
                       (entry.confirmed_at && !DiffersFrom(step, entry.step));
  if (!is_safe) {
    // What is published stays until the row has been written.
    if (entry.confirmed_at && entry.step.fencing == lead.fencing) {
      fleet_.rollouts.Confirm(service, now);
    }
    return;
  }
  if (!entry.confirmed_at || entry.step.fencing != lead.fencing || DiffersFrom(step, entry.step)) {
    Publish(service, lead, step, now);
  } else {
    fleet_.rollouts.Confirm(service, now);
  }
}

void RolloutCoordinator::Publish(const ServiceId& service, const Lead& lead,
                                 const RolloutStep& step, TimePoint now) {
  const Entry& entry = *fleet_.rollouts.Find(service);
  // The shares of the routes change with each count, and bursts alternate.
  const bool is_new_step = step.stage != entry.step.stage || entry.step.fencing != step.fencing ||
                           (step.stage == RolloutStage::kRamp && step.share != entry.step.share);
  if (is_new_step) {
    const rollout::RouteCounts sum = rollout::SumOf(entry.ledger.Total());
    const rollout::ResponseCounts& responses = lead.plan->evidence().new_responses();
    kLog.Essential("A step of a roll-out is published.", {{"service", service.value()},
                                                          {"to", entry.order.to},
                                                          {"stage", rollout::ToString(step.stage)},
                                                          {"reason", lead.plan->reason()},
                                                          {"share", step.share},
                                                          {"upstreams", step.upstreams},
                                                          {"score", lead.plan->evidence().score()},
                                                          {"good", responses.good},
                                                          {"failed", responses.failed},
                                                          {"slow", responses.slow},
                                                          {"requests", sum.requests},
                                                          {"sent_to_new", sum.sent_to_new},
                                                          {"fencing", step.fencing},
                                                          {"ms", (now - entry.ordered_at) / 1ms}});
  }
  fleet_.rollouts.Publish(service, step, now);
  if (is_new_step) {
    ApplyLimits();
    callbacks_.publish();
  }
}

void RolloutCoordinator::ApplyRow(const ServiceId& service, const RolloutRow& row, TimePoint now) {
  Entry* const entry = fleet_.rollouts.Find(service);
  if (entry == nullptr) {
    return;
  }
  Lead* const lead = FindLead(service);
  const bool is_same = row.order.version == entry->order.version ||
                       (row.order.AsksForSame(entry->order) && row.order.era < entry->order.era);
  if (!is_same) {
    if (row.order.version < entry->order.version && row.step.stage != RolloutStage::kCompleted) {
      const std::uint64_t version = SoftwareVersionKey(row.order.to);
      if (version != entry->version) {
        entry->abandoned.insert(version);
      }
    }
    for (const std::uint64_t version : row.abandoned) {
      if (version != entry->version) {
        entry->abandoned.insert(version);
      }
    }
    return;
  }
  const Duration age = fleet_.clock.Now(now) - row.ordered_at;
  if (age >= -kMaxClockSkew) {
    entry->ordered_at = std::min(entry->ordered_at, now - std::max(age, Duration::zero()));
  }
  for (const std::uint64_t version : row.abandoned) {
    entry->abandoned.insert(version);
  }
  if (IsFinal(row.step.stage) && !IsFinal(entry->step.stage)) {
    fleet_.rollouts.Publish(service, row.step, now);
  }
  if (lead != nullptr) {
    lead->written = row.step;
    lead->written_era = store_.era().number;
  }
}

asio::awaitable<bool> RolloutCoordinator::ReadRow(const ServiceId& service) {
  const provider::ReadResult read = co_await store_.ReadRow(RolloutRowKey(service));
  Lead* const lead = FindLead(service);
  if (!read) {
    if (lead != nullptr) {
      lead->has_failed_read = true;
    }
    kLog.Warning("Reading the row of a roll-out failed.",
                 {{"service", service.value()}, {"error", read.error().message}});
    co_return false;
  }
  if (lead != nullptr) {
    lead->row_version = read->version;
  }
  if (read->exists()) {
    const Result<RolloutRow> row = DecodeRolloutRow(read->value);
    if (!row) {
      kLog.Warning("The row of a roll-out is invalid; it is ignored.",
                   {{"service", service.value()}, {"error", row.error().message}});
    } else if (lead == nullptr || !lead->has_read) {
      ApplyRow(service, *row, BootNow());
    }
  }
  if (lead != nullptr) {
    lead->has_read = true;
  }
  co_return true;
}

asio::awaitable<void> RolloutCoordinator::WriteStep(const ServiceId& service) {
  Lead* lead = FindLead(service);
  if (!lead->row_version && !co_await ReadRow(service)) {
    co_return;
  }
  lead = FindLead(service);
  const Entry* const entry = fleet_.rollouts.Find(service);
  if (lead == nullptr || !lead->wanted || !lead->row_version || entry == nullptr) {
    co_return;
  }
  const TimePoint now = BootNow();
  const RolloutStep step = *lead->wanted;
  const RolloutRow row{.order = entry->order,
                       .ordered_at = fleet_.clock.Now(now) - (now - entry->ordered_at),
                       .abandoned = {entry->abandoned.begin(), entry->abandoned.end()},
                       .step = step};
  const std::string key = RolloutRowKey(service);
  const provider::Transaction transaction = {
      .conditions = {{.key = key, .version = *lead->row_version}},
      .writes = {{.key = key, .value = EncodeRolloutRow(row, lead->plan.get())}}};
  const RolloutStatus status{
      .service = service, .state = StateOf(step.stage), .to = entry->order.to};
  const provider::CommitStatus committed = co_await store_.CommitRollout(transaction, status);
  lead = FindLead(service);
  if (lead == nullptr) {
    co_return;
  }
  lead->row_version.reset();
  if (committed != provider::CommitStatus::kCommitted) {
    kLog.Warning("Writing a step of a roll-out failed; retrying.",
                 {{"service", service.value()},
                  {"stage", rollout::ToString(step.stage)},
                  {"status", static_cast<int>(committed)}});
    co_return;
  }
  kLog.Info("Wrote a step of a roll-out.", {{"service", service.value()},
                                            {"stage", rollout::ToString(step.stage)},
                                            {"share", step.share},
                                            {"ms", (BootNow() - entry->ordered_at) / 1ms}});
  lead->written = step;
  lead->written_era = store_.era().number;
  lead->wanted.reset();
}

bool RolloutCoordinator::IsOutOfTouch(const Entry& entry, TimePoint now) const {
  if (IsFinal(entry.step.stage)) {
    return false;
  }
  const Duration age = entry.confirmed_at ? now - *entry.confirmed_at : now - entry.ordered_at;
  return age > fleet_.rollouts.bounds().rollback;
}

asio::awaitable<void> RolloutCoordinator::StoreLoop() {
  if (!fleet_.settings.rolls_out) {
    co_return;
  }
  while (true) {
    bool failed = false;
    for (const ServiceId& service : fleet_.rollouts.Services()) {
      const Lead* const lead = FindLead(service);
      if (lead != nullptr && !lead->has_read) {
        const bool has_read = co_await ReadRow(service);
        failed = failed || !has_read;
      } else if (lead != nullptr && lead->wanted) {
        co_await WriteStep(service);
        const Lead* const written = FindLead(service);
        failed = failed || (written != nullptr && written->wanted.has_value());
      } else if (lead == nullptr && BootNow() >= next_outcome_read_ &&
                 IsOutOfTouch(*fleet_.rollouts.Find(service), BootNow())) {
        next_outcome_read_ =
            BootNow() + std::max(kMinOutcomeReadInterval,
                                 kOutcomeReadIntervalPerDaemon * fleet_.groups.daemons());
        co_await ReadRow(service);
        ApplyLimits();
      }
    }
    co_await Sleep(failed ? kStoreRetryInterval : kStoreInterval);
  }
}

void RolloutCoordinator::PublishMetrics(TimePoint now) {
  if (now - metrics_published_at_ < kMetricsInterval) {
    return;
  }
  metrics_published_at_ = now;
  std::map<std::uint64_t, std::string> names;
  if (fleet_.routes != nullptr && !fleet_.rollouts.Services().empty()) {
    for (const Route& route : fleet_.routes->document().routes) {
      names.emplace(Fnv1aHash(route.name), route.name);
    }
  }
  for (const ServiceId& service : fleet_.rollouts.Services()) {
    const Entry& entry = *fleet_.rollouts.Find(service);
    const std::string& name = service.value();
    fleet_.metrics.GetGauge("savoryglade_gateway_rollout_stage", {{"service", name}})
        .Set(static_cast<std::int64_t>(entry.step.stage));
    fleet_.metrics.GetGauge("savoryglade_gateway_rollout_share_permille", {{"service", name}})
        .Set(std::lround(entry.step.share * 1000));
    for (const auto& [route, counts] : entry.ledger.Total()) {
      const auto found = names.find(route);
      if (found == names.end()) {
        continue;
      }
      const auto publish = [&](const char* version, const char* result, std::uint32_t count) {
        fleet_.metrics
            .GetGauge("savoryglade_gateway_rollout_responses", {{"service", name},
                                                                {"route", found->second},
                                                                {"version", version},
                                                                {"result", result}})
            .Set(count);
      };
      publish("old", "good", counts.old_version.good);
      publish("old", "failed", counts.old_version.failed);
      publish("old", "slow", counts.old_version.slow);
      publish("new", "good", counts.new_version.good);
      publish("new", "failed", counts.new_version.failed);
      publish("new", "slow", counts.new_version.slow);
    }
  }
}

}  // namespace savoryglade::gateway
