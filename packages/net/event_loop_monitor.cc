#include "net/event_loop_monitor.h"

#include <algorithm>
#include <string>

#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade {
namespace {

constexpr Duration kMeasurementInterval = 200ms;

const Logger kLog("net");

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

EventLoopMonitor::Task::Task(EventLoopMonitor& monitor, std::string_view name)
    : monitor_(monitor), name_(name), begun_at_(Now()) {}

EventLoopMonitor::Task::~Task() {
  const Duration time = Now() - begun_at_;
  if (time >= monitor_.longest_task_time_) {
    monitor_.longest_task_time_ = time;
    monitor_.longest_task_ = name_;
  }
}

boost::asio::awaitable<void> EventLoopMonitor::Run() {
  while (true) {
    const TimePoint due = Now() + kMeasurementInterval;
    co_await Sleep(kMeasurementInterval);
    OnDelay(std::max(Now() - due, Duration::zero()));
  }
}

void EventLoopMonitor::OnDelay(Duration delay) {
  delay_.Record(delay);
  if (delay >= kLoggedDelay) {
    kLog.Warning("The event loop was held up.",
                 {{"ms", delay / 1ms},
                  {"longest_task", longest_task_.empty() ? "-" : std::string(longest_task_)},
                  {"task_ms", longest_task_time_ / 1ms}});
  }
  longest_task_ = {};
  longest_task_time_ = Duration::zero();
}

}  // namespace savoryglade
