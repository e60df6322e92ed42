#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/configuration.h"

namespace savoryglade {

// Returns the names of what differs, e.g. "services.orders" or "upstreams.assistant-1", in order.
std::vector<std::string> ChangedNames(const Configuration& before, const Configuration& after);

// What leads from one version to another. Upstreams are most of a large configuration and change
// most, so only those that differ are in it; services and client accounts are there in full.
struct ConfigurationDelta {
  std::uint64_t base_version = 0;
  // All services and client accounts; upstreams that were added or changed.
  Configuration changed;
  std::vector<UpstreamId> removed_upstreams;
  // Digest of the configuration that results, in hex.
  std::string digest;

  friend bool operator==(const ConfigurationDelta&, const ConfigurationDelta&) = default;
};

// Returns the delta between two versions.
ConfigurationDelta MakeDelta(const Configuration& base, const Configuration& target);

// Returns the configuration that the delta leads to, or nothing if it does not lead to the
// configuration that it was made from: the base is another, or the order of upstreams changed.
std::optional<Configuration> ApplyDelta(const Configuration& base, const ConfigurationDelta& delta);

}  // namespace savoryglade
