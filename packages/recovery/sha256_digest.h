#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace savoryglade {

// SHA-256 digest of a request body, a request key or a stored answer. A collision would return the
// answer of one request for another, so a cryptographic hash is used.
using Sha256Digest = std::array<std::uint8_t, 32>;

// Returns the SHA-256 digest of the text.
Sha256Digest ComputeSha256(std::string_view text);

}  // namespace savoryglade
