#pragma once

#include <chrono>

namespace savoryglade {

using Duration = std::chrono::nanoseconds;

// Instant on a monotonic clock. Decision code never reads a clock: callers pass the current time,
// so that tests and benchmarks run the same code on a virtual clock that starts at zero.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns the duration of this many seconds, rounded towards zero to whole nanoseconds and limited
// to 126 years, so that the sum of two such durations can be represented; zero for NaN.
constexpr Duration FromSeconds(double seconds) {
  constexpr double kMaxSeconds = 4e9;
  if (!(seconds > -kMaxSeconds && seconds < kMaxSeconds)) {
    seconds = seconds > 0 ? kMaxSeconds : seconds < 0 ? -kMaxSeconds : 0;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace savoryglade
