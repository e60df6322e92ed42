#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "recovery/crash_registry.h"

namespace savoryglade {

// Hashes by which a request is recognised when it comes again, whatever its attempt id.
struct RequestFingerprint {
  // Covers all of the request.
  std::uint64_t request = 0;
  // Leaves out method and query, because a crashing request may come again with others.
  std::uint64_t path = 0;
  bool has_query = false;

  // Returns what losses are recorded for: the request itself and, if its target has a query, its
  // path.
  std::vector<CrashKey> LossKeys() const;
};

// Parts of a request that identify it. The scope is what paths are unique in, such as a host.
struct RequestParts {
  std::string_view account;
  std::string_view scope;
  std::string_view method;
  std::string_view target;
  std::string_view body;
};

RequestFingerprint FingerprintOf(const RequestParts& parts);

// Returns the path of a target, without its query.
inline std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace savoryglade
