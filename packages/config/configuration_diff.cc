#include "config/configuration_diff.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <boost/json.hpp>
#include <map>

namespace savoryglade {
namespace {

namespace json = boost::json;

using ItemsByName = std::map<std::string, json::object>;

// Returns the entries of a list of the printed document. The comparison uses the printed form
// because it has the field names that operators use.
ItemsByName ReadItems(const json::object& document, const std::string& list) {
  ItemsByName items;
  for (const json::value& item : document.at(list).as_array()) {
    items.emplace(json::value_to<std::string>(item.at("name")), item.as_object());
  }
  return items;
}

std::string ItemPath(const std::string& list, const std::string& name) {
  return fmt::format("{}/{}", list, name);
}

std::vector<std::string> DifferentFields(const json::object& before, const json::object& after) {
  std::vector<std::string> fields;
  for (const auto& member : before) {
    const json::value* other = after.if_contains(member.key());
    if (other == nullptr || *other != member.value()) {
      fields.emplace_back(member.key());
    }
  }
  for (const auto& member : after) {
    if (!before.contains(member.key())) {
      fields.emplace_back(member.key());
    }
  }
  return fields;
}

void DiffList(const json::object& before, const json::object& after, const std::string& list,
              std::vector<ConfigurationChange>& changes) {
  const ItemsByName old_items = ReadItems(before, list);
  const ItemsByName new_items = ReadItems(after, list);
  for (const auto& [name, item] : old_items) {
    const auto found = new_items.find(name);
    if (found == new_items.end()) {
      changes.push_back({.kind = ChangeKind::kRemoved, .item = ItemPath(list, name)});
    } else if (found->second != item) {
      changes.push_back({.kind = ChangeKind::kChanged,
                         .item = ItemPath(list, name),
                         .fields = DifferentFields(item, found->second)});
    }
  }
  for (const auto& [name, item] : new_items) {
    if (old_items.count(name) == 0) {
      changes.push_back({.kind = ChangeKind::kAdded, .item = ItemPath(list, name)});
    }
  }
}

}  // namespace

std::vector<ConfigurationChange> DiffConfigurations(const Configuration& before,
                                                    const Configuration& after) {
  const json::object old_document = json::parse(PrintConfiguration(before)).as_object();
  const json::object new_document = json::parse(PrintConfiguration(after)).as_object();
  std::vector<ConfigurationChange> changes;
  for (const char* list : {"services", "client_accounts", "upstreams"}) {
    DiffList(old_document, new_document, list, changes);
  }
  return changes;
}

std::string PrintChanges(const std::vector<ConfigurationChange>& changes) {
  std::string text;
  for (const ConfigurationChange& change : changes) {
    switch (change.kind) {
      case ChangeKind::kAdded:
        text += fmt::format("+ {}\n", change.item);
        break;
      case ChangeKind::kRemoved:
        text += fmt::format("- {}\n", change.item);
        break;
      case ChangeKind::kChanged:
        text += fmt::format("~ {}: {}\n", change.item, fmt::join(change.fields, ", "));
        break;
    }
  }
  return text;
}

}  // namespace savoryglade
