#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/error.h"

namespace savoryglade {

// Compresses bytes in the zlib format, which HTTP calls the content coding "deflate".
std::string Compress(std::string_view bytes);

// Decompresses bytes in the zlib format. Returns kInvalid if they are malformed or truncated, or if
// the result would exceed max_size bytes.
Result<std::string> Decompress(std::string_view compressed, std::size_t max_size);

}  // namespace savoryglade
