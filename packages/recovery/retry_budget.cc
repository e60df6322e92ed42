#include "recovery/retry_budget.h"

#include <algorithm>

namespace savoryglade {
namespace {

// Tolerates rounding: ten additions of 0.1 sum to slightly less than 1.
constexpr double kOneAttempt = 1 - 1e-9;

}  // namespace

void RetryBudget::OnRequest(const AccountId& account, const ServiceId& service) {
  const auto [entry, inserted] = balances_.try_emplace(Key(account, service), options_.initial);
  entry->second = std::min(entry->second + options_.fraction, options_.burst);
}

bool RetryBudget::Allows(const AccountId& account, const ServiceId& service) const {
  const auto found = balances_.find(Key(account, service));
  return found != balances_.end() && found->second >= kOneAttempt;
}

bool RetryBudget::TryConsume(const AccountId& account, const ServiceId& service) {
  const auto found = balances_.find(Key(account, service));
  if (found == balances_.end() || found->second < kOneAttempt) {
    return false;
  }
  found->second = std::max(0.0, found->second - 1);
  return true;
}

}  // namespace savoryglade
