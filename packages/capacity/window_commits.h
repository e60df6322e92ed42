#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "capacity/usage_ledger.h"
#include "core/time.h"

namespace savoryglade::capacity {

// What a daemon that holds the lease on the duties knows of a window whose counts are missing in
// the store.
struct MissingCounts {
  // Earliest instant at which any holder can have committed the counts.
  TimePoint earliest_commit{};
  // Instant since which this daemon has held the lease without interruption.
  TimePoint lease_since{};
  // Rows that the store acknowledged before this instant may have been lost.
  TimePoint rows_lost_before{};

  friend bool operator==(const MissingCounts&, const MissingCounts&) = default;
};

// Returns true if no other holder can have committed counts for the window and reported them.
constexpr bool AreNeverCommitted(const MissingCounts& missing) {
  return missing.earliest_commit > missing.rows_lost_before ||
         missing.earliest_commit > missing.lease_since;
}

// Counts of the windows that were committed to the store, as far as this daemon knows. All reports
// of a window must have the same counts, also after the store has lost them. Not thread-safe.
class WindowCommits {
 public:
  // Records counts that the store held in this era.
  void Record(WindowNumber window, WindowCounts counts, std::uint64_t era);
  // Returns the committed counts of a window, or null if they are not known.
  const WindowCounts* Find(WindowNumber window) const;
  // Returns the windows whose counts the store may have lost, because it has held them in an
  // earlier era only.
  std::vector<WindowNumber> RecordedBefore(std::uint64_t era) const;
  void Forget(WindowNumber window) { commits_.erase(window); }
  // Removes the windows before the given one.
  void Expire(WindowNumber first);

 private:
  struct Commit {
    WindowCounts counts;
    std::uint64_t era = 0;
  };

  std::map<WindowNumber, Commit> commits_;
};

}  // namespace savoryglade::capacity
