#include "scheduling/service_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "scheduling/usage_summary.h"

namespace savoryglade {
namespace {

constexpr std::size_t kShortIndex = static_cast<std::size_t>(WorkClass::kShort);
constexpr std::size_t kLongIndex = static_cast<std::size_t>(WorkClass::kLong);

std::size_t ClassIndex(WorkClass work_class) { return static_cast<std::size_t>(work_class); }

}  // namespace

AccountQueue& ServiceQueue::FindOrCreateAccount(const AccountId& id, const ServiceId& service) {
  std::unique_ptr<AccountQueue>& account = accounts_[id];
  if (!account) {
    account = std::make_unique<AccountQueue>();
    account->id = id;
    account->index = accounts_.size();
    account->usage_key = UsageKey(id, service);
    account->virtual_time = virtual_time_;
    total_weight_ += account->weight;
    by_key_.emplace(account->usage_key, account.get());
  }
  return *account;
}

AccountQueue* ServiceQueue::FindByKey(std::uint32_t usage_key) {
  const auto found = by_key_.find(usage_key);
  return found == by_key_.end() ? nullptr : found->second;
}

void ServiceQueue::SetShare(AccountQueue& account, double share) {
  account.share = share;
  SetWeight(account, share);
}

void ServiceQueue::SetWeight(AccountQueue& account, double weight) {
  total_weight_ += weight - account.weight;
  account.weight = weight;
}

void ServiceQueue::Push(AccountQueue& account, const Entry& entry) {
  const std::size_t class_index = ClassIndex(entry.work_class);
  RemoveFromIndex(account);
  if (!account.HasBacklog()) {
    RaiseToQueueVirtualTime(account);
  }
  account.class_queues[class_index].emplace(entry.rank, entry.ticket);
  account.queued_cost[class_index] += entry.cost;
  waiting_cost_ += entry.cost;
  ++waiting_;
  AddToIndex(account);
}

void ServiceQueue::Remove(AccountQueue& account, const Entry& entry) {
  const std::size_t class_index = ClassIndex(entry.work_class);
  RemoveFromIndex(account);
  account.class_queues[class_index].erase({entry.rank, entry.ticket});
  account.queued_cost[class_index] -= entry.cost;
  waiting_cost_ -= entry.cost;
  --waiting_;
  // Resets the sum when the queue is empty, because sums of doubles accumulate rounding errors.
  if (account.class_queues[class_index].empty()) {
    account.queued_cost[class_index] = 0;
  }
  if (waiting_ == 0) {
    waiting_cost_ = 0;
  }
  AddToIndex(account);
}

std::optional<Ticket> ServiceQueue::Pick(const PickOptions& options) const {
  const AccountQueue* short_account =
      backlogged_[kShortIndex].empty() ? nullptr : backlogged_[kShortIndex].begin()->second;
  const AccountQueue* long_account =
      backlogged_[kLongIndex].empty() ? nullptr : backlogged_[kLongIndex].begin()->second;
  if (long_account != nullptr && !options.long_allowed) {
    const bool behind =
        options.behind_allowed && short_account != nullptr &&
        long_account->virtual_time + options.short_slack < short_account->virtual_time;
    const bool overdue =
        options.overdue_allowed &&
        long_account->class_queues[kLongIndex].begin()->first <= options.overdue_rank;
    if (!behind && !overdue) {
      long_account = nullptr;
    }
  }
  if (long_account == nullptr && short_account == nullptr) {
    return std::nullopt;
  }
  if (long_account == nullptr) {
    return short_account->class_queues[kShortIndex].begin()->second;
  }
  if (short_account == nullptr) {
    return long_account->class_queues[kLongIndex].begin()->second;
  }
  const auto& short_entry = *short_account->class_queues[kShortIndex].begin();
  const auto& long_entry = *long_account->class_queues[kLongIndex].begin();
  const bool short_first =
      short_account == long_account
          ? short_entry.first <= long_entry.first
          : short_account->virtual_time <= long_account->virtual_time + options.short_slack;
  return short_first ? short_entry.second : long_entry.second;
}

void ServiceQueue::Start(AccountQueue& account, const Entry& entry) {
  AdvanceVirtualTime();
  Remove(account, entry);
  ++account.running;
  ++running_[ClassIndex(entry.work_class)];
  Charge(account, entry.cost);
}

void ServiceQueue::Finish(AccountQueue& account, WorkClass work_class, double charged,
                          double actual) {
  --account.running;
  --running_[ClassIndex(work_class)];
  Charge(account, actual - charged);
}

double ServiceQueue::CostAhead(const AccountQueue& account, WorkClass work_class) const {
  const bool is_short = work_class == WorkClass::kShort;
  const double own_cost = is_short ? account.queued_cost[kShortIndex] : account.WaitingCost();
  const double start_virtual_time =
      account.HasBacklog() ? account.virtual_time : std::max(account.virtual_time, virtual_time_);
  const double turn_virtual_time = start_virtual_time + own_cost / account.weight;
  double ahead = own_cost;
  for (const auto& [id, other] : accounts_) {
    if (other.get() == &account || !other->HasBacklog()) {
      continue;
    }
    const double other_cost = is_short ? other->queued_cost[kShortIndex] : other->WaitingCost();
    ahead += std::clamp((turn_virtual_time - other->virtual_time) * other->weight, 0.0, other_cost);
  }
  return ahead;
}

std::vector<AccountQueue*> ServiceQueue::Accounts() const {
  std::vector<AccountQueue*> result;
  result.reserve(accounts_.size());
  for (const auto& [id, account] : accounts_) {
    result.push_back(account.get());
  }
  return result;
}

void ServiceQueue::RemoveFromIndex(AccountQueue& account) {
  for (std::size_t class_index = 0; class_index < kWorkClassCount; ++class_index) {
    if (!account.class_queues[class_index].empty()) {
      backlogged_[class_index].erase({account.virtual_time, account.index});
    }
  }
}

void ServiceQueue::AddToIndex(AccountQueue& account) {
  for (std::size_t class_index = 0; class_index < kWorkClassCount; ++class_index) {
    if (!account.class_queues[class_index].empty()) {
      backlogged_[class_index].emplace(std::pair(account.virtual_time, account.index), &account);
    }
  }
}

void ServiceQueue::Charge(AccountQueue& account, double cost) {
  RemoveFromIndex(account);
  account.virtual_time += cost / account.weight;
  account.served += cost;
  AddToIndex(account);
}

void ServiceQueue::AdvanceVirtualTime() {
  double lowest = std::numeric_limits<double>::infinity();
  for (const AccountIndex* index :
       std::array<const AccountIndex*, 2>{&backlogged_[0], &backlogged_[1]}) {
    if (!index->empty()) {
      lowest = std::min(lowest, index->begin()->first.first);
    }
  }
  if (std::isfinite(lowest)) {
    virtual_time_ = std::max(virtual_time_, lowest);
  }
}

void ServiceQueue::RaiseToQueueVirtualTime(AccountQueue& account) {
  account.virtual_time = std::max(account.virtual_time, virtual_time_);
}

}  // namespace savoryglade
