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

// Number of one request inside one daemon, unique while the daemon runs.
using Ticket = std::uint64_t;

// Whether a request's predicted cost is far above that of the service's short requests.
enum class WorkClass : std::uint8_t { kShort, kLong };
constexpr std::size_t kWorkClassCount = 2;

// One client account at one service. Costs are in seconds of one slot of an upstream.
struct FairAccount {
  // One queue for each class, ordered by rank.
  std::array<std::set<std::pair<double, Ticket>>, kWorkClassCount> lanes;
  std::array<double, kWorkClassCount> lane_cost = {};
  AccountId id;
  // Position in the order of creation.
  std::size_t index = 0;
  std::uint32_t usage_key = 0;
  double share = 1;
  // Share times the part of the account's requests that is here, corrected by how much of its share
  // it gets in the fleet.
  double weight = 1;
  double virtual_time = 0;
  // Cost served here since the start, corrected to actual costs.
  double served = 0;
  std::size_t running = 0;
  // Cost served at other daemons, as far as known.
  double remote_served = 0;
  // Averages over the last seconds, in slots: what the fleet serves of the account, and what it is
  // entitled to.
  double fleet_rate = 0;
  double entitled_rate = 0;
  // Sum of served and remote_served that fleet_rate contains.
  double counted_served = 0;
  // Work that was refused with a time to return, for spreading the returns.
  double promised = 0;
  TimePoint promised_at;
  // What the last usage summary said.
  std::uint32_t reported_served_ms = 0;
  std::uint16_t reported_waiting = 0;
  std::uint16_t reported_running = 0;

  bool HasBacklog() const { return !lanes[0].empty() || !lanes[1].empty(); }
  std::size_t Waiting() const { return lanes[0].size() + lanes[1].size(); }
  double WaitingCost() const { return lane_cost[0] + lane_cost[1]; }
};

// Start-time fair queue over the client accounts of one service. Virtual time is cost divided by
// weight. Each operation takes time logarithmic in the number of accounts and of waiting requests.
class ServiceQueue {
 public:
  struct Item {
    Ticket ticket = 0;
    double cost = 0;
    // Order inside the account: lower ranks go first.
    double rank = 0;
    WorkClass work_class = WorkClass::kShort;
  };

  // What Pick may choose.
  struct PickOptions {
    // Virtual time by which short work of one account may precede long work of another.
    double short_slack = 0;
    // Whether a slot is free in the part that long work may hold, in the larger part that overdue
    // long work may hold, and in that of an account that has fallen behind its share.
    bool long_allowed = true;
    bool overdue_allowed = true;
    bool behind_allowed = true;
    // Long work is overdue when its rank is at most this.
    double overdue_rank = 0;
  };

  // Returns the account, which is created with a share of 1 if it is new.
  FairAccount& Account(const AccountId& id, const ServiceId& service);

  // Returns nullptr if there is no such account.
  FairAccount* FindByKey(std::uint32_t usage_key);

  // Sets the share, and the weight to the same value.
  void SetShare(FairAccount& account, double share);

  // Sets the ratio at which the account is served while all are backlogged. Must be positive.
  void SetWeight(FairAccount& account, double weight);

  // Adds a waiting request. An account that had none gets no credit for the time without work.
  void Push(FairAccount& account, const Item& item);

  // Removes a waiting request.
  void Remove(FairAccount& account, const Item& item);

  // Returns the ticket whose turn it is.
  std::optional<Ticket> Pick(const PickOptions& options) const;

  // Moves a waiting request to the running ones and charges its account.
  void Start(FairAccount& account, const Item& item);

  // Ends a running request and corrects its charge.
  void Finish(FairAccount& account, WorkClass work_class, double charged, double actual);

  // Returns the cost that is served before a new request of that class and account, if arrivals end
  // now: what waits before it in its own account, and what the others get until then.
  double CostAhead(const FairAccount& account, WorkClass work_class) const;

  std::size_t waiting() const { return waiting_; }
  std::size_t running(WorkClass work_class) const {
    return running_[static_cast<std::size_t>(work_class)];
  }
  std::size_t running() const { return running_[0] + running_[1]; }
  double waiting_cost() const { return waiting_cost_; }
  double total_weight() const { return total_weight_; }
  double virtual_time() const { return virtual_time_; }
  std::vector<FairAccount*> Accounts() const;

 private:
  // Accounts by virtual time. Equal times are ordered by creation, so that runs are repeatable.
  using Index = std::map<std::pair<double, std::size_t>, FairAccount*>;

  void Unindex(FairAccount& account);
  void Reindex(FairAccount& account);
  void Charge(FairAccount& account, double cost);
  void AdvanceVirtualTime();
  void CatchUp(FairAccount& account);

  std::map<AccountId, std::unique_ptr<FairAccount>> accounts_;
  std::map<std::uint32_t, FairAccount*> by_key_;
  // Accounts with waiting requests of a class, by virtual time.
  std::array<Index, kWorkClassCount> backlogged_;
  double virtual_time_ = 0;
  double total_weight_ = 0;
  double waiting_cost_ = 0;
  std::size_t waiting_ = 0;
  std::array<std::size_t, kWorkClassCount> running_ = {};
};

}  // namespace savoryglade
