#include "routing/prefix_map.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savoryglade {
namespace {

// A gap of one event hides the eviction of a few blocks among thousands, so one gap costs little
// trust and repeated gaps add up.
constexpr double kTrustAfterGap = 0.97;
constexpr double kLowestTrust = 0.3;
// Events arrive late by seconds at most. A number that is further back comes from an engine that
// restarted and counts from the start again.
constexpr std::uint64_t kLargestReordering = 1000;

}  // namespace

PrefixMap::Source& PrefixMap::SourceOf(UpstreamNumber upstream) {
  if (upstream >= sources_.size()) {
    sources_.resize(upstream + 1);
  }
  return sources_[upstream];
}

const PrefixMap::Block* PrefixMap::Find(std::uint64_t hash) const {
  const auto young = young_.find(hash);
  if (young != young_.end()) {
    return &young->second;
  }
  const auto old = old_.find(hash);
  return old == old_.end() ? nullptr : &old->second;
}

PrefixMap::Block& PrefixMap::Touch(std::uint64_t hash) {
  const auto known = young_.find(hash);
  if (known != young_.end()) {
    return known->second;
  }
  if (young_.size() >= generation_size_) {
    old_ = std::exchange(young_, {});
  }
  auto node = old_.extract(hash);
  if (!node.empty()) {
    return young_.insert(std::move(node)).position->second;
  }
  return young_[hash];
}

bool PrefixMap::IsValid(const Holder& holder) const {
  return holder.upstream >= sources_.size() || holder.epoch >= sources_[holder.upstream].valid_from;
}

bool PrefixMap::HasValidHolder(const Block& block) const {
  return std::any_of(block.holders.begin(), block.holders.begin() + block.count,
                     [this](const Holder& holder) { return IsValid(holder); });
}

double PrefixMap::TrustOf(const Holder& holder) const {
  const std::uint32_t gaps = sources_[holder.upstream].epoch - holder.epoch;
  return gaps == 0 ? 1.0 : std::max(kLowestTrust, std::pow(kTrustAfterGap, gaps));
}

void PrefixMap::Record(std::span<const std::uint64_t> hashes, UpstreamNumber upstream) {
  const Source source = SourceOf(upstream);
  const Holder record{upstream, source.epoch, source.sequence};
  for (const std::uint64_t hash : hashes) {
    Block& block = Touch(hash);
    const auto end = block.holders.begin() + block.count;
    auto slot = std::find_if(block.holders.begin(), end, [&](const Holder& holder) {
      return holder.upstream == upstream || !IsValid(holder);
    });
    if (slot == end) {
      if (block.count < kMaxHolders) {
        ++block.count;
      } else {
        slot = block.holders.begin() + block.next;
        block.next = static_cast<std::uint8_t>((block.next + 1) % kMaxHolders);
      }
    }
    *slot = record;
  }
}

void PrefixMap::Evict(std::uint64_t hash, UpstreamNumber upstream, std::uint64_t sequence) {
  auto found = young_.find(hash);
  Blocks& blocks = found != young_.end() ? young_ : old_;
  if (found == young_.end()) {
    found = old_.find(hash);
    if (found == old_.end()) {
      return;
    }
  }
  Block& block = found->second;
  for (std::uint8_t i = 0; i < block.count; ++i) {
    if (block.holders[i].upstream == upstream && block.holders[i].sequence < sequence) {
      block.holders[i] = block.holders[--block.count];
      block.next = 0;
      break;
    }
  }
  if (block.count == 0) {
    blocks.erase(found);
  }
}

std::uint64_t PrefixMap::OnEvent(UpstreamNumber upstream, const CacheEvent& event) {
  Source& source = SourceOf(upstream);
  if (event.sequence + kLargestReordering < source.sequence) {
    Clear(upstream);
  }
  const bool first = source.sequence == 0;
  const bool late = !first && event.sequence <= source.sequence;
  const std::uint64_t skipped = first || late ? 0 : event.sequence - source.sequence - 1;
  if (event.kind == CacheEvent::Kind::kCleared) {
    Clear(upstream);
    source.sequence = event.sequence;
    return skipped;
  }
  if (skipped > 0) {
    Distrust(upstream);
  }
  if (!late) {
    source.sequence = event.sequence;
  }
  if (event.kind == CacheEvent::Kind::kEvicted) {
    for (const std::uint64_t hash : event.hashes) {
      Evict(hash, upstream, event.sequence);
    }
  } else if (!late) {
    // A late report of a stored block may be older than its eviction, which is already applied.
    Record(event.hashes, upstream);
  }
  return skipped;
}

void PrefixMap::Clear(UpstreamNumber upstream) {
  Source& source = SourceOf(upstream);
  ++source.epoch;
  source.valid_from = source.epoch;
  source.sequence = 0;
}

void PrefixMap::Distrust(UpstreamNumber upstream) { ++SourceOf(upstream).epoch; }

const PrefixMap::Holder* PrefixMap::FindHolder(std::uint64_t hash, UpstreamNumber upstream) const {
  const Block* block = Find(hash);
  if (block == nullptr) {
    return nullptr;
  }
  for (std::uint8_t i = 0; i < block->count; ++i) {
    if (block->holders[i].upstream == upstream && IsValid(block->holders[i])) {
      return &block->holders[i];
    }
  }
  return nullptr;
}

PrefixMatch PrefixMap::Match(std::span<const std::uint64_t> hashes, UpstreamNumber upstream) const {
  // A block is only useful after all blocks before it and engines evict from the end, so the
  // blocks that an upstream holds are a prefix of the prompt and can be searched by halving.
  std::size_t held = 0;
  std::size_t missing = hashes.size() + 1;
  double trust = 0;
  while (held + 1 < missing) {
    const std::size_t middle = held + (missing - held) / 2;
    const Holder* holder = FindHolder(hashes[middle - 1], upstream);
    if (holder != nullptr) {
      held = middle;
      trust = TrustOf(*holder);
    } else {
      missing = middle;
    }
  }
  return {.blocks = held, .trust = trust};
}

void PrefixMap::FindHolders(std::span<const std::uint64_t> hashes,
                            std::vector<UpstreamNumber>& upstreams) const {
  std::size_t known = 0;
  std::size_t missing = hashes.size() + 1;
  const Block* deepest = nullptr;
  while (known + 1 < missing) {
    const std::size_t middle = known + (missing - known) / 2;
    const Block* block = Find(hashes[middle - 1]);
    if (block != nullptr && HasValidHolder(*block)) {
      known = middle;
      deepest = block;
    } else {
      missing = middle;
    }
  }
  if (deepest == nullptr) {
    return;
  }
  for (std::uint8_t i = 0; i < deepest->count; ++i) {
    if (IsValid(deepest->holders[i])) {
      upstreams.push_back(deepest->holders[i].upstream);
    }
  }
}

}  // namespace savoryglade
