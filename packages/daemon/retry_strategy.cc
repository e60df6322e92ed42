#include "daemon/retry_strategy.h"

namespace savoryglade {
namespace {

// An account with few requests must get through the loss of an upstream that runs several of them.
constexpr double kFirstBudget = 10;
constexpr int kMostAttempts = 4;
constexpr Duration kFirstDelay = 20ms;

}  // namespace

BudgetedRetryStrategy::BudgetedRetryStrategy(std::uint64_t seed)
    : policy_({.max_attempts = kMostAttempts,
               .initial_delay = kFirstDelay,
               .budget = {.initial = kFirstBudget}},
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
