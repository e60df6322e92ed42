#include "emulator/prefix_cache.h"

namespace savoryglade {
namespace {

constexpr std::size_t kMaxEvents = 4096;

}  // namespace

std::size_t PrefixCache::LookupAndInsert(const std::vector<std::uint64_t>& blocks, TimePoint now) {
  std::size_t cached = 0;
  bool leading = true;
  for (const std::uint64_t block : blocks) {
    const auto found = entries_.find(block);
    if (found != entries_.end()) {
      cached += leading ? 1 : 0;
      lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, found->second);
      continue;
    }
    leading = false;
    if (capacity_ == 0) {
      continue;
    }
    if (lru_blocks_.size() >= capacity_) {
      RecordEvent(false, lru_blocks_.back(), now);
      entries_.erase(lru_blocks_.back());
      lru_blocks_.pop_back();
    }
    lru_blocks_.push_front(block);
    entries_.emplace(block, lru_blocks_.begin());
    RecordEvent(true, block, now);
  }
  return cached;
}

std::vector<PrefixCacheEvent> PrefixCache::EventsAfter(std::uint64_t sequence,
                                                       TimePoint until) const {
  std::vector<PrefixCacheEvent> events;
  for (const PrefixCacheEvent& event : events_) {
    if (event.sequence > sequence && event.recorded_at <= until) {
      events.push_back(event);
    }
  }
  return events;
}

void PrefixCache::Clear() {
  lru_blocks_.clear();
  entries_.clear();
  events_.clear();
}

void PrefixCache::RecordEvent(bool stored, std::uint64_t block, TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  if (random_.Bernoulli(event_loss_probability_)) {
    return;
  }
  events_.push_back({.sequence = sequence, .stored = stored, .block = block, .recorded_at = now});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

}  // namespace savoryglade
