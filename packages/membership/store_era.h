#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.h"

namespace savoryglade {

// Number that the store raises whenever it returns from an older copy, and an instant since which
// the fleet has seen this number. Rows that were acknowledged before that instant may be missing.
// Number 0 belongs to a store that never returns from a copy.
struct StoreEra {
  std::uint64_t number = 0;
  TimePoint seen_since{};

  friend bool operator==(const StoreEra&, const StoreEra&) = default;
};

// Returns the later of two eras. Of two observations of the same era, the earlier one counts.
inline StoreEra Combine(const StoreEra& a, const StoreEra& b) {
  if (a.number != b.number) {
    return a.number > b.number ? a : b;
  }
  return {.number = a.number, .seen_since = std::min(a.seen_since, b.seen_since)};
}

}  // namespace savoryglade
