#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"

namespace savoryglade {

// An attempt that failed, of a request that may be sent again.
struct FailedAttempt {
  AccountId account;
  ServiceId service;
  Verdict verdict;
  // Attempts so far, at least one.
  int attempts = 1;
  TimePoint deadline;
};

// Decides whether a request is sent to an upstream again. Safe to use from all workers.
class RetryStrategy {
 public:
  virtual ~RetryStrategy() = default;

  // Counts a request towards the budget of its client account and service.
  virtual void OnRequest(const AccountId& account, const ServiceId& service) = 0;

  // Returns the delay before the next attempt and takes it from the budget; otherwise the reason
  // why there is none.
  virtual std::optional<Duration> DelayBeforeRetry(const FailedAttempt& failure, TimePoint now) = 0;
};

// Retries with jittered exponential backoff, from a budget of 10% of the requests of each client
// account and service.
class BudgetedRetry : public RetryStrategy {
 public:
  explicit BudgetedRetry(std::uint64_t seed) : random_(seed) {}

  void OnRequest(const AccountId& account, const ServiceId& service) override;
  std::optional<Duration> DelayBeforeRetry(const FailedAttempt& failure, TimePoint now) override;

 private:
  using Key = std::pair<AccountId, ServiceId>;

  std::mutex mutex_;
  Random random_;
  // Retries that may be made, in fractions of one.
  std::map<Key, double> budgets_;
};

}  // namespace savoryglade
