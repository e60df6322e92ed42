#include "emulator/prefix_cache.h"

namespace savoryglade {
namespace {

constexpr std::size_t kEventsKept = 4096;

}  // namespace

std::size_t PrefixCache::Use(const std::vector<std::uint64_t>& blocks, TimePoint now) {
  std::size_t cached = 0;
  bool leading = true;
  for (const std::uint64_t block : blocks) {
    const auto found = places_.find(block);
    if (found != places_.end()) {
      cached += leading ? 1 : 0;
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    leading = false;
    if (capacity_ == 0) {
      continue;
    }
    if (order_.size() >= capacity_) {
      Log(false, order_.back(), now);
      places_.erase(order_.back());
      order_.pop_back();
    }
    order_.push_front(block);
    places_.emplace(block, order_.begin());
    Log(true, block, now);
  }
  return cached;
}

std::vector<CacheChange> PrefixCache::EventsAfter(std::uint64_t sequence, TimePoint until) const {
  std::vector<CacheChange> events;
  for (const CacheChange& event : events_) {
    if (event.sequence > sequence && event.when <= until) {
      events.push_back(event);
    }
  }
  return events;
}

void PrefixCache::Clear() {
  order_.clear();
  places_.clear();
  events_.clear();
}

void PrefixCache::Log(bool stored, std::uint64_t block, TimePoint now) {
  const std::uint64_t sequence = next_sequence_++;
  if (random_.Bernoulli(gap_probability_)) {
    return;
  }
  events_.push_back({.sequence = sequence, .stored = stored, .block = block, .when = now});
  if (events_.size() > kEventsKept) {
    events_.pop_front();
  }
}

}  // namespace savoryglade
