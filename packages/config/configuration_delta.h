#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.h"

namespace savoryglade {

// Returns the names of the entries that differ, e.g. "services.orders" or "upstreams.assistant-1":
// services, client accounts and upstreams, each sorted by name.
std::vector<std::string> ChangedNames(const Configuration& before, const Configuration& after);

// Difference between two versions of the configuration. Contains only the upstreams that differ,
// because they make up most of a large configuration and change most often, and all services and
// client accounts.
struct ConfigurationDelta {
  std::uint64_t base_version = 0;
  // All services and client accounts, and the upstreams that were added or changed.
  Configuration changed;
  std::vector<UpstreamId> removed_upstreams;
  // SHA-256 digest of the target configuration, in hex.
  std::string digest;

  friend bool operator==(const ConfigurationDelta&, const ConfigurationDelta&) = default;
};

// Returns the delta from the base to the target.
ConfigurationDelta MakeDelta(const Configuration& base, const Configuration& target);

// Returns the target configuration, or nothing if the result does not match the delta's digest: the
// base is a different one, or the order of upstreams changed.
std::optional<Configuration> ApplyDelta(const Configuration& base, const ConfigurationDelta& delta);

}  // namespace savoryglade
