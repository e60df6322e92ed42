#include "membership/fleet_groups.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace savoryglade {
namespace {

// Daemons to which a summary is sent in a failure domain that sends none.
constexpr std::size_t kCandidatesPerDomain = 2;

}  // namespace

FleetGroups::FleetGroups(FleetDaemon self, FleetGroupOptions options)
    : self_(std::move(self)), options_(options) {}

bool FleetGroups::Precedes(const FleetDaemon& a, const FleetDaemon& b) {
  return a.memory_bytes != b.memory_bytes ? a.memory_bytes > b.memory_bytes : a.id < b.id;
}

void FleetGroups::AddDaemon(const FleetDaemon& daemon) {
  if (daemon.id == self_.id) {
    return;
  }
  daemons_[daemon.id].daemon = daemon;
  grouped_ = grouped_ || daemons() > options_.max_full_mesh_daemons;
}

void FleetGroups::Remove(const DaemonId& daemon) { daemons_.erase(daemon); }

void FleetGroups::OnReport(const DaemonId& daemon, TimePoint now) {
  const auto found = daemons_.find(daemon);
  if (found != daemons_.end()) {
    found->second.last_report = now;
  }
}

void FleetGroups::OnSummary(const DaemonId& daemon, TimePoint now) {
  // Other daemons already use groups, even if this one knows too few daemons to do so.
  grouped_ = true;
  const auto found = daemons_.find(daemon);
  if (found != daemons_.end()) {
    found->second.last_summary = now;
  }
}

bool FleetGroups::InGroup(const DaemonId& daemon) const {
  const auto found = daemons_.find(daemon);
  return found != daemons_.end() &&
         (!grouped_ || found->second.daemon.failure_domain == self_.failure_domain);
}

std::optional<FailureDomainId> FleetGroups::DomainOf(const DaemonId& daemon) const {
  const auto found = daemons_.find(daemon);
  return found == daemons_.end() ? std::nullopt
                                 : std::optional(found->second.daemon.failure_domain);
}

std::vector<DaemonId> FleetGroups::Group() const {
  std::vector<DaemonId> group;
  for (const auto& [id, known] : daemons_) {
    if (InGroup(id)) {
      group.push_back(id);
    }
  }
  return group;
}

std::vector<DaemonId> FleetGroups::LiveGroup(TimePoint now) const {
  std::vector<DaemonId> live;
  for (const auto& [id, known] : daemons_) {
    if (InGroup(id) && IsRecent(known.last_report, now)) {
      live.push_back(id);
    }
  }
  return live;
}

std::set<FailureDomainId> FleetGroups::Domains() const {
  std::set<FailureDomainId> domains = {self_.failure_domain};
  for (const auto& [id, known] : daemons_) {
    domains.insert(known.daemon.failure_domain);
  }
  return domains;
}

int FleetGroups::Rank(TimePoint now) const {
  int rank = 0;
  for (const auto& [id, known] : daemons_) {
    if (InGroup(id) && IsRecent(known.last_report, now) && Precedes(known.daemon, self_)) {
      ++rank;
    }
  }
  return rank;
}

std::vector<DaemonId> FleetGroups::Representatives(TimePoint now) {
  std::map<FailureDomainId, std::vector<const KnownDaemon*>> domains;
  for (const auto& [id, known] : daemons_) {
    if (known.daemon.failure_domain != self_.failure_domain) {
      domains[known.daemon.failure_domain].push_back(&known);
    }
  }
  std::vector<DaemonId> representatives;
  for (auto& [domain, members] : domains) {
    const std::size_t before = representatives.size();
    for (const KnownDaemon* member : members) {
      if (IsRecent(member->last_summary, now)) {
        representatives.push_back(member->daemon.id);
      }
    }
    if (representatives.size() > before) {
      continue;
    }
    std::ranges::sort(members, [](const KnownDaemon* a, const KnownDaemon* b) {
      return Precedes(a->daemon, b->daemon);
    });
    for (std::size_t i = 0; i < std::min(kCandidatesPerDomain, members.size()); ++i) {
      representatives.push_back(members[(next_candidate_ + i) % members.size()]->daemon.id);
    }
  }
  ++next_candidate_;
  return representatives;
}

bool FleetGroups::Represents(const DaemonId& daemon, TimePoint now) const {
  const auto found = daemons_.find(daemon);
  if (found == daemons_.end()) {
    return false;
  }
  return std::ranges::none_of(daemons_, [&](const auto& entry) {
    const KnownDaemon& other = entry.second;
    return other.daemon.failure_domain == found->second.daemon.failure_domain &&
           IsRecent(other.last_summary, now) && Precedes(other.daemon, found->second.daemon);
  });
}

}  // namespace savoryglade
