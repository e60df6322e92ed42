#include "recovery/sha256_digest.h"

#include <openssl/evp.h>

namespace savoryglade {

Sha256Digest ComputeSha256(std::string_view text) {
  Sha256Digest digest{};
  EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
  return digest;
}

}  // namespace savoryglade
