#include "recovery/window_retry_budget.h"

#include <algorithm>
#include <cstddef>

namespace savoryglade {
namespace {

// Tolerates rounding of the bound.
constexpr double kRounding = 1e-9;

double CountSince(const std::deque<TimePoint>& instants, TimePoint from) {
  return static_cast<double>(instants.end() - std::ranges::upper_bound(instants, from));
}

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
  const double share = usable_allowance * options_.allowance / daemons_;
  const double per_request = options_.usable_fraction * options_.ratio;
  for (const int parts : {1, 2, 4}) {
    const TimePoint from = now - options_.window / parts;
    const double earned = per_request * CountSince(history.requests, from);
    if (parts > 1 && earned < retries) {
      break;
    }
    if (CountSince(history.retries, from) + retries > earned + share + kRounding) {
      return false;
    }
  }
  history.retries.insert(history.retries.end(), static_cast<std::size_t>(retries), now);
  return true;
}

void WindowRetryBudget::Refund(const ServiceId& service, int retries, TimePoint consumed_at,
                               TimePoint now) {
  if (now - consumed_at >= options_.window) {
    return;
  }
  std::deque<TimePoint>& consumed = services_[service].retries;
  Expire(consumed, now);
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
