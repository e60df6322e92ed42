#include "rollout/rollout_directory.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "routing/software_version.h"

namespace savoryglade::rollout {
namespace {

// Time after the completion for which the upstreams of other versions get no requests although
// their registrations are still there. Later they may belong to a change without an order.
constexpr Duration kExclusiveTime = 15s;

// Orders steps by their leader and number, and confirmations of one step.
auto RankOf(const RolloutStep& step, std::uint64_t confirmation) {
  return std::tuple(step.fencing, step.number, confirmation);
}

}  // namespace

RolloutDirectory::Entry* RolloutDirectory::Find(const ServiceId& service) {
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : &found->second;
}

const RolloutDirectory::Entry* RolloutDirectory::Find(const ServiceId& service) const {
  const auto found = entries_.find(service);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<ServiceId> RolloutDirectory::Services() const {
  std::vector<ServiceId> services;
  for (const auto& [service, entry] : entries_) {
    services.push_back(service);
  }
  return services;
}

bool RolloutDirectory::OnOrder(const RolloutOrder& order, Duration age, TimePoint now) {
  if (!enabled()) {
    return false;
  }
  Entry* const known = Find(order.service);
  if (known != nullptr && order.version <= known->order.version) {
    if (order.version == known->order.version) {
      known->ordered_at = std::min(known->ordered_at, now - age);
    }
    return false;
  }
  if (known != nullptr && order.AsksForSame(known->order) && order.era > known->order.era) {
    // The operator has written the order again after the store lost its row.
    known->order = order;
    return false;
  }
  Entry entry(order, now - age, seed_);
  entry.version = SoftwareVersionKey(order.to);
  if (known != nullptr) {
    entry.abandoned = std::move(known->abandoned);
    if (known->step.stage != RolloutStage::kCompleted) {
      entry.abandoned.insert(known->version);
    }
    entry.abandoned.erase(entry.version);
  }
  entries_.insert_or_assign(order.service, std::move(entry));
  return true;
}

void RolloutDirectory::OnOrdersRead(TimePoint as_of) {
  orders_read_at_ = std::max(orders_read_at_.value_or(as_of), as_of);
}

void RolloutDirectory::AdoptStep(Entry& entry, const ReportedRollout& reported, TimePoint now) {
  if (!reported.step_age) {
    return;
  }
  const RolloutStep& step = reported.step;
  const bool is_later = !entry.confirmed_at || RankOf(step, reported.confirmation) >
                                                   RankOf(entry.step, entry.confirmation);
  const RolloutStage held = entry.step.stage;
  if (IsFinal(held)) {
    // A completion is in the store before it is published, and the old upstreams stop.
    if (held == step.stage || step.stage != RolloutStage::kCompleted) {
      return;
    }
  } else if (!IsFinal(step.stage) && !is_later) {
    return;
  }
  if (held != step.stage || !entry.confirmed_at) {
    entry.stage_known_at = now;
  }
  entry.step = step;
  entry.confirmation = reported.confirmation;
  entry.confirmed_at = now - *reported.step_age;
}

void RolloutDirectory::OnReport(const ReportSource& source, std::uint64_t incarnation,
                                const std::vector<ReportedRollout>& reported, TimePoint now) {
  for (const ReportedRollout& rollout : reported) {
    OnOrder(rollout.order, rollout.order_age, now);
    Entry* const entry = Find(rollout.order.service);
    if (entry == nullptr || (rollout.order.version != entry->order.version &&
                             !rollout.order.AsksForSame(entry->order))) {
      continue;
    }
    if (rollout.order.version != entry->order.version && rollout.order.era == entry->order.era) {
      continue;
    }
    for (const std::uint64_t version : rollout.abandoned) {
      if (version != entry->version) {
        entry->abandoned.insert(version);
      }
    }
    AdoptStep(*entry, rollout, now);
    entry->ledger.OnReport(source, incarnation, rollout.counts);
  }
}

void RolloutDirectory::DiscardReports(const ReportSource& source) {
  for (auto& [service, entry] : entries_) {
    entry.ledger.DiscardReports(source);
  }
}

std::vector<ReportedRollout> RolloutDirectory::ReportOf(ReportScope scope, TimePoint now) const {
  std::vector<ReportedRollout> reported;
  for (const auto& [service, entry] : entries_) {
    ReportedRollout rollout{
        .order = entry.order,
        .order_age = now - entry.ordered_at,
        .abandoned = std::vector<std::uint64_t>(entry.abandoned.begin(), entry.abandoned.end()),
        .step = entry.step,
        .confirmation = entry.confirmation};
    if (entry.confirmed_at) {
      rollout.step_age = now - *entry.confirmed_at;
    }
    if (!IsFinal(entry.step.stage)) {
      rollout.counts = entry.ledger.CountsOf(scope);
    }
    reported.push_back(std::move(rollout));
  }
  return reported;
}

void RolloutDirectory::Publish(const ServiceId& service, const RolloutStep& step, TimePoint now) {
  if (Entry* const entry = Find(service); entry != nullptr) {
    if (entry->step.stage != step.stage || !entry->confirmed_at) {
      entry->stage_known_at = now;
    }
    entry->step = step;
    entry->confirmation = 0;
    entry->confirmed_at = now;
  }
}

void RolloutDirectory::Confirm(const ServiceId& service, TimePoint now) {
  if (Entry* const entry = Find(service); entry != nullptr && entry->confirmed_at) {
    ++entry->confirmation;
    entry->confirmed_at = now;
  }
}

void RolloutDirectory::OnRequest(const ServiceId& service, std::uint64_t route) {
  if (Entry* const entry = Find(service); entry != nullptr && !IsFinal(entry->step.stage)) {
    entry->gate.OnRequest();
    ++entry->ledger.Own(route).requests;
  }
}

void RolloutDirectory::OnSent(const ServiceId& service, std::uint64_t route,
                              std::uint64_t version) {
  if (Entry* const entry = Find(service); entry != nullptr && entry->version == version) {
    entry->gate.OnSentToNew();
    ++entry->ledger.Own(route).sent_to_new;
  }
}

void RolloutDirectory::OnResponse(const ServiceId& service, std::uint64_t route,
                                  std::uint64_t version, ResponseQuality quality) {
  Entry* const entry = Find(service);
  if (entry == nullptr || entry->abandoned.contains(version)) {
    return;
  }
  RouteCounts& counts = entry->ledger.Own(route);
  ResponseCounts& side = version == entry->version ? counts.new_version : counts.old_version;
  switch (quality) {
    case ResponseQuality::kGood:
      ++side.good;
      break;
    case ResponseQuality::kFailed:
      ++side.failed;
      break;
    case ResponseQuality::kSlow:
      ++side.slow;
      break;
  }
}

bool RolloutDirectory::Admits(const ServiceId& service, std::uint64_t route,
                              std::uint64_t request_hash, TimePoint now) const {
  const Entry* const entry = Find(service);
  if (entry == nullptr) {
    return false;
  }
  RolloutGate gate = entry->gate;
  gate.SetBounds(bounds_, daemons_);
  return gate.Admits(entry->step, entry->StepAge(now), route, request_hash);
}

std::vector<VersionRule> RolloutDirectory::RulesOf(const ServiceId& service, TimePoint now) const {
  std::vector<VersionRule> rules;
  const Entry* const entry = Find(service);
  if (entry == nullptr) {
    return rules;
  }
  for (const std::uint64_t version : entry->abandoned) {
    rules.push_back({.version = version});
  }
  const bool is_waiting = entry->step.stage == RolloutStage::kWaiting;
  if (entry->already_served && is_waiting) {
    return rules;
  }
  VersionRule rule{.version = entry->version};
  RolloutGate gate = entry->gate;
  gate.SetBounds(bounds_, daemons_);
  if (gate.IsOpen(entry->step, entry->StepAge(now))) {
    const bool is_completed = entry->step.stage == RolloutStage::kCompleted;
    // Upstreams that register later belong to the version as well.
    rule.upstreams = entry->step.stage >= RolloutStage::kDrain ? std::numeric_limits<int>::max()
                                                               : entry->step.upstreams;
    rule.exclusive = entry->step.stage == RolloutStage::kDrain ||
                     (is_completed && now - entry->stage_known_at < kExclusiveTime);
    if (!is_completed) {
      rule.valid_until = *entry->confirmed_at + gate.max_step_age();
    }
  }
  rules.push_back(rule);
  return rules;
}

}  // namespace savoryglade::rollout
