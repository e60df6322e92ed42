#include "core/boot_clock.h"

#include <ctime>

namespace savoryglade {

TimePoint BootNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace savoryglade
