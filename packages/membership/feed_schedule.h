#pragma once

#include <algorithm>

#include "core/time.h"

namespace savoryglade {

struct FeedScheduleOptions {
  // Age of the view at which the first daemon of a group reads the store.
  Duration first_read_age = 600ms;
  // Age at which every daemon reads the store.
  Duration max_age = 900ms;
  // Number of ranks whose reads are spread evenly between the two ages.
  int rank_steps = 8;
};

// Schedules this daemon's own reads of a table of the store. The daemons of a group share what they
// read, so one read serves all of them. If no update arrives, the daemons read in order of their
// rank, so the bound on the age of a view holds without any other daemon. Not thread-safe.
class FeedSchedule {
 public:
  explicit FeedSchedule(FeedScheduleOptions options) : options_(options) {}

  // Records that the view contains everything that the store contained at this time.
  void OnConfirmed(TimePoint as_of) { confirmed_ = std::max(confirmed_, as_of); }
  TimePoint confirmed() const { return confirmed_; }

  // Returns the time of the next read unless an update arrives first. The rank is the number of
  // daemons that read earlier.
  TimePoint DueAt(int rank) const {
    const Duration step =
        (options_.max_age - options_.first_read_age) / std::max(options_.rank_steps, 1);
    return confirmed_ + std::min(options_.first_read_age + step * rank, options_.max_age);
  }

 private:
  FeedScheduleOptions options_;
  TimePoint confirmed_{};
};

}  // namespace savoryglade
