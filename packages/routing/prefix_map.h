#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "routing/route_types.h"

namespace savoryglade {

// Number of an upstream within one table; never reused.
using UpstreamNumber = std::uint32_t;

// Part of a prompt that an upstream is recorded to hold, and the trust in that record, in [0, 1].
struct PrefixMatch {
  std::size_t blocks = 0;
  double trust = 0;

  double trusted_blocks() const { return static_cast<double>(blocks) * trust; }
};

// Records which upstreams hold which prompt blocks, from own dispatches and from cache events that
// arrive late and incomplete. Memory is bounded: entries are kept in two generations, and when the
// young one is full, the old one is dropped. A used entry moves to the young generation.
class PrefixMap {
 public:
  explicit PrefixMap(std::size_t max_entries) : generation_size_(max_entries / 2 + 1) {}

  // Records that the upstream holds these blocks.
  void Record(std::span<const std::uint64_t> hashes, UpstreamNumber upstream, TimePoint now);

  // Applies an event. Events may arrive out of order; an event that is missing for some seconds
  // after a later one counts as lost. Returns the number of events that this call found lost.
  std::uint64_t OnEvent(UpstreamNumber upstream, const CacheEvent& event, TimePoint now);

  // Discards all blocks and the event sequence of an upstream, e.g. after a restart.
  void Clear(UpstreamNumber upstream);

  // Reduces the trust in the recorded blocks of an upstream until they are recorded again.
  void ReduceTrust(UpstreamNumber upstream);

  // Recorded blocks of one prompt, from its end to its start. Valid until the map changes.
  class PromptLookup;

  // Looks up the blocks of a prompt. The caller passes the result object so that its memory is
  // reused.
  void Lookup(std::span<const std::uint64_t> hashes, PromptLookup& lookup) const;

  // Returns the longest recorded prefix of the prompt at an upstream.
  PrefixMatch Match(const PromptLookup& lookup, UpstreamNumber upstream) const;
  PrefixMatch Match(std::span<const std::uint64_t> hashes, UpstreamNumber upstream) const;

  // Returns the recent average time in seconds between the last record of a block and its eviction;
  // infinity if the upstream evicts nothing.
  double RetentionSeconds(UpstreamNumber upstream) const;

  // Returns the number of recorded blocks.
  std::size_t size() const { return young_.size() + old_.size(); }

 private:
  // Maximum number of holders per block; a more widely held block is found at almost any upstream.
  static constexpr std::size_t kMaxHolders = 8;

  struct Holder {
    UpstreamNumber upstream = 0;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
    TimePoint recorded;
  };

  struct Block {
    std::array<Holder, kMaxHolders> holders;
    std::uint8_t count = 0;
    std::uint8_t next = 0;
  };

  struct MissingEvent {
    std::uint64_t sequence = 0;
    TimePoint detected_at;
  };

  struct Eviction {
    std::uint64_t sequence = 0;
    std::uint64_t hash = 0;
  };

  // Cache event stream of one upstream. Each gap starts a new epoch, and entries of earlier epochs
  // are trusted less. Entries from before first_valid_epoch are invalid.
  struct EventSource {
    std::uint64_t sequence = 0;
    std::uint32_t epoch = 0;
    std::uint32_t first_valid_epoch = 0;
    // Events that are still missing, and the last evicted blocks, which a late event must not
    // restore.
    std::vector<MissingEvent> missing;
    std::deque<Eviction> evictions;
    // Moving average of the time in seconds from the last record of a block to its eviction; zero
    // without evictions.
    double mean_eviction_age = 0;
  };

  using Blocks = std::unordered_map<std::uint64_t, Block>;

  const Block* Find(std::uint64_t hash) const;
  Block& Touch(std::uint64_t hash);
  void Evict(std::uint64_t hash, UpstreamNumber upstream, std::uint64_t sequence, TimePoint now);
  bool IsValid(const Holder& holder) const;
  static bool EraseMissing(EventSource& source, std::uint64_t sequence);
  std::uint64_t RecordSkipped(UpstreamNumber upstream, std::uint64_t sequence, TimePoint now);
  std::uint64_t ExpireMissing(UpstreamNumber upstream, TimePoint now);
  void RecordLateEvent(UpstreamNumber upstream, const CacheEvent& event, TimePoint now);
  EventSource& EventSourceOf(UpstreamNumber upstream);
  double TrustOf(const Holder& holder) const;

  std::size_t generation_size_;
  Blocks young_;
  Blocks old_;
  std::vector<EventSource> sources_;
};

class PrefixMap::PromptLookup {
 public:
  // Returns the number of blocks of the longest prefix that any upstream is recorded to hold.
  std::size_t matched_blocks() const { return matched_blocks_; }

  // Returns the upstreams that hold this prefix.
  const std::vector<UpstreamNumber>& holders() const { return holders_; }

 private:
  friend class PrefixMap;

  struct Found {
    std::size_t blocks = 0;
    const Block* block = nullptr;
  };

  std::size_t matched_blocks_ = 0;
  std::vector<Found> found_;
  std::vector<UpstreamNumber> holders_;
};

}  // namespace savoryglade
