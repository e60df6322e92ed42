#pragma once

#include <chrono>

namespace savoryglade {

// Length of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

// Instant on a monotonic clock. Decision code never reads a clock: callers pass the instant in, so
// that tests and the bench run the same code on a virtual clock that starts at zero.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

// Converts a length of time to seconds.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Converts seconds to a length of time, rounded towards zero to whole nanoseconds.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace savoryglade
