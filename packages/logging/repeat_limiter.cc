#include "logging/repeat_limiter.h"

#include <utility>

namespace savoryglade {

std::optional<std::uint64_t> RepeatLimiter::Admit(std::string_view part, std::string_view sentence,
                                                  TimePoint now) {
  std::string key(part);
  key += ':';
  key += sentence;
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[key];
  if (entry.lines == 0 || now - entry.window_start >= kWindow) {
    entry.window_start = now;
    entry.lines = 0;
  }
  if (entry.lines >= kLinesPerWindow) {
    ++entry.dropped;
    return std::nullopt;
  }
  ++entry.lines;
  return std::exchange(entry.dropped, 0);
}

}  // namespace savoryglade
