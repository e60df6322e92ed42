#include "membership/feed_reorder_buffer.h"

#include <algorithm>

namespace savoryglade {
namespace {

// Buffered updates. The oldest is dropped beyond this, and the daemon reads the store itself.
constexpr std::size_t kMaxPendingUpdates = 32;

}  // namespace

std::vector<FeedUpdate> FeedReorderBuffer::Insert(FeedUpdate update, std::uint64_t position) {
  if (update.position >= position) {
    const auto insert_at =
        std::ranges::upper_bound(pending_updates_, update.after, {}, &FeedUpdate::after);
    pending_updates_.insert(insert_at, std::move(update));
    if (pending_updates_.size() > kMaxPendingUpdates) {
      pending_updates_.pop_front();
    }
  }
  return Release(position);
}

std::vector<FeedUpdate> FeedReorderBuffer::Release(std::uint64_t position) {
  std::vector<FeedUpdate> released;
  while (!pending_updates_.empty() && pending_updates_.front().after <= position) {
    if (pending_updates_.front().position >= position) {
      position = pending_updates_.front().position;
      released.push_back(std::move(pending_updates_.front()));
    }
    pending_updates_.pop_front();
  }
  return released;
}

std::vector<FeedUpdate> SplitFeedUpdate(FeedUpdate update, std::size_t max_changes) {
  std::vector<FeedUpdate> parts;
  std::ranges::sort(update.changes, {}, &RegistrationChange::version);
  std::uint64_t after = update.after;
  std::size_t begin = 0;
  do {
    std::size_t end = std::min(begin + max_changes, update.changes.size());
    // Changes of one transaction share a version and stay in one part.
    while (end < update.changes.size() &&
           update.changes[end].version == update.changes[end - 1].version) {
      ++end;
    }
    const bool last = end == update.changes.size();
    // A full listing may contain changes older than the position.
    const std::uint64_t position =
        last ? update.position : std::max(after, update.changes[end - 1].version);
    parts.push_back({.after = after,
                     .position = std::min(position, update.position),
                     .as_of = update.as_of,
                     .changes = {update.changes.begin() + static_cast<std::ptrdiff_t>(begin),
                                 update.changes.begin() + static_cast<std::ptrdiff_t>(end)}});
    after = parts.back().position;
    begin = end;
  } while (begin < update.changes.size());
  return parts;
}

}  // namespace savoryglade
