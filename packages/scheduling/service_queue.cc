#include "scheduling/service_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "scheduling/usage_summary.h"

namespace savoryglade {
namespace {

constexpr std::size_t kShortLane = static_cast<std::size_t>(WorkClass::kShort);
constexpr std::size_t kLongLane = static_cast<std::size_t>(WorkClass::kLong);

std::size_t LaneOf(WorkClass work_class) { return static_cast<std::size_t>(work_class); }

}  // namespace

FairAccount& ServiceQueue::Account(const AccountId& id, const ServiceId& service) {
  std::unique_ptr<FairAccount>& account = accounts_[id];
  if (!account) {
    account = std::make_unique<FairAccount>();
    account->id = id;
    account->index = accounts_.size();
    account->usage_key = UsageKey(id, service);
    account->virtual_time = virtual_time_;
    total_weight_ += account->weight;
    by_key_.emplace(account->usage_key, account.get());
  }
  return *account;
}

FairAccount* ServiceQueue::FindByKey(std::uint32_t usage_key) {
  const auto found = by_key_.find(usage_key);
  return found == by_key_.end() ? nullptr : found->second;
}

void ServiceQueue::SetShare(FairAccount& account, double share) {
  account.share = share;
  SetWeight(account, share);
}

void ServiceQueue::SetWeight(FairAccount& account, double weight) {
  total_weight_ += weight - account.weight;
  account.weight = weight;
}

void ServiceQueue::Push(FairAccount& account, const Item& item) {
  const std::size_t lane = LaneOf(item.work_class);
  Unindex(account);
  if (!account.HasBacklog()) {
    CatchUp(account);
  }
  account.lanes[lane].emplace(item.rank, item.ticket);
  account.lane_cost[lane] += item.cost;
  waiting_cost_ += item.cost;
  ++waiting_;
  Reindex(account);
}

void ServiceQueue::Remove(FairAccount& account, const Item& item) {
  const std::size_t lane = LaneOf(item.work_class);
  Unindex(account);
  account.lanes[lane].erase({item.rank, item.ticket});
  account.lane_cost[lane] -= item.cost;
  waiting_cost_ -= item.cost;
  --waiting_;
  // Sums of doubles drift; an empty lane is the point at which the true sum is known.
  if (account.lanes[lane].empty()) {
    account.lane_cost[lane] = 0;
  }
  if (waiting_ == 0) {
    waiting_cost_ = 0;
  }
  Reindex(account);
}

std::optional<Ticket> ServiceQueue::Pick(const PickOptions& options) const {
  const FairAccount* short_account =
      backlogged_[kShortLane].empty() ? nullptr : backlogged_[kShortLane].begin()->second;
  const FairAccount* long_account =
      backlogged_[kLongLane].empty() ? nullptr : backlogged_[kLongLane].begin()->second;
  if (long_account != nullptr && !options.long_allowed) {
    const bool behind =
        options.behind_allowed && short_account != nullptr &&
        long_account->virtual_time + options.short_slack < short_account->virtual_time;
    const bool overdue = options.overdue_allowed &&
                         long_account->lanes[kLongLane].begin()->first <= options.overdue_rank;
    if (!behind && !overdue) {
      long_account = nullptr;
    }
  }
  if (long_account == nullptr && short_account == nullptr) {
    return std::nullopt;
  }
  if (long_account == nullptr) {
    return short_account->lanes[kShortLane].begin()->second;
  }
  if (short_account == nullptr) {
    return long_account->lanes[kLongLane].begin()->second;
  }
  const auto& short_item = *short_account->lanes[kShortLane].begin();
  const auto& long_item = *long_account->lanes[kLongLane].begin();
  const bool short_first =
      short_account == long_account
          ? short_item.first <= long_item.first
          : short_account->virtual_time <= long_account->virtual_time + options.short_slack;
  return short_first ? short_item.second : long_item.second;
}

void ServiceQueue::Start(FairAccount& account, const Item& item) {
  AdvanceVirtualTime();
  Remove(account, item);
  ++account.running;
  ++running_[LaneOf(item.work_class)];
  Charge(account, item.cost);
}

void ServiceQueue::Finish(FairAccount& account, WorkClass work_class, double charged,
                          double actual) {
  --account.running;
  --running_[LaneOf(work_class)];
  Charge(account, actual - charged);
}

double ServiceQueue::CostAhead(const FairAccount& account, WorkClass work_class) const {
  const bool is_short = work_class == WorkClass::kShort;
  const double own = is_short ? account.lane_cost[kShortLane] : account.WaitingCost();
  const double start =
      account.HasBacklog() ? account.virtual_time : std::max(account.virtual_time, virtual_time_);
  const double turn = start + own / account.weight;
  double ahead = own;
  for (const auto& [id, other] : accounts_) {
    if (other.get() == &account || !other->HasBacklog()) {
      continue;
    }
    const double queued = is_short ? other->lane_cost[kShortLane] : other->WaitingCost();
    ahead += std::clamp((turn - other->virtual_time) * other->weight, 0.0, queued);
  }
  return ahead;
}

std::vector<FairAccount*> ServiceQueue::Accounts() const {
  std::vector<FairAccount*> result;
  result.reserve(accounts_.size());
  for (const auto& [id, account] : accounts_) {
    result.push_back(account.get());
  }
  return result;
}

void ServiceQueue::Unindex(FairAccount& account) {
  for (std::size_t lane = 0; lane < kWorkClassCount; ++lane) {
    if (!account.lanes[lane].empty()) {
      backlogged_[lane].erase({account.virtual_time, account.index});
    }
  }
}

void ServiceQueue::Reindex(FairAccount& account) {
  for (std::size_t lane = 0; lane < kWorkClassCount; ++lane) {
    if (!account.lanes[lane].empty()) {
      backlogged_[lane].emplace(std::pair(account.virtual_time, account.index), &account);
    }
  }
}

void ServiceQueue::Charge(FairAccount& account, double cost) {
  Unindex(account);
  account.virtual_time += cost / account.weight;
  account.served += cost;
  Reindex(account);
}

void ServiceQueue::AdvanceVirtualTime() {
  double lowest = std::numeric_limits<double>::infinity();
  for (const Index* index : std::array<const Index*, 2>{&backlogged_[0], &backlogged_[1]}) {
    if (!index->empty()) {
      lowest = std::min(lowest, index->begin()->first.first);
    }
  }
  if (std::isfinite(lowest)) {
    virtual_time_ = std::max(virtual_time_, lowest);
  }
}

void ServiceQueue::CatchUp(FairAccount& account) {
  account.virtual_time = std::max(account.virtual_time, virtual_time_);
}

}  // namespace savoryglade
