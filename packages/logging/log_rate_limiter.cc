#include "logging/log_rate_limiter.h"

#include <utility>

namespace savoryglade {

std::optional<std::uint64_t> LogRateLimiter::Admit(std::string_view component,
                                                   std::string_view message, TimePoint now) {
  Key key(component, message);
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[std::move(key)];
  if (entry.lines == 0 || now - entry.window_start >= kWindow) {
    entry.window_start = now;
    entry.lines = 0;
  }
  if (entry.lines >= kMaxLinesPerWindow) {
    ++entry.dropped;
    ++dropped_lines_;
    return std::nullopt;
  }
  ++entry.lines;
  return std::exchange(entry.dropped, 0);
}

std::vector<RateLimitedMessage> LogRateLimiter::TakeDropped(TimePoint now) {
  std::vector<RateLimitedMessage> messages;
  const std::lock_guard lock(mutex_);
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto& [key, entry] = *it;
    if (entry.lines > 0 && now - entry.window_start < kWindow) {
      ++it;
      continue;
    }
    if (entry.dropped > 0) {
      messages.push_back({.component = key.first, .message = key.second, .dropped = entry.dropped});
    }
    it = entries_.erase(it);
  }
  return messages;
}

void LogRateLimiter::PutBack(const RateLimitedMessage& dropped) {
  const std::lock_guard lock(mutex_);
  entries_[{dropped.component, dropped.message}].dropped += dropped.dropped;
}

std::uint64_t LogRateLimiter::dropped_lines() const {
  const std::lock_guard lock(mutex_);
  return dropped_lines_;
}

}  // namespace savoryglade
