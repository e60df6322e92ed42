#include "bench/routing/prefix_engine.h"

#include <algorithm>
#include <utility>

namespace savoryglade {

void PrefixEngine::Submit(EngineRequest request) {
  queue_.push_back(std::move(request));
  StartNext();
}

std::size_t PrefixEngine::CachedBlocks(const std::vector<std::uint64_t>& prompt) const {
  const auto end = std::find_if(prompt.begin(), prompt.end(),
                                [this](std::uint64_t hash) { return !cache_.contains(hash); });
  return static_cast<std::size_t>(end - prompt.begin());
}

Duration PrefixEngine::TimeToFirstToken(const std::vector<std::uint64_t>& prompt) const {
  const auto work = [this](const std::vector<std::uint64_t>& blocks) {
    return kOverhead + kBlockTime * (blocks.size() - CachedBlocks(blocks));
  };
  Duration time = work(prompt);
  for (const EngineRequest& request : queue_) {
    time += work(request.prompt);
  }
  if (computing_) {
    time += computed_at_ - events_.now();
  }
  return time;
}

Duration PrefixEngine::EvictionAge() const {
  return cache_.size() < cache_blocks_ ? Duration::max() : events_.now() - recency_.back().used;
}

void PrefixEngine::StartNext() {
  if (computing_ || queue_.empty() || running_ >= kSlots) {
    return;
  }
  EngineRequest request = std::move(queue_.front());
  queue_.pop_front();
  computing_ = true;
  ++running_;
  const std::size_t cached = CachedBlocks(request.prompt);
  callbacks_.on_computed(
      {request.prompt.begin() + static_cast<std::ptrdiff_t>(cached), request.prompt.end()});
  const Duration time = kOverhead + kBlockTime * (request.prompt.size() - cached);
  computed_at_ = events_.now() + time;
  events_.After(time, [this, cached, request = std::move(request)] {
    computing_ = false;
    Store(request.prompt);
    callbacks_.on_first_token(request.id, cached);
    events_.After(request.decode, [this, request] {
      --running_;
      std::vector<std::uint64_t> all = request.prompt;
      all.insert(all.end(), request.output.begin(), request.output.end());
      Store(all);
      callbacks_.on_finish(request.id);
      StartNext();
    });
    StartNext();
  });
}

void PrefixEngine::Store(const std::vector<std::uint64_t>& hashes) {
  std::vector<std::uint64_t> stored;
  // Stores later blocks first, so that the start of a prompt is evicted last.
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    const auto known = cache_.find(*hash);
    if (known != cache_.end()) {
      recency_.splice(recency_.begin(), recency_, known->second);
      known->second->used = events_.now();
      continue;
    }
    recency_.push_front({*hash, events_.now()});
    cache_[*hash] = recency_.begin();
    stored.push_back(*hash);
  }
  std::vector<std::uint64_t> evicted;
  while (cache_.size() > cache_blocks_) {
    evicted.push_back(recency_.back().hash);
    cache_.erase(recency_.back().hash);
    recency_.pop_back();
  }
  if (!stored.empty()) {
    callbacks_.on_stored(stored);
  }
  if (!evicted.empty()) {
    callbacks_.on_evicted(evicted);
  }
}

}  // namespace savoryglade
