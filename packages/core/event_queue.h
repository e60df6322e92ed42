#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace savoryglade {

// Virtual clock with a queue of events, for tests and the bench. Events at the same instant run in
// the order in which they were scheduled, so equal seeds give equal runs.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  TimePoint now() const { return now_; }

  // Runs the callback after a delay. A negative delay counts as zero.
  void After(Duration delay, Callback callback) {
    At(now_ + (delay > Duration::zero() ? delay : Duration::zero()), std::move(callback));
  }

  // Runs the callback at an instant, or at once if that has passed.
  void At(TimePoint when, Callback callback) {
    events_.push(Event{when < now_ ? now_ : when, next_sequence_++, std::move(callback)});
  }

  // Runs events in order until none is left or the next one is later than the limit.
  // Returns the number of events that ran. The clock then stands at the limit.
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
