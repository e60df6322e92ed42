#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "recovery/retry_policy.h"

namespace savoryglade {

// Decides whether a request is sent to an upstream again. Safe to use from all workers.
class RetryStrategy {
 public:
  virtual ~RetryStrategy() = default;

  // Counts a request towards the budget of its client account and service.
  virtual void OnRequest(const AccountId& account, const ServiceId& service) = 0;

  // Returns the delay before the next attempt and takes it from the budget, or the verdict for the
  // caller.
  virtual RetryDecision Decide(const FailedAttempt& failure, TimePoint now) = 0;
};

// Retries by the policy of the recovery package.
class BudgetedRetryStrategy : public RetryStrategy {
 public:
  explicit BudgetedRetryStrategy(std::uint64_t seed);

  void OnRequest(const AccountId& account, const ServiceId& service) override;
  RetryDecision Decide(const FailedAttempt& failure, TimePoint now) override;

 private:
  std::mutex mutex_;
  RetryPolicy policy_;
};

}  // namespace savoryglade
