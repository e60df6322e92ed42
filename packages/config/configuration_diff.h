#pragma once

#include <string>
#include <vector>

#include "config/configuration.h"

namespace savoryglade {

// How an entry of the configuration differs between two versions.
enum class ChangeKind { kAdded, kRemoved, kChanged };

// Entry that differs between two configurations: a service, a client account or an upstream.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  // List and name of the entry that differs between the two configurations, e.g.
  // "client_accounts/drivers".
  std::string item;
  // Names of the fields that differ; empty for an entry that was added or removed.
  std::vector<std::string> fields;

  friend auto operator<=>(const ConfigurationChange&, const ConfigurationChange&) = default;
};

// Returns the entries that differ between two configurations, ordered by list. Within a list, the
// removed and changed entries precede the added ones. The version numbers of the configurations are
// not compared.
std::vector<ConfigurationChange> DiffConfigurations(const Configuration& before,
                                                    const Configuration& after);

// Prints one change per line: "+ item", "- item" or "~ item: field, field".
std::string PrintChanges(const std::vector<ConfigurationChange>& changes);

}  // namespace savoryglade
