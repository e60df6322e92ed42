#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Number of a request, unique within one run of the daemon.
using Ticket = std::uint64_t;

// Short or long, by whether a request's predicted cost is far above that of the service's short
// requests.
enum class WorkClass : std::uint8_t { kShort, kLong };
constexpr std::size_t kWorkClassCount = 2;

// Queue and scheduling state of one client account at one service. Costs are in seconds of one
// upstream slot.
struct AccountQueue {
  // Waiting requests of each class, ordered by rank.
  std::array<std::set<std::pair<double, Ticket>>, kWorkClassCount> class_queues;
  std::array<double, kWorkClassCount> queued_cost = {};
  AccountId id;
  // Position in the order of creation.
  std::size_t index = 0;
  std::uint32_t usage_key = 0;
  double share = 1;
  // Share times the fraction of the account's requests that are at this daemon, corrected by its
  // entitled rate over its served rate in the fleet.
  double weight = 1;
  double virtual_time = 0;
  // Cost served here since the start, corrected to actual costs.
  double served = 0;
  std::size_t running = 0;
  // Cost served at other daemons, from their summaries.
  double remote_served = 0;
  // Moving averages in slots: the rate at which the fleet serves the account, and the rate that it
  // is entitled to.
  double fleet_rate = 0;
  double entitled_rate = 0;
  // Sum of served and remote_served that is already included in fleet_rate.
  double averaged_served = 0;
  // Cost of rejected requests that have been given a retry time, used to spread the retries.
  double deferred_cost = 0;
  TimePoint deferred_cost_at;
  // Values in the last usage summary.
  std::uint32_t reported_served_ms = 0;
  std::uint16_t reported_waiting = 0;
  std::uint16_t reported_running = 0;

  bool HasBacklog() const { return !class_queues[0].empty() || !class_queues[1].empty(); }
  std::size_t WaitingCount() const { return class_queues[0].size() + class_queues[1].size(); }
  double WaitingCost() const { return queued_cost[0] + queued_cost[1]; }
};

// Start-time fair queue over the client accounts of one service. Virtual time is cost divided by
// weight. Push, Remove, Pick, Start and Finish take time logarithmic in the number of accounts and
// of waiting requests.
class ServiceQueue {
 public:
  struct Entry {
    Ticket ticket = 0;
    double cost = 0;
    // Order within the account: lower ranks are scheduled first.
    double rank = 0;
    WorkClass work_class = WorkClass::kShort;
  };

  // Constraints on the choice of Pick.
  struct PickOptions {
    // Virtual time by which short work of one account may precede long work of another.
    double short_slack = 0;
    // Whether a slot is free for long work, for overdue long work (which may hold more slots), and
    // for long work of an account that is behind its share.
    bool long_allowed = true;
    bool overdue_allowed = true;
    bool behind_allowed = true;
    // Long work is overdue when its rank is at most this.
    double overdue_rank = 0;
  };

  // Returns the account; creates it with a share of 1 if it is new.
  AccountQueue& FindOrCreateAccount(const AccountId& id, const ServiceId& service);

  // Returns the account with this key, or nullptr if there is none.
  AccountQueue* FindByKey(std::uint32_t usage_key);

  // Sets the share, and the weight to the same value.
  void SetShare(AccountQueue& account, double share);

  // Sets the weight, in proportion to which the account is served while all are backlogged. Must be
  // positive.
  void SetWeight(AccountQueue& account, double weight);

  // Adds a waiting request. An account without waiting requests gains no credit for its idle time.
  void Push(AccountQueue& account, const Entry& entry);

  // Removes a waiting request.
  void Remove(AccountQueue& account, const Entry& entry);

  // Returns the ticket of the request to start next, or nothing if no request may start.
  std::optional<Ticket> Pick(const PickOptions& options) const;

  // Moves a waiting request to the running ones and charges its account.
  void Start(AccountQueue& account, const Entry& entry);

  // Ends a running request and corrects its charge to the actual cost.
  void Finish(AccountQueue& account, WorkClass work_class, double charged, double actual);

  // Returns the cost that is served before a new request of this account and class, assuming no
  // further arrivals: the cost waiting ahead of it in its own account, and what other accounts are
  // served in the meantime.
  double CostAhead(const AccountQueue& account, WorkClass work_class) const;

  std::size_t waiting() const { return waiting_; }
  std::size_t running(WorkClass work_class) const {
    return running_[static_cast<std::size_t>(work_class)];
  }
  std::size_t running() const { return running_[0] + running_[1]; }
  double waiting_cost() const { return waiting_cost_; }
  double total_weight() const { return total_weight_; }
  double virtual_time() const { return virtual_time_; }
  std::vector<AccountQueue*> Accounts() const;

 private:
  // Accounts by virtual time. Equal times are ordered by creation, so that runs are repeatable.
  using AccountIndex = std::map<std::pair<double, std::size_t>, AccountQueue*>;

  void RemoveFromIndex(AccountQueue& account);
  void AddToIndex(AccountQueue& account);
  void Charge(AccountQueue& account, double cost);
  void AdvanceVirtualTime();
  void RaiseToQueueVirtualTime(AccountQueue& account);

  std::map<AccountId, std::unique_ptr<AccountQueue>> accounts_;
  std::map<std::uint32_t, AccountQueue*> by_key_;
  // Accounts with waiting requests of a class, by virtual time.
  std::array<AccountIndex, kWorkClassCount> backlogged_;
  double virtual_time_ = 0;
  double total_weight_ = 0;
  double waiting_cost_ = 0;
  std::size_t waiting_ = 0;
  std::array<std::size_t, kWorkClassCount> running_ = {};
};

}  // namespace savoryglade
