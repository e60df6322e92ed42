#include "logging/log_rate_limiter.h"

#include <utility>

namespace savoryglade {

std::optional<std::uint64_t> LogRateLimiter::Admit(std::string_view component,
                                                   std::string_view message, TimePoint now) {
  std::string key(component);
  key += ':';
  key += message;
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[key];
  if (entry.lines == 0 || now - entry.window_start >= kWindow) {
    entry.window_start = now;
    entry.lines = 0;
  }
  if (entry.lines >= kMaxLinesPerWindow) {
    ++entry.dropped;
    return std::nullopt;
  }
  ++entry.lines;
  return std::exchange(entry.dropped, 0);
}

}  // namespace savoryglade
