#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace savoryglade {

// SHA-256 of a request body or of a stored answer. A collision would let one request answer for
// another, so a cryptographic digest is used.
using Sha256Digest = std::array<std::uint8_t, 32>;

// Returns the SHA-256 of the text.
Sha256Digest ComputeSha256(std::string_view text);

}  // namespace savoryglade
