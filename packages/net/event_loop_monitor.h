#pragma once

#include <boost/asio/awaitable.hpp>
#include <string_view>

#include "core/time.h"
#include "metrics/registry.h"

namespace savoryglade {

// Measures how late an event loop runs what is due, and names the task that held it. Used on the
// thread of the loop.
class EventLoopMonitor {
 public:
  // Delays and tasks from this length on are logged.
  static constexpr Duration kLoggedDelay = 100ms;

  // Records the delays in the timing, which must outlive the monitor.
  explicit EventLoopMonitor(Timing& delay) : delay_(delay) {}

  // One task that runs without suspension for as long as this object lives.
  class Task {
   public:
    // The name must outlive the monitor, usually a string literal.
    Task(EventLoopMonitor& monitor, std::string_view name);
    ~Task();
    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;

   private:
    EventLoopMonitor& monitor_;
    std::string_view name_;
    TimePoint begun_at_;
  };

  // Measures until the loop stops.
  boost::asio::awaitable<void> Run();

 private:
  void OnDelay(Duration delay);

  Timing& delay_;
  // The longest task since the last measurement.
  std::string_view longest_task_;
  Duration longest_task_time_ = Duration::zero();
};

}  // namespace savoryglade
