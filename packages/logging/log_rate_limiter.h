#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace savoryglade {

// Limits how often a component logs the same message, so that a fault that affects every request
// does not fill the log. Safe to use from all threads.
class LogRateLimiter {
 public:
  // Lines of one message within one window.
  static constexpr int kMaxLinesPerWindow = 20;
  static constexpr Duration kWindow = 1s;

  // Returns the number of lines dropped since the last admitted line of this message, or nothing if
  // this line must be dropped.
  std::optional<std::uint64_t> Admit(std::string_view component, std::string_view message,
                                     TimePoint now);

 private:
  struct Entry {
    TimePoint window_start;
    int lines = 0;
    std::uint64_t dropped = 0;
  };

  std::mutex mutex_;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace savoryglade
