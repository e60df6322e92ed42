#include "config/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "core/prefix_hash.h"

namespace savoryglade {
namespace {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string result(host);
  std::ranges::transform(result, result.begin(), [](unsigned char c) { return std::tolower(c); });
  return result;
}

}  // namespace

void RouteTable::HostRoutes::Add(const Route& route) {
  if (lengths.size() <= route.prefix.size()) {
    lengths.resize(route.prefix.size() + 1);
  }
  lengths[route.prefix.size()] = true;
  const std::uint64_t hash = Fnv1aHash(route.prefix);
  const auto [begin, end] = by_prefix.equal_range(hash);
  // The first of several routes with the same prefix holds.
  if (std::none_of(begin, end,
                   [&](const auto& entry) { return entry.second->prefix == route.prefix; })) {
    by_prefix.emplace(hash, &route);
  }
}

const Route* RouteTable::HostRoutes::Match(std::string_view path) const {
  const Route* longest = nullptr;
  std::uint64_t hash = Fnv1aHash({});
  std::size_t hashed = 0;
  for (std::size_t length = 0; length < lengths.size() && length <= path.size(); ++length) {
    if (!lengths[length]) {
      continue;
    }
    hash = Fnv1aHash(path.substr(hashed, length - hashed), hash);
    hashed = length;
    const auto [begin, end] = by_prefix.equal_range(hash);
    for (auto entry = begin; entry != end; ++entry) {
      if (path.substr(0, length) == entry->second->prefix) {
        longest = entry->second;
      }
    }
  }
  return longest;
}

RouteTable::RouteTable(RouteDocument document) : document_(std::move(document)) {
  for (const Route& route : document_.routes) {
    by_host_[NormalizeHost(route.host)].Add(route);
  }
  for (const AccountPolicy& account : document_.accounts) {
    for (const std::string& key : account.keys) {
      by_key_.emplace(key, &account);
    }
  }
}

const Route* RouteTable::Match(std::string_view host, std::string_view target) const {
  const auto found = by_host_.find(NormalizeHost(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  return found->second.Match(target.substr(0, target.find('?')));
}

const AccountPolicy* RouteTable::FindByKey(std::string_view key) const {
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : found->second;
}

const RoutedService* RouteTable::FindService(const ServiceId& name) const {
  const auto found = std::ranges::find(document_.services, name, &RoutedService::name);
  return found == document_.services.end() ? nullptr : &*found;
}

const ServiceId& RouteTable::ChooseService(const Route& route, std::uint64_t seed) {
  std::int64_t total = 0;
  for (const WeightedService& entry : route.services) {
    total += std::max<std::int64_t>(entry.weight, 0);
  }
  if (total == 0) {
    return route.services.front().service;
  }
  auto left = static_cast<std::int64_t>(seed % static_cast<std::uint64_t>(total));
  for (const WeightedService& entry : route.services) {
    left -= std::max<std::int64_t>(entry.weight, 0);
    if (left < 0) {
      return entry.service;
    }
  }
  return route.services.back().service;
}

}  // namespace savoryglade
