#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/event_queue.h"

namespace savoryglade {

// One generation: the blocks of the prompt, the blocks of the output and the duration of the
// output.
struct EngineRequest {
  std::uint64_t id = 0;
  std::vector<std::uint64_t> prompt;
  std::vector<std::uint64_t> output;
  Duration decode{};
};

// Simulated model engine: processes prompts one after another, decodes in slots, and caches blocks
// in bounded memory with LRU eviction.
class PrefixEngine {
 public:
  struct Callbacks {
    // Called at the first token, with the number of prompt blocks found in the cache.
    std::function<void(std::uint64_t id, std::size_t cached)> on_first_token;
    std::function<void(std::uint64_t id)> on_finish;
    // Called with the prompt blocks that are computed because they are not cached.
    std::function<void(const std::vector<std::uint64_t>& hashes)> on_computed;
    std::function<void(const std::vector<std::uint64_t>& hashes)> on_stored;
    std::function<void(const std::vector<std::uint64_t>& hashes)> on_evicted;
  };

  PrefixEngine(EventQueue& events, std::size_t cache_blocks, Callbacks callbacks)
      : events_(events), cache_blocks_(cache_blocks), callbacks_(std::move(callbacks)) {}

  void Submit(EngineRequest request);

  // Returns the number of blocks of the prompt's longest cached prefix.
  std::size_t CachedBlocks(const std::vector<std::uint64_t>& prompt) const;

  // Returns the exact time until a prompt that arrives now receives its first token, provided that
  // the cache does not change and a slot is free.
  Duration TimeToFirstToken(const std::vector<std::uint64_t>& prompt) const;

  // Returns the time since the last use of the block that would be evicted next, or the maximum
  // duration while the cache has free space.
  Duration EvictionAge() const;

  int running() const { return running_; }
  int waiting() const { return static_cast<int>(queue_.size()); }

  // Compute time of one prompt block, and the fixed additional time of a first token.
  static constexpr Duration kBlockTime = 8ms;
  static constexpr Duration kOverhead = 10ms;
  static constexpr int kSlots = 32;

 private:
  void StartNext();
  void Store(const std::vector<std::uint64_t>& hashes);

  EventQueue& events_;
  std::size_t cache_blocks_;
  Callbacks callbacks_;
  std::deque<EngineRequest> queue_;
  bool computing_ = false;
  TimePoint computed_at_{};
  int running_ = 0;
  struct Cached {
    std::uint64_t hash = 0;
    TimePoint used;
  };

  std::list<Cached> recency_;
  std::unordered_map<std::uint64_t, std::list<Cached>::iterator> cache_;
};

}  // namespace savoryglade
