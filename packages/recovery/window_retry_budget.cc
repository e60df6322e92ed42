#include "recovery/window_retry_budget.h"

#include <algorithm>
#include <cstddef>

namespace savoryglade {
namespace {

// Tolerates rounding of the bound.
constexpr double kRounding = 1e-9;

}  // namespace

void WindowRetryBudget::Expire(std::deque<TimePoint>& instants, TimePoint now) const {
  while (!instants.empty() && now - instants.front() >= options_.window) {
    instants.pop_front();
  }
}

void WindowRetryBudget::OnRequest(const ServiceId& service, TimePoint now) {
  History& history = services_[service];
  Expire(history.requests, now);
  history.requests.push_back(now);
}

bool WindowRetryBudget::TryConsume(const ServiceId& service, TimePoint now, int retries) {
  History& history = services_[service];
  Expire(history.requests, now);
  Expire(history.retries, now);
  const bool first_window = now - started_at_ < options_.window;
  const double usable_allowance =
      first_window ? 1 - options_.usable_fraction : options_.usable_fraction;
  const double bound =
      options_.usable_fraction * options_.ratio * static_cast<double>(history.requests.size()) +
      usable_allowance * options_.allowance / daemons_;
  if (static_cast<double>(history.retries.size()) + retries > bound + kRounding) {
    return false;
  }
  history.retries.insert(history.retries.end(), static_cast<std::size_t>(retries), now);
  return true;
}

void WindowRetryBudget::Refund(const ServiceId& service, int retries) {
  std::deque<TimePoint>& consumed = services_[service].retries;
  for (int i = 0; i < retries && !consumed.empty(); ++i) {
    consumed.pop_front();
  }
}

void WindowRetryBudget::SetDaemonCount(int daemons, TimePoint now) {
  if (daemons >= daemons_) {
    daemons_ = daemons;
    count_confirmed_at_ = now;
  } else if (now - count_confirmed_at_ > kShrinkDelay) {
    daemons_ = std::max(daemons, 1);
    count_confirmed_at_ = now;
  }
}

}  // namespace savoryglade
