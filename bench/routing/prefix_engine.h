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

// One generation for an engine: the blocks of the prompt, the blocks of the output and how long the
// output takes.
struct EngineRequest {
  std::uint64_t id = 0;
  std::vector<std::uint64_t> prompt;
  std::vector<std::uint64_t> output;
  Duration decode{};
};

// Fake of a model engine: computes prompts one after another, decodes in slots, and caches blocks
// in bounded memory, least recently used first out.
class PrefixEngine {
 public:
  struct Callbacks {
    // The first token came; the prompt had so many blocks in the cache.
    std::function<void(std::uint64_t id, std::size_t cached)> on_first_token;
    std::function<void(std::uint64_t id)> on_finish;
    // Blocks were computed for a prompt.
    std::function<void(const std::vector<std::uint64_t>& hashes)> on_computed;
    std::function<void(const std::vector<std::uint64_t>& hashes)> on_stored;
    std::function<void(const std::vector<std::uint64_t>& hashes)> on_evicted;
  };

  PrefixEngine(EventQueue& events, std::size_t cache_blocks, Callbacks callbacks)
      : events_(events), cache_blocks_(cache_blocks), callbacks_(std::move(callbacks)) {}

  // Takes a request.
  void Submit(EngineRequest request);

  // Returns the number of blocks of the prompt's longest cached prefix.
  std::size_t CachedBlocks(const std::vector<std::uint64_t>& prompt) const;

  // Returns the exact time until a prompt that arrives now would get its first token, as far as the
  // cache does not change and a slot is free.
  Duration TimeToFirstToken(const std::vector<std::uint64_t>& prompt) const;

  // Returns how long ago the block that would be evicted next was used; the largest duration while
  // the cache has room.
  Duration EvictionAge() const;

  int running() const { return running_; }
  int waiting() const { return static_cast<int>(queue_.size()); }

  // Time that one block of a prompt takes to compute, and that a first token takes besides.
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
