#pragma once

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <vector>

namespace savoryglade {

// Keeps the youngest of the items of a report to peers, by their ages, up to the limit. Items of
// the same age are ordered by upstream.
template <typename Reported>
void KeepNewest(std::vector<Reported>& items, std::size_t limit) {
  const std::size_t count = std::min(limit, items.size());
  std::ranges::partial_sort(
      items, items.begin() + static_cast<std::ptrdiff_t>(count), {},
      [](const Reported& reported) { return std::tuple(reported.age, reported.upstream); });
  items.resize(count);
}

}  // namespace savoryglade
