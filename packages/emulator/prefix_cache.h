#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "core/time.h"

namespace savoryglade {

// Insertion or eviction of a block in a prefix cache. Lost events leave gaps in the sequence.
struct PrefixCacheEvent {
  std::uint64_t sequence = 0;
  bool stored = true;
  std::uint64_t block = 0;
  TimePoint recorded_at;
};

// LRU cache of prompt blocks with a bounded event log.
class PrefixCache {
 public:
  // The capacity is in blocks. Each event is lost with the given probability.
  PrefixCache(std::size_t capacity, double event_loss_probability, std::uint64_t seed)
      : capacity_(capacity), event_loss_probability_(event_loss_probability), random_(seed) {}

  // Inserts the blocks of a prompt and returns how many leading blocks were already cached.
  std::size_t LookupAndInsert(const std::vector<std::uint64_t>& blocks, TimePoint now);

  // Returns the events after a sequence number that were recorded no later than an instant.
  std::vector<PrefixCacheEvent> EventsAfter(std::uint64_t sequence, TimePoint until) const;

  std::size_t size() const { return lru_blocks_.size(); }
  std::size_t capacity() const { return capacity_; }
  void Clear();

 private:
  void RecordEvent(bool stored, std::uint64_t block, TimePoint now);

  std::size_t capacity_;
  double event_loss_probability_;
  Random random_;
  // Most recently used block first.
  std::list<std::uint64_t> lru_blocks_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
  std::deque<PrefixCacheEvent> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace savoryglade
