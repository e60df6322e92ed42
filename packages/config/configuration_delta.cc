#include "config/configuration_delta.h"

#include <algorithm>
#include <map>
#include <set>

#include "config/account_keys.h"

namespace savoryglade {
namespace {

template <typename T>
std::map<std::string, const T*> ByName(const std::vector<T>& items) {
  std::map<std::string, const T*> map;
  for (const T& item : items) {
    map[item.name.value()] = &item;
  }
  return map;
}

template <typename T>
void AddChangedNames(const std::vector<T>& before, const std::vector<T>& after,
                     const std::string& list, std::vector<std::string>& names) {
  const auto old_items = ByName(before);
  const auto new_items = ByName(after);
  std::set<std::string> changed;
  for (const auto& [name, item] : old_items) {
    const auto found = new_items.find(name);
    if (found == new_items.end() || *found->second != *item) {
      changed.insert(name);
    }
  }
  for (const auto& [name, item] : new_items) {
    if (old_items.count(name) == 0) {
      changed.insert(name);
    }
  }
  for (const std::string& name : changed) {
    names.push_back(list);
    names.back().append(".").append(name);
  }
}

std::string Digest(const Configuration& configuration) {
  return Sha256Hex(PrintConfiguration(configuration));
}

}  // namespace

std::vector<std::string> ChangedNames(const Configuration& before, const Configuration& after) {
  std::vector<std::string> names;
  AddChangedNames(before.services, after.services, "services", names);
  AddChangedNames(before.accounts, after.accounts, "client_accounts", names);
  AddChangedNames(before.upstreams, after.upstreams, "upstreams", names);
  return names;
}

ConfigurationDelta MakeDelta(const Configuration& base, const Configuration& target) {
  ConfigurationDelta delta = {.base_version = base.version, .digest = Digest(target)};
  delta.changed = target;
  const auto old_upstreams = ByName(base.upstreams);
  auto& changed = delta.changed.upstreams;
  changed.erase(std::remove_if(changed.begin(), changed.end(),
                               [&old_upstreams](const UpstreamConfig& upstream) {
                                 const auto found = old_upstreams.find(upstream.name.value());
                                 return found != old_upstreams.end() && *found->second == upstream;
                               }),
                changed.end());
  const auto new_upstreams = ByName(target.upstreams);
  for (const UpstreamConfig& upstream : base.upstreams) {
    if (new_upstreams.count(upstream.name.value()) == 0) {
      delta.removed_upstreams.push_back(upstream.name);
    }
  }
  return delta;
}

std::optional<Configuration> ApplyDelta(const Configuration& base,
                                        const ConfigurationDelta& delta) {
  if (base.version != delta.base_version) {
    return std::nullopt;
  }
  Configuration result = delta.changed;
  auto changed = ByName(delta.changed.upstreams);
  const std::set<UpstreamId> removed(delta.removed_upstreams.begin(),
                                     delta.removed_upstreams.end());
  result.upstreams.clear();
  for (const UpstreamConfig& upstream : base.upstreams) {
    const auto found = changed.find(upstream.name.value());
    if (found != changed.end()) {
      result.upstreams.push_back(*found->second);
      changed.erase(found);
    } else if (removed.count(upstream.name) == 0) {
      result.upstreams.push_back(upstream);
    }
  }
  for (const UpstreamConfig& upstream : delta.changed.upstreams) {
    if (changed.count(upstream.name.value()) != 0) {
      result.upstreams.push_back(upstream);
    }
  }
  if (Digest(result) != delta.digest) {
    return std::nullopt;
  }
  return result;
}

}  // namespace savoryglade
