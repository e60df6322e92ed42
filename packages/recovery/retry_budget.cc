#include "recovery/retry_budget.h"

#include <algorithm>

namespace savoryglade {
namespace {

// Ten tenths add up to slightly less than one.
constexpr double kOneAttempt = 1 - 1e-9;

}  // namespace

void RetryBudget::OnRequest(const AccountId& account, const ServiceId& service) {
  const auto [entry, inserted] = left_.try_emplace(Key(account, service), options_.initial);
  entry->second = std::min(entry->second + options_.fraction, options_.burst);
}

bool RetryBudget::Allows(const AccountId& account, const ServiceId& service) const {
  const auto found = left_.find(Key(account, service));
  return found != left_.end() && found->second >= kOneAttempt;
}

bool RetryBudget::Take(const AccountId& account, const ServiceId& service) {
  const auto found = left_.find(Key(account, service));
  if (found == left_.end() || found->second < kOneAttempt) {
    return false;
  }
  found->second = std::max(0.0, found->second - 1);
  return true;
}

}  // namespace savoryglade
