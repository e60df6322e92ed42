#pragma once

#include <map>
#include <utility>

#include "core/strong_id.h"

namespace savoryglade {

// Limits of one budget, in attempts.
struct RetryBudgetOptions {
  // Attempts that each request adds.
  double fraction = 0.1;
  // Unused attempts that are kept. Without a bound, an hour without failures would allow a storm of
  // retries when one comes. 40 are what a lost failure domain may run for one account: a quarter of
  // a service's 160 slots.
  double burst = 40;
  // Attempts of an account that has just started, so that one failure can be retried.
  double initial = 1;
};

// Attempts beyond the first that each client account may make at each service: a tenth of its
// requests, for retries and hedges together. Not safe to use from several threads.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  // Counts a new request.
  void OnRequest(const AccountId& account, const ServiceId& service);

  // Returns true if one more attempt is within the budget.
  bool Allows(const AccountId& account, const ServiceId& service) const;

  // Takes one attempt out of the budget. Returns false, and takes nothing, if there is none.
  bool Take(const AccountId& account, const ServiceId& service);

 private:
  using Key = std::pair<AccountId, ServiceId>;

  RetryBudgetOptions options_;
  std::map<Key, double> left_;
};

}  // namespace savoryglade
