#pragma once

#include <map>
#include <utility>

#include "core/strong_id.h"

namespace savoryglade {

// Limits of the retry budget of one client account at one service, in attempts.
struct RetryBudgetOptions {
  // Attempts that each request adds to the budget.
  double fraction = 0.1;
  // Maximum number of retries and hedges that a budget may save up. Without it, an hour without
  // failures would allow a retry storm at the next failure. 40 is the number of requests that one
  // account may have running in a failure domain that is lost: a quarter of a service's 160 slots.
  double burst = 40;
  // Initial budget of an account at a service, so that a single failure can be retried.
  double initial = 1;
};

// Budget for attempts beyond the first, per client account and service: a tenth of its requests,
// shared by retries and hedges. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  // Counts a new request.
  void OnRequest(const AccountId& account, const ServiceId& service);

  // Returns true if the budget allows one more attempt.
  bool Allows(const AccountId& account, const ServiceId& service) const;

  // Consumes one attempt of the budget. Returns false and consumes none if the budget is used up.
  bool TryConsume(const AccountId& account, const ServiceId& service);

 private:
  using Key = std::pair<AccountId, ServiceId>;

  RetryBudgetOptions options_;
  std::map<Key, double> balances_;
};

}  // namespace savoryglade
