#include "routing/prefix_map.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace savoryglade {
namespace {

// A gap of one event may hide the eviction of a few blocks among thousands, so a single gap costs
// little trust and repeated gaps add up. At 0.97 and a loss of 5% of the events, a conversation
// lost its affinity within seconds.
constexpr double kTrustAfterGap = 0.995;
constexpr double kMinTrust = 0.5;
// Events are delayed by seconds at most. A sequence number that is further back comes from an
// engine that restarted and counts from the start again.
constexpr std::uint64_t kMaxReorderDistance = 1000;

// Each event of an engine may reach a daemon up to about two seconds late, independently of others.
constexpr Duration kReorderTimeout = 3s;
constexpr std::size_t kMaxMissingEvents = 256;
constexpr std::size_t kMaxEvictionHistory = 512;
constexpr double kEvictionAgeWeight = 0.02;
// Number of blocks at the end of a prompt that are looked up one by one; earlier blocks are looked
// up at intervals to bound the lookup time.
constexpr std::size_t kMaxSingleLookups = 64;

}  // namespace

PrefixMap::EventSource& PrefixMap::EventSourceOf(UpstreamNumber upstream) {
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
  return holder.upstream >= sources_.size() ||
         holder.epoch >= sources_[holder.upstream].first_valid_epoch;
}

double PrefixMap::TrustOf(const Holder& holder) const {
  const std::uint32_t gaps = sources_[holder.upstream].epoch - holder.epoch;
  return gaps == 0 ? 1.0 : std::max(kMinTrust, std::pow(kTrustAfterGap, gaps));
}

void PrefixMap::Record(std::span<const std::uint64_t> hashes, UpstreamNumber upstream,
                       TimePoint now) {
  const EventSource& source = EventSourceOf(upstream);
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
      double& mean = EventSourceOf(upstream).mean_eviction_age;
      mean = mean <= 0 ? age : mean + kEvictionAgeWeight * (age - mean);
      block.holders[i] = block.holders[--block.count];
      block.next = 0;
      break;
    }
  }
  if (block.count == 0) {
    blocks.erase(found);
  }
}

double PrefixMap::RetentionSeconds(UpstreamNumber upstream) const {
  const double age = upstream < sources_.size() ? sources_[upstream].mean_eviction_age : 0;
  return age > 0 ? age : std::numeric_limits<double>::infinity();
}

bool PrefixMap::EraseMissing(EventSource& source, std::uint64_t sequence) {
  return std::erase_if(source.missing, [sequence](const MissingEvent& missing) {
           return missing.sequence == sequence;
         }) > 0;
}

std::uint64_t PrefixMap::RecordSkipped(UpstreamNumber upstream, std::uint64_t sequence,
                                       TimePoint now) {
  EventSource& source = EventSourceOf(upstream);
  const std::uint64_t skipped = sequence - source.sequence - 1;
  if (skipped + source.missing.size() > kMaxMissingEvents) {
    // Too many events are missing to be merely reordered.
    source.missing.clear();
    ReduceTrust(upstream);
    return skipped;
  }
  for (std::uint64_t next = source.sequence + 1; next < sequence; ++next) {
    source.missing.push_back({next, now});
  }
  return 0;
}

std::uint64_t PrefixMap::ExpireMissing(UpstreamNumber upstream, TimePoint now) {
  const std::size_t lost = std::erase_if(
      EventSourceOf(upstream).missing,
      [now](const MissingEvent& missing) { return now - missing.detected_at > kReorderTimeout; });
  for (std::size_t i = 0; i < lost; ++i) {
    ReduceTrust(upstream);
  }
  return lost;
}

void PrefixMap::RecordLateEvent(UpstreamNumber upstream, const CacheEvent& event, TimePoint now) {
  const std::deque<Eviction>& evictions = EventSourceOf(upstream).evictions;
  std::vector<std::uint64_t> hashes = event.hashes;
  std::erase_if(hashes, [&](std::uint64_t hash) {
    return std::any_of(evictions.begin(), evictions.end(), [&](const Eviction& eviction) {
      return eviction.hash == hash && eviction.sequence > event.sequence;
    });
  });
  Record(hashes, upstream, now);
}

std::uint64_t PrefixMap::OnEvent(UpstreamNumber upstream, const CacheEvent& event, TimePoint now) {
  EventSource& source = EventSourceOf(upstream);
  if (event.sequence + kMaxReorderDistance < source.sequence) {
    Clear(upstream);
  }
  std::uint64_t lost = ExpireMissing(upstream, now);
  if (event.kind == CacheEvent::Kind::kCleared) {
    Clear(upstream);
    source.sequence = event.sequence;
    return lost;
  }
  const bool first = source.sequence == 0;
  const bool late = !first && event.sequence <= source.sequence;
  if (late && !EraseMissing(source, event.sequence)) {
    return lost;  // Repeated, or already counted as lost.
  }
  if (!late) {
    lost += first ? 0 : RecordSkipped(upstream, event.sequence, now);
    source.sequence = event.sequence;
  }
  if (event.kind == CacheEvent::Kind::kStored) {
    if (late) {
      RecordLateEvent(upstream, event, now);
    } else {
      Record(event.hashes, upstream, now);
    }
    return lost;
  }
  for (const std::uint64_t hash : event.hashes) {
    Evict(hash, upstream, event.sequence, now);
    source.evictions.push_back({event.sequence, hash});
  }
  while (source.evictions.size() > kMaxEvictionHistory) {
    source.evictions.pop_front();
  }
  return lost;
}

void PrefixMap::Clear(UpstreamNumber upstream) {
  EventSource& source = EventSourceOf(upstream);
  ++source.epoch;
  source.first_valid_epoch = source.epoch;
  source.sequence = 0;
  source.missing.clear();
  source.evictions.clear();
}

void PrefixMap::ReduceTrust(UpstreamNumber upstream) { ++EventSourceOf(upstream).epoch; }

void PrefixMap::Lookup(std::span<const std::uint64_t> hashes, PromptLookup& lookup) const {
  lookup.matched_blocks_ = 0;
  lookup.found_.clear();
  lookup.holders_.clear();
  // A binary search would be cheaper, but blocks whose event was lost leave gaps in the record.
  std::size_t step = 1;
  for (std::size_t blocks = hashes.size(); blocks > 0; blocks -= std::min(step, blocks)) {
    if (hashes.size() - blocks >= kMaxSingleLookups) {
      step = 1 + hashes.size() / kMaxSingleLookups;
    }
    const Block* block = Find(hashes[blocks - 1]);
    if (block != nullptr) {
      lookup.found_.push_back({blocks, block});
    }
  }
  for (const PromptLookup::Found& found : lookup.found_) {
    for (std::uint8_t i = 0; i < found.block->count; ++i) {
      if (IsValid(found.block->holders[i])) {
        lookup.holders_.push_back(found.block->holders[i].upstream);
      }
    }
    if (!lookup.holders_.empty()) {
      lookup.matched_blocks_ = found.blocks;
      return;
    }
  }
}

PrefixMatch PrefixMap::Match(const PromptLookup& lookup, UpstreamNumber upstream) const {
  for (const PromptLookup::Found& found : lookup.found_) {
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
  PromptLookup lookup;
  Lookup(hashes, lookup);
  return Match(lookup, upstream);
}

}  // namespace savoryglade
