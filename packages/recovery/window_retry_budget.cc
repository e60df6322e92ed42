#include "recovery/window_retry_budget.h"

namespace savoryglade {

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

bool WindowRetryBudget::TryConsume(const ServiceId& service, TimePoint now) {
  History& history = services_[service];
  Expire(history.requests, now);
  Expire(history.retries, now);
  const double bound =
      options_.usable_fraction * (options_.ratio * static_cast<double>(history.requests.size()) +
                                  options_.allowance / daemons_);
  if (static_cast<double>(history.retries.size()) + 1 > bound) {
    return false;
  }
  history.retries.push_back(now);
  return true;
}

}  // namespace savoryglade
