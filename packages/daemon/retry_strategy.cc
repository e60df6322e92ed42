#include "daemon/retry_strategy.h"

namespace savoryglade {
namespace {

// Lets an account with few requests retry all that are lost with an upstream that runs several.
constexpr double kInitialBudget = 10;
constexpr int kMaxAttempts = 4;
constexpr Duration kInitialDelay = 20ms;

}  // namespace

BudgetedRetryStrategy::BudgetedRetryStrategy(std::uint64_t seed)
    : policy_({.max_attempts = kMaxAttempts,
               .initial_delay = kInitialDelay,
               .budget = {.initial = kInitialBudget}},
              Random(seed)) {}

void BudgetedRetryStrategy::OnRequest(const AccountId& account, const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  policy_.OnRequest(account, service);
}

RetryDecision BudgetedRetryStrategy::Decide(const FailedAttempt& failure, TimePoint now) {
  const std::lock_guard lock(mutex_);
  return policy_.Decide(failure, now);
}

}  // namespace savoryglade
