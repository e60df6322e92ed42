#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace savoryglade {

// Size of one block of a prompt in bytes, and of one prompt token as emulated engines count them.
inline constexpr std::size_t kPrefixBlockBytes = 64;
inline constexpr std::size_t kPromptTokenBytes = 4;

// FNV-1a, which is stable over platforms, unlike std::hash.
constexpr std::uint64_t Fnv1aHash(std::string_view text,
                                  std::uint64_t hash = 14695981039346656037ULL) {
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

// Returns one hash for each whole block of a prompt; each hash covers all blocks before it. Engines
// name the blocks in their cache events in the same way.
inline std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = Fnv1aHash({});
  for (std::size_t end = kPrefixBlockBytes; end <= prompt.size(); end += kPrefixBlockBytes) {
    hash = Fnv1aHash(prompt.substr(end - kPrefixBlockBytes, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace savoryglade
