#include "recovery/request_fingerprint.h"

#include "core/prefix_hash.h"

namespace savoryglade {
namespace {

// Appends a text and a separator that occurs in no text but a body to what is hashed.
std::uint64_t AppendHash(std::string_view text, std::uint64_t hash) {
  constexpr std::string_view kSeparator("\0", 1);
  return Fnv1aHash(kSeparator, Fnv1aHash(text, hash));
}

}  // namespace

std::vector<CrashKey> RequestFingerprint::LossKeys() const {
  std::vector<CrashKey> keys = {{.subject = CrashSubject::kRequest, .hash = request}};
  if (has_query) {
    keys.push_back({.subject = CrashSubject::kPath, .hash = path});
  }
  return keys;
}

RequestFingerprint FingerprintOf(const RequestParts& parts) {
  const std::string_view path = PathOf(parts.target);
  const std::string_view query = parts.target.substr(path.size());
  const std::uint64_t scope = AppendHash(parts.scope, AppendHash(parts.account, Fnv1aHash({})));
  RequestFingerprint fingerprint;
  fingerprint.path = Fnv1aHash(parts.body, AppendHash(path, scope));
  fingerprint.request = Fnv1aHash(query, AppendHash(parts.method, fingerprint.path));
  fingerprint.has_query = !query.empty();
  return fingerprint;
}

}  // namespace savoryglade
