#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace savoryglade {

// Limits how often the same sentence of the same part is logged, so that a fault that hits every
// request does not fill the log. Safe to use from all threads.
class RepeatLimiter {
 public:
  // Lines of one sentence within one window.
  static constexpr int kLinesPerWindow = 20;
  static constexpr Duration kWindow = 1s;

  // Returns nothing if the line must be dropped, otherwise the number of lines dropped since the
  // last one.
  std::optional<std::uint64_t> Admit(std::string_view part, std::string_view sentence,
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
