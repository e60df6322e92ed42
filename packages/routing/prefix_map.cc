#include "routing/prefix_map.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace savoryglade {
namespace {

// A gap of one event hides the eviction of a few blocks among thousands, so one gap costs little
// trust and repeated gaps add up. At 0.97 and a loss of 5% of the events, a conversation lost its
// affinity within seconds.
constexpr double kTrustAfterGap = 0.995;
constexpr double kLowestTrust = 0.5;
// Events arrive late by seconds at most. A number that is further back comes from an engine that
// restarted and counts from the start again.
constexpr std::uint64_t kLargestReordering = 1000;

// Events of an engine reach a daemon up to about two seconds late, each by itself.
constexpr Duration kOvertakenFor = 3s;
constexpr std::size_t kMostMissing = 256;
constexpr std::size_t kRememberedEvictions = 512;
constexpr double kEvictionWeight = 0.02;
// Of longer prompts, blocks before the last so many are looked up at intervals, to bound the time.
constexpr std::size_t kLookedAtSingly = 64;

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

double PrefixMap::TrustOf(const Holder& holder) const {
  const std::uint32_t gaps = sources_[holder.upstream].epoch - holder.epoch;
  return gaps == 0 ? 1.0 : std::max(kLowestTrust, std::pow(kTrustAfterGap, gaps));
}

void PrefixMap::Record(std::span<const std::uint64_t> hashes, UpstreamNumber upstream,
                       TimePoint now) {
  const Source& source = SourceOf(upstream);
  const Holder record{upstream, source.epoch, source.sequence, now};
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

void PrefixMap::Evict(std::uint64_t hash, UpstreamNumber upstream, std::uint64_t sequence,
                      TimePoint now) {
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
      const double age = ToSeconds(now - block.holders[i].recorded);
      double& mean = SourceOf(upstream).eviction_age;
      mean = mean <= 0 ? age : mean + kEvictionWeight * (age - mean);
      block.holders[i] = block.holders[--block.count];
      block.next = 0;
      break;
    }
  }
  if (block.count == 0) {
    blocks.erase(found);
  }
}

double PrefixMap::KeptFor(UpstreamNumber upstream) const {
  const double age = upstream < sources_.size() ? sources_[upstream].eviction_age : 0;
  return age > 0 ? age : std::numeric_limits<double>::infinity();
}

bool PrefixMap::TakeMissing(Source& source, std::uint64_t sequence) {
  return std::erase_if(source.missing, [sequence](const Missing& missing) {
           return missing.sequence == sequence;
         }) > 0;
}

std::uint64_t PrefixMap::NoteSkipped(UpstreamNumber upstream, std::uint64_t sequence,
                                     TimePoint now) {
  Source& source = SourceOf(upstream);
  const std::uint64_t skipped = sequence - source.sequence - 1;
  if (skipped + source.missing.size() > kMostMissing) {
    // So many are not just overtaken.
    source.missing.clear();
    Distrust(upstream);
    return skipped;
  }
  for (std::uint64_t next = source.sequence + 1; next < sequence; ++next) {
    source.missing.push_back({next, now});
  }
  return 0;
}

std::uint64_t PrefixMap::FindLost(UpstreamNumber upstream, TimePoint now) {
  const std::size_t lost = std::erase_if(SourceOf(upstream).missing, [now](const Missing& missing) {
    return now - missing.noticed > kOvertakenFor;
  });
  for (std::size_t i = 0; i < lost; ++i) {
    Distrust(upstream);
  }
  return lost;
}

void PrefixMap::RecordLate(UpstreamNumber upstream, const CacheEvent& event, TimePoint now) {
  const std::deque<Eviction>& evictions = SourceOf(upstream).evictions;
  std::vector<std::uint64_t> hashes = event.hashes;
  std::erase_if(hashes, [&](std::uint64_t hash) {
    return std::any_of(evictions.begin(), evictions.end(), [&](const Eviction& eviction) {
      return eviction.hash == hash && eviction.sequence > event.sequence;
    });
  });
  Record(hashes, upstream, now);
}

std::uint64_t PrefixMap::OnEvent(UpstreamNumber upstream, const CacheEvent& event, TimePoint now) {
  Source& source = SourceOf(upstream);
  if (event.sequence + kLargestReordering < source.sequence) {
    Clear(upstream);
  }
  std::uint64_t lost = FindLost(upstream, now);
  if (event.kind == CacheEvent::Kind::kCleared) {
    Clear(upstream);
    source.sequence = event.sequence;
    return lost;
  }
  const bool first = source.sequence == 0;
  const bool late = !first && event.sequence <= source.sequence;
  if (late && !TakeMissing(source, event.sequence)) {
    return lost;  // A repetition, or too late.
  }
  if (!late) {
    lost += first ? 0 : NoteSkipped(upstream, event.sequence, now);
    source.sequence = event.sequence;
  }
  if (event.kind == CacheEvent::Kind::kStored) {
    if (late) {
      RecordLate(upstream, event, now);
    } else {
      Record(event.hashes, upstream, now);
    }
    return lost;
  }
  for (const std::uint64_t hash : event.hashes) {
    Evict(hash, upstream, event.sequence, now);
    source.evictions.push_back({event.sequence, hash});
  }
  while (source.evictions.size() > kRememberedEvictions) {
    source.evictions.pop_front();
  }
  return lost;
}

void PrefixMap::Clear(UpstreamNumber upstream) {
  Source& source = SourceOf(upstream);
  ++source.epoch;
  source.valid_from = source.epoch;
  source.sequence = 0;
  source.missing.clear();
  source.evictions.clear();
}

void PrefixMap::Distrust(UpstreamNumber upstream) { ++SourceOf(upstream).epoch; }

void PrefixMap::Look(std::span<const std::uint64_t> hashes, View& view) const {
  view.known_ = 0;
  view.found_.clear();
  view.holders_.clear();
  // A search by halving would be cheaper, but blocks whose event was lost are holes in the record.
  std::size_t step = 1;
  for (std::size_t blocks = hashes.size(); blocks > 0; blocks -= std::min(step, blocks)) {
    if (hashes.size() - blocks >= kLookedAtSingly) {
      step = 1 + hashes.size() / kLookedAtSingly;
    }
    const Block* block = Find(hashes[blocks - 1]);
    if (block != nullptr) {
      view.found_.push_back({blocks, block});
    }
  }
  for (const View::Found& found : view.found_) {
    for (std::uint8_t i = 0; i < found.block->count; ++i) {
      if (IsValid(found.block->holders[i])) {
        view.holders_.push_back(found.block->holders[i].upstream);
      }
    }
    if (!view.holders_.empty()) {
      view.known_ = found.blocks;
      return;
    }
  }
}

PrefixMatch PrefixMap::Match(const View& view, UpstreamNumber upstream) const {
  for (const View::Found& found : view.found_) {
    for (std::uint8_t i = 0; i < found.block->count; ++i) {
      const Holder& holder = found.block->holders[i];
      if (holder.upstream == upstream && IsValid(holder)) {
        return {.blocks = found.blocks, .trust = TrustOf(holder)};
      }
    }
  }
  return {};
}

PrefixMatch PrefixMap::Match(std::span<const std::uint64_t> hashes, UpstreamNumber upstream) const {
  View view;
  Look(hashes, view);
  return Match(view, upstream);
}

}  // namespace savoryglade
