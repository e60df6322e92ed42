#pragma once

#include <cmath>
#include <limits>

namespace savoryglade {

// Returns the integer nearest to zero from the value, limited to the range of the type; zero for
// NaN. Converting a value outside that range directly is undefined, and processors differ.
template <typename Integer>
constexpr Integer SaturatingCast(double value) {
  // The maximum of a 64-bit type is rounded up to a power of two here, which is out of range.
  if (value >= static_cast<double>(std::numeric_limits<Integer>::max())) {
    return std::numeric_limits<Integer>::max();
  }
  if (value <= static_cast<double>(std::numeric_limits<Integer>::min())) {
    return std::numeric_limits<Integer>::min();
  }
  return std::isnan(value) ? Integer{0} : static_cast<Integer>(value);
}

}  // namespace savoryglade
