#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "core/time.h"
#include "membership/registration_view.h"

namespace savoryglade {

// All registration changes between two positions of the store's feed.
struct FeedUpdate {
  // Position at which the update starts, exclusive.
  std::uint64_t after = 0;
  // Position at which the update ends, inclusive.
  std::uint64_t position = 0;
  // Start of the read that returned the changes.
  TimePoint as_of{};
  std::vector<RegistrationChange> changes;
};

// Reorder buffer for the feed updates of other daemons. An update that starts after this daemon's
// position is held until the gap before it is closed: on a slow link, a read of the store takes
// longer than the interval between updates and ends before the latest of them. Not thread-safe.
class FeedReorderBuffer {
 public:
  // Adds an update. Returns the updates that continue from the position, in order.
  std::vector<FeedUpdate> Insert(FeedUpdate update, std::uint64_t position);
  // Returns the buffered updates that continue from the position that this daemon has read to.
  std::vector<FeedUpdate> Release(std::uint64_t position);

 private:
  std::deque<FeedUpdate> pending_updates_;
};

// Splits an update into consecutive parts of at most max_changes changes. A part exceeds the limit
// only to keep changes of the same version together.
std::vector<FeedUpdate> SplitFeedUpdate(FeedUpdate update, std::size_t max_changes);

}  // namespace savoryglade
