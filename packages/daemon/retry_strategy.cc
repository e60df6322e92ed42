#include "daemon/retry_strategy.h"

#include <algorithm>

namespace savoryglade {
namespace {

constexpr double kRetriesPerRequest = 0.1;
// Lets rare requests be retried although a tenth of them is less than one.
constexpr double kFirstBudget = 10;
constexpr double kLargestBudget = 100;
constexpr int kMostAttempts = 4;
constexpr Duration kFirstDelay = 10ms;

}  // namespace

void BudgetedRetry::OnRequest(const AccountId& account, const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  double& budget = budgets_.try_emplace(Key(account, service), kFirstBudget).first->second;
  budget = std::min(budget + kRetriesPerRequest, kLargestBudget);
}

std::optional<Duration> BudgetedRetry::DelayBeforeRetry(const FailedAttempt& failure,
                                                        TimePoint now) {
  const std::lock_guard lock(mutex_);
  double& budget =
      budgets_.try_emplace(Key(failure.account, failure.service), kFirstBudget).first->second;
  if (budget < 1 || failure.attempts >= kMostAttempts) {
    return std::nullopt;
  }
  const Duration longest = kFirstDelay * (1 << failure.attempts);
  const Duration delay = FromSeconds(ToSeconds(longest) * random_.Unit());
  if (now + delay >= failure.deadline) {
    return std::nullopt;
  }
  budget -= 1;
  return delay;
}

}  // namespace savoryglade
