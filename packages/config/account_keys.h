#pragma once

#include <string>
#include <string_view>

#include "config/configuration.h"

namespace savoryglade {

// Returns the SHA-256 digest of a string as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

// Compares two strings in a time that depends only on their lengths.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Returns the client account with the key, or nullptr. Compares the key's digest with that of every
// account in constant time, so that the timing reveals nothing about the keys.
const AccountConfig* FindAccountByKey(const Configuration& configuration, std::string_view key);

}  // namespace savoryglade
