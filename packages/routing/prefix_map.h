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

// Number of an upstream inside one table; never given twice.
using UpstreamNumber = std::uint32_t;

// How much of a prompt an upstream is believed to hold, and how far to trust that, in [0, 1].
struct PrefixMatch {
  std::size_t blocks = 0;
  double trust = 0;

  double trusted_blocks() const { return static_cast<double>(blocks) * trust; }
};

// Which upstreams hold which prompt blocks, learned from own dispatches and from cache events that
// are late and have gaps. Memory is bounded: entries are kept in two generations, and when the
// young one is full the old one is dropped. An entry that is used moves to the young generation.
class PrefixMap {
 public:
  explicit PrefixMap(std::size_t max_entries) : generation_size_(max_entries / 2 + 1) {}

  // Records that the upstream holds these blocks.
  void Record(std::span<const std::uint64_t> hashes, UpstreamNumber upstream, TimePoint now);

  // Takes an event. Events may overtake each other; one that is missing for some seconds after a
  // later one is lost. Returns the number of events that were found lost by this call.
  std::uint64_t OnEvent(UpstreamNumber upstream, const CacheEvent& event, TimePoint now);

  // Forgets all blocks of an upstream and its event sequence, e.g. after it restarted.
  void Clear(UpstreamNumber upstream);

  // Trusts what is known of an upstream less until it is confirmed.
  void Distrust(UpstreamNumber upstream);

  // What is recorded of one prompt, from its end to its start. Holds until the map changes.
  class View;

  // Looks up the blocks of a prompt. The view is an argument so that its memory can be used again.
  void Look(std::span<const std::uint64_t> hashes, View& view) const;

  // Returns the longest recorded prefix of the prompt at an upstream.
  PrefixMatch Match(const View& view, UpstreamNumber upstream) const;
  PrefixMatch Match(std::span<const std::uint64_t> hashes, UpstreamNumber upstream) const;

  // Returns how long in seconds the upstream has lately kept a block after its last use; infinity
  // if it evicts nothing.
  double KeptFor(UpstreamNumber upstream) const;

  // Returns the number of blocks that are recorded.
  std::size_t size() const { return young_.size() + old_.size(); }

 private:
  // A block that more upstreams hold is so common that any choice finds it.
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

  struct Missing {
    std::uint64_t sequence = 0;
    TimePoint noticed;
  };

  struct Eviction {
    std::uint64_t sequence = 0;
    std::uint64_t hash = 0;
  };

  // Each gap begins a new epoch; entries of earlier epochs are trusted less. Entries from before
  // valid_from no longer count.
  struct Source {
    std::uint64_t sequence = 0;
    std::uint32_t epoch = 0;
    std::uint32_t valid_from = 0;
    // Events that were overtaken, and the last evicted blocks, which an overtaken event must not
    // bring back.
    std::vector<Missing> missing;
    std::deque<Eviction> evictions;
    // Recent mean of the time in seconds from the last record of a block to its eviction; zero
    // without evictions.
    double eviction_age = 0;
  };

  using Blocks = std::unordered_map<std::uint64_t, Block>;

  const Block* Find(std::uint64_t hash) const;
  Block& Touch(std::uint64_t hash);
  void Evict(std::uint64_t hash, UpstreamNumber upstream, std::uint64_t sequence, TimePoint now);
  bool IsValid(const Holder& holder) const;
  static bool TakeMissing(Source& source, std::uint64_t sequence);
  std::uint64_t NoteSkipped(UpstreamNumber upstream, std::uint64_t sequence, TimePoint now);
  std::uint64_t FindLost(UpstreamNumber upstream, TimePoint now);
  void RecordLate(UpstreamNumber upstream, const CacheEvent& event, TimePoint now);
  Source& SourceOf(UpstreamNumber upstream);
  double TrustOf(const Holder& holder) const;

  std::size_t generation_size_;
  Blocks young_;
  Blocks old_;
  std::vector<Source> sources_;
};

class PrefixMap::View {
 public:
  // Returns the number of blocks of the longest prefix that any upstream is recorded to hold.
  std::size_t known() const { return known_; }

  // The upstreams that hold it.
  const std::vector<UpstreamNumber>& holders() const { return holders_; }

 private:
  friend class PrefixMap;

  struct Found {
    std::size_t blocks = 0;
    const Block* block = nullptr;
  };

  std::size_t known_ = 0;
  std::vector<Found> found_;
  std::vector<UpstreamNumber> holders_;
};

}  // namespace savoryglade
