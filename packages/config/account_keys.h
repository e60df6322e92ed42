#pragma once

#include <string>
#include <string_view>

#include "config/configuration.h"

namespace savoryglade {

// Returns the SHA-256 of a text as 64 hexadecimal digits in lower case.
std::string Sha256Hex(std::string_view text);

// Compares two texts in a time that depends on their lengths only.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Returns the client account whose key has been presented, or nullptr. Compares with every
// account's digest in constant time, so that timing tells nothing of the keys.
const AccountConfig* FindAccountByKey(const Configuration& configuration, std::string_view key);

}  // namespace savoryglade
