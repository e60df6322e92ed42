#pragma once

#include <algorithm>
#include <optional>

#include "core/time.h"
#include "membership/feed_schedule.h"

namespace savoryglade {

// Times of a DocumentWatch, as fractions of the time in which a new version must be in force.
struct DocumentWatchOptions {
  // Longest wait of a read for a change, which also bounds the time until a dead connection is
  // detected.
  double wait_fraction = 0.5;
  // Ages at which the first and at which every other daemon of the group reads the document.
  double read_age_fraction = 0.72;
  double max_age_fraction = 0.8;
  // Daemons of a group that wait at the store for changes.
  int watchers = 1;
};

// Schedules this daemon's reads of a versioned document of the store that the daemons of its group
// share. The first daemon of the group waits at the store for changes and reports how old its last
// read is. The others read only if that becomes too old, one after another, so the number of reads
// does not grow with the group, and the bound on the age holds without any other daemon. Not
// thread-safe.
class DocumentWatch {
 public:
  explicit DocumentWatch(Duration bound, const DocumentWatchOptions& options = {})
      : wait_(FromSeconds(ToSeconds(bound) * options.wait_fraction)),
        watchers_(options.watchers),
        schedule_({.first_read_age = FromSeconds(ToSeconds(bound) * options.read_age_fraction),
                   .max_age = FromSeconds(ToSeconds(bound) * options.max_age_fraction)}) {}

  // Records that the version held was the newest one at this time.
  void OnConfirmed(TimePoint as_of) { schedule_.OnConfirmed(as_of); }

  // Returns how long a read that starts now may wait for a change, or nothing if this daemon reads
  // later. The rank is the number of daemons that read earlier.
  std::optional<Duration> WaitOfRead(int rank, TimePoint now) const {
    if (now >= schedule_.DueAt(rank)) {
      return Duration::zero();
    }
    return rank < watchers_ ? std::optional(wait_) : std::nullopt;
  }

  // Returns the time of the next read of a daemon that does not watch, unless the document is
  // confirmed first.
  TimePoint DueAt(int rank) const { return schedule_.DueAt(rank); }

 private:
  Duration wait_;
  int watchers_;
  FeedSchedule schedule_;
};

}  // namespace savoryglade
