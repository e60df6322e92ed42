#pragma once

#include <string>
#include <vector>

#include "config/configuration.h"

namespace savoryglade {

// How an item of the configuration differs between two versions.
enum class ChangeKind { kAdded, kRemoved, kChanged };

// One item that differs: a service, a client account or an upstream.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  // List and name of the item, e.g. "client_accounts/drivers".
  std::string item;
  // Names of the fields that differ; empty for items that were added or removed.
  std::vector<std::string> fields;

  friend auto operator<=>(const ConfigurationChange&, const ConfigurationChange&) = default;
};

// Lists what differs between two configurations, by list and name. Versions are not compared.
std::vector<ConfigurationChange> DiffConfigurations(const Configuration& before,
                                                    const Configuration& after);

// Prints one change a line: "+ item", "- item" or "~ item: field, field".
std::string PrintChanges(const std::vector<ConfigurationChange>& changes);

}  // namespace savoryglade
