#include "recovery/body_digest.h"

#include <openssl/evp.h>

namespace savoryglade {

BodyDigest DigestOf(std::string_view text) {
  BodyDigest digest{};
  EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
  return digest;
}

}  // namespace savoryglade
