#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "core/time.h"
#include "membership/registration_view.h"

namespace savoryglade {

// All changes of the registrations between two positions of the store's feed.
struct FeedUpdate {
  std::uint64_t after = 0;
  std::uint64_t position = 0;
  // When the read that brought them began.
  TimePoint as_of{};
  std::vector<RegistrationChange> changes;
};

// Puts the news of others behind what this daemon has read. News that begin behind its position
// leave a gap and wait: on a slow link an own read takes longer than the time between two news, and
// ends before the latest of them. Not safe to use from several threads.
class FeedReorderBuffer {
 public:
  // Takes news. Returns those that go on from the position, in order.
  std::vector<FeedUpdate> Insert(FeedUpdate news, std::uint64_t position);
  // Returns the news that waited and go on from the position that was read.
  std::vector<FeedUpdate> Release(std::uint64_t position);

 private:
  std::deque<FeedUpdate> waiting_;
};

// Divides news into parts of at most so many changes, which follow each other.
std::vector<FeedUpdate> SplitFeedUpdate(FeedUpdate news, std::size_t most_changes);

}  // namespace savoryglade
