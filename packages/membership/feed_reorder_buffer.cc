#include "membership/feed_reorder_buffer.h"

#include <algorithm>

namespace savoryglade {
namespace {

// News that wait; older ones are dropped, and the daemon reads by itself.
constexpr std::size_t kMostWaiting = 32;

}  // namespace

std::vector<FeedUpdate> FeedReorderBuffer::Insert(FeedUpdate news, std::uint64_t position) {
  if (news.position >= position) {
    const auto behind = std::ranges::upper_bound(waiting_, news.after, {}, &FeedUpdate::after);
    waiting_.insert(behind, std::move(news));
    if (waiting_.size() > kMostWaiting) {
      waiting_.pop_front();
    }
  }
  return Release(position);
}

std::vector<FeedUpdate> FeedReorderBuffer::Release(std::uint64_t position) {
  std::vector<FeedUpdate> next;
  while (!waiting_.empty() && waiting_.front().after <= position) {
    if (waiting_.front().position >= position) {
      position = waiting_.front().position;
      next.push_back(std::move(waiting_.front()));
    }
    waiting_.pop_front();
  }
  return next;
}

std::vector<FeedUpdate> SplitFeedUpdate(FeedUpdate news, std::size_t most_changes) {
  std::vector<FeedUpdate> parts;
  std::ranges::sort(news.changes, {}, &RegistrationChange::version);
  std::uint64_t after = news.after;
  std::size_t begin = 0;
  do {
    std::size_t end = std::min(begin + most_changes, news.changes.size());
    // Changes of one transaction have one version and stay together.
    while (end < news.changes.size() &&
           news.changes[end].version == news.changes[end - 1].version) {
      ++end;
    }
    const bool last = end == news.changes.size();
    // Changes of a whole listing may be older than the position.
    const std::uint64_t position =
        last ? news.position : std::max(after, news.changes[end - 1].version);
    parts.push_back({.after = after,
                     .position = std::min(position, news.position),
                     .as_of = news.as_of,
                     .changes = {news.changes.begin() + static_cast<std::ptrdiff_t>(begin),
                                 news.changes.begin() + static_cast<std::ptrdiff_t>(end)}});
    after = parts.back().position;
    begin = end;
  } while (begin < news.changes.size());
  return parts;
}

}  // namespace savoryglade
