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

bool WindowRetryBudget::Take(const ServiceId& service, TimePoint now) {
  History& history = services_[service];
  Expire(history.requests, now);
  Expire(history.repeats, now);
  const double bound =
      options_.use * (options_.ratio * static_cast<double>(history.requests.size()) +
                      options_.allowance / daemons_);
  if (static_cast<double>(history.repeats.size()) + 1 > bound) {
    return false;
  }
  history.repeats.push_back(now);
  return true;
}

}  // namespace savoryglade
