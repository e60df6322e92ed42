#include "config/account_keys.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace savoryglade {

std::string Sha256Hex(std::string_view text) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

const AccountConfig* FindAccountByKey(const Configuration& configuration, std::string_view key) {
  if (key.empty()) {
    return nullptr;
  }
  const std::string digest = Sha256Hex(key);
  const AccountConfig* found = nullptr;
  for (const AccountConfig& account : configuration.accounts) {
    if (EqualInConstantTime(account.key_sha256, digest)) {
      found = &account;
    }
  }
  return found;
}

}  // namespace savoryglade
