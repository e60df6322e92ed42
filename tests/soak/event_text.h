#pragma once

#include <fmt/format.h>

#include <cstddef>
#include <string>

namespace savoryglade::soak {

// Returns one event of a stream, whose data is padded to at least this many bytes.
inline std::string EventText(int event, std::size_t bytes) {
  return fmt::format("id: {0}\ndata: {1:.<{2}}\n\n", event, fmt::format("token {}", event), bytes);
}

}  // namespace savoryglade::soak
