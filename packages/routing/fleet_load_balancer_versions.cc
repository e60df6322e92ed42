#include <algorithm>

#include "routing/fleet_load_balancer.h"

namespace savoryglade {
namespace {

// Spreads the upstreams that a limited version begins with over the ids, and so over the failure
// domains. The version is mixed in, so that not the same ones begin each time.
std::uint64_t OrderOf(std::uint64_t upstream, std::uint64_t version) {
  std::uint64_t hash = (upstream ^ version) * 0xBF58476D1CE4E5B9ULL;
  hash = (hash ^ (hash >> 29)) * 0x94D049BB133111EBULL;
  return hash ^ (hash >> 32);
}

}  // namespace

void FleetLoadBalancer::SetVersionLimits(const ServiceId& service,
                                         std::map<std::uint64_t, VersionLimit> limits) {
  const auto found = version_limits_.find(service);
  if (found == version_limits_.end() ? limits.empty() : found->second == limits) {
    return;
  }
  if (limits.empty()) {
    version_limits_.erase(service);
  } else {
    version_limits_[service] = std::move(limits);
  }
  UpdateOpenUpstreams(service);
}

void FleetLoadBalancer::UpdateOpenUpstreams(const ServiceId& service) {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return;
  }
  for (Entry* const entry : found->second) {
    entry->is_open = true;
  }
  const auto limits = version_limits_.find(service);
  if (limits == version_limits_.end()) {
    return;
  }
  for (const auto& [version, limit] : limits->second) {
    std::vector<Entry*> entries;
    for (Entry* const entry : found->second) {
      if (entry->version == version) {
        entry->is_open = false;
        // An upstream that leaves must not take the place of another one.
        if (!entry->record.leaving) {
          entries.push_back(entry);
        }
      }
    }
    std::ranges::sort(entries, {}, [&version = version](const Entry* entry) {
      return OrderOf(entry->key, version);
    });
    for (std::size_t i = 0; i < entries.size(); ++i) {
      entries[i]->is_open = limit.upstreams < 0 || i < static_cast<std::size_t>(limit.upstreams);
    }
  }
}

const VersionLimit* FleetLoadBalancer::LimitOf(const Entry& entry) const {
  const auto limits = version_limits_.find(entry.record.service);
  if (limits == version_limits_.end()) {
    return nullptr;
  }
  const auto limit = limits->second.find(entry.version);
  return limit == limits->second.end() ? nullptr : &limit->second;
}

bool FleetLoadBalancer::IsExclusive(const ServiceId& service, TimePoint now) const {
  const auto limits = version_limits_.find(service);
  return limits != version_limits_.end() &&
         std::ranges::any_of(limits->second, [now](const auto& limit) {
           return limit.second.exclusive && now < limit.second.valid_until;
         });
}

bool FleetLoadBalancer::IsAllowed(const Entry& entry, VersionChoice choice, bool requires_version,
                                  TimePoint now) const {
  if (version_limits_.empty()) {
    return choice == VersionChoice::kUnlimited;
  }
  const VersionLimit* const limit = LimitOf(entry);
  if (limit != nullptr) {
    const bool is_usable = entry.is_open && now < limit->valid_until;
    return is_usable && (requires_version || limit->exclusive || choice == VersionChoice::kLimited);
  }
  // A stream goes on at the version that began it, whatever the others get.
  return requires_version ||
         (choice == VersionChoice::kUnlimited && !IsExclusive(entry.record.service, now));
}

bool FleetLoadBalancer::MayReceive(const UpstreamId& id, TimePoint now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return true;
  }
  const VersionLimit* const limit = LimitOf(found->second);
  return limit == nullptr || (limit->upstreams != 0 && now < limit->valid_until);
}

std::map<ServiceId, std::set<std::uint64_t>> FleetLoadBalancer::Versions() const {
  std::map<ServiceId, std::set<std::uint64_t>> versions;
  for (const auto& [service, entries] : by_service_) {
    if (entries.empty()) {
      continue;
    }
    std::set<std::uint64_t>& found = versions[service];
    std::uint64_t last = entries.front()->version + 1;
    for (const Entry* const entry : entries) {
      // Most upstreams have the version of their neighbour.
      if (entry->version != last) {
        last = entry->version;
        found.insert(last);
      }
    }
  }
  return versions;
}

std::pair<VersionUse, VersionUse> FleetLoadBalancer::UseOf(const ServiceId& service,
                                                           std::uint64_t version, TimePoint now) {
  ExpireReports(now);
  std::pair<VersionUse, VersionUse> uses;
  for (const Entry* const entry : by_service_[service]) {
    VersionUse& use = entry->version == version ? uses.first : uses.second;
    use.running += entry->own.running + entry->reported.running;
    if (!entry->record.leaving) {
      ++use.upstreams;
      use.slots += entry->record.slots;
    }
  }
  return uses;
}

}  // namespace savoryglade
