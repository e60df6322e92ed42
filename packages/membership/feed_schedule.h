#pragma once

#include <algorithm>

#include "core/time.h"

namespace savoryglade {

struct FeedScheduleOptions {
  // Age of the view at which the first daemon of a group reads the store again.
  Duration first_read_age = 600ms;
  // Age at which every daemon does.
  Duration max_age = 900ms;
  // Daemons that step in one after the other between the two ages.
  int steps = 8;
};

// When this daemon reads a table of the store itself. The daemons of a group tell each other what
// they have read, so one read serves all of them, and the bound on the age of a view holds for each
// daemon whether the others are there or not: if news stay away the daemons step in by their rank.
// Not safe to use from several threads.
class FeedSchedule {
 public:
  explicit FeedSchedule(FeedScheduleOptions options) : options_(options) {}

  // Takes that the view holds all that the store held at this instant.
  void OnConfirmed(TimePoint as_of) { confirmed_ = std::max(confirmed_, as_of); }
  TimePoint confirmed() const { return confirmed_; }

  // When to read if no news come before. The rank counts the daemons that read earlier.
  TimePoint DueAt(int rank) const {
    const Duration step =
        (options_.max_age - options_.first_read_age) / std::max(options_.steps, 1);
    return confirmed_ + std::min(options_.first_read_age + step * rank, options_.max_age);
  }

 private:
  FeedScheduleOptions options_;
  TimePoint confirmed_{};
};

}  // namespace savoryglade
