#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"

namespace savoryglade {

// Lines of one message that the rate limit has dropped.
struct RateLimitedMessage {
  std::string component;
  std::string message;
  std::uint64_t dropped = 0;

  bool operator==(const RateLimitedMessage&) const = default;
};

// Limits how often a component logs the same message, so that a fault that affects every request
// does not fill the log. Each dropped line is reported once, by Admit or by TakeDropped. Safe to
// use from all threads.
class LogRateLimiter {
 public:
  // Lines of one message within one window.
  static constexpr int kMaxLinesPerWindow = 20;
  static constexpr Duration kWindow = 1s;

  // Returns the number of unreported dropped lines of this message, or nothing if this line must be
  // dropped.
  std::optional<std::uint64_t> Admit(std::string_view component, std::string_view message,
                                     TimePoint now);

  // Returns the messages whose window is over and that have unreported dropped lines. Forgets all
  // windows that are over.
  std::vector<RateLimitedMessage> TakeDropped(TimePoint now);

  // Makes dropped lines unreported again, because the line that reports them could not be written.
  void PutBack(const RateLimitedMessage& dropped);

  // Returns how many lines were dropped since the start.
  std::uint64_t dropped_lines() const;

 private:
  struct Entry {
    TimePoint window_start;
    int lines = 0;
    std::uint64_t dropped = 0;
  };

  // Component and message.
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex mutex_;
  std::map<Key, Entry> entries_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace savoryglade
