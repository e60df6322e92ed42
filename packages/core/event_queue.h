#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace savoryglade {

// Discrete-event simulator with a virtual clock, for tests and benchmarks. Runs events of the same
// instant in the order in which they were scheduled, so equal seeds give equal runs.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  TimePoint now() const { return now_; }

  // Schedules the callback to run after a delay. A negative delay counts as zero.
  void After(Duration delay, Callback callback) {
    At(now_ + (delay > Duration::zero() ? delay : Duration::zero()), std::move(callback));
  }

  // Schedules the callback to run at an instant, or at the current time if it has passed.
  void At(TimePoint when, Callback callback) {
    events_.push(Event{when < now_ ? now_ : when, next_sequence_++, std::move(callback)});
  }

  // Runs events in order until the queue is empty or the next event is later than the limit, then
  // advances the clock to the limit. Returns the number of events that ran.
  std::size_t RunUntil(TimePoint limit) {
    std::size_t count = 0;
    while (!events_.empty() && events_.top().when <= limit) {
      Event event = events_.top();
      events_.pop();
      now_ = event.when;
      event.callback();
      ++count;
    }
    now_ = limit > now_ ? limit : now_;
    return count;
  }

  bool empty() const { return events_.empty(); }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t sequence;
    Callback callback;

    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };

  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace savoryglade
