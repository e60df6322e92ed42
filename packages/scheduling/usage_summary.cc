#include "scheduling/usage_summary.h"

#include <string_view>

namespace savoryglade {
namespace {

constexpr std::uint32_t kFnvOffset = 2166136261U;
constexpr std::uint32_t kFnvPrime = 16777619U;

std::uint32_t HashOn(std::uint32_t hash, std::string_view text) {
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

}  // namespace

std::uint32_t UsageKey(const AccountId& account, const ServiceId& service) {
  // Separates the strings with a zero byte, so that ("ab", "c") and ("a", "bc") have different
  // hashes.
  return HashOn(HashOn(HashOn(kFnvOffset, service.value()), std::string_view("\0", 1)),
                account.value());
}

}  // namespace savoryglade
