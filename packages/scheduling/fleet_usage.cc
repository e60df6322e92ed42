#include "scheduling/fleet_usage.h"

#include <algorithm>
#include <utility>

namespace savoryglade {
namespace {

// Three of the intervals at which summaries are sent (500 ms and 2 s), so that one lost or late
// summary changes nothing.
constexpr Duration kDaemonSummaryLife = 1500ms;
constexpr Duration kDomainSummaryLife = 6s;
// Twice the time in which the failure detector and the summaries settle after a loss.
constexpr Duration kForgetKnownAfter = 12s;

}  // namespace

void FleetUsage::OnView(std::size_t live_daemons) {
  if (live_daemons > 1) {
    view_size_ = live_daemons;
    known_before_ = known_daemons_;
  }
}

std::vector<FleetUsage::Served> FleetUsage::Merge(const DaemonId& from, const UsageSummary& summary,
                                                  TimePoint now) {
  Prune(now);
  const std::pair<UsageScope, DaemonId> name(summary.scope, from);
  Source& source = sources_[name];
  const bool is_new = source.incarnation != summary.incarnation;
  if (summary.incarnation < source.incarnation ||
      (!is_new && summary.sequence <= source.sequence)) {
    return {};
  }
  if (summary.scope == UsageScope::kDomain) {
    std::erase_if(sources_, [&](const auto& entry) {
      return entry.first.first == UsageScope::kDomain && entry.first != name &&
             entry.second.domain == summary.domain;
    });
  }
  if (is_new) {
    source = Source{
        .scope = summary.scope, .incarnation = summary.incarnation, .domain = summary.domain};
  }
  std::vector<Served> served;
  for (const AccountUsage& usage : summary.accounts) {
    const auto [known, inserted] = source.accounts.try_emplace(usage.key);
    // An account that is missing from a complete summary had served nothing until then.
    if (!inserted || source.has_complete) {
      const std::uint32_t difference = usage.served_ms - known->second.served_ms;
      // A correction to a lower actual cost may lower the sum; the difference is then negative.
      const double cost = static_cast<double>(static_cast<std::int32_t>(difference)) / 1000.0;
      if (cost != 0) {
        served.push_back({.key = usage.key, .cost = cost});
      }
    }
    known->second = usage;
  }
  source.sequence = summary.sequence;
  source.daemons = summary.daemons;
  source.has_complete = source.has_complete || summary.complete;
  source.received = now;
  Recount(now);
  return served;
}

bool FleetUsage::Prune(TimePoint now) {
  if (now < next_stale_) {
    return false;
  }
  std::erase_if(sources_, [now](const auto& entry) { return StaleAt(entry.second) <= now; });
  Recount(now);
  return true;
}

FleetUsage::Demand FleetUsage::RemoteDemand(std::uint32_t key) const {
  const auto found = demand_.find(key);
  return found == demand_.end() ? Demand{} : found->second;
}

double FleetUsage::KnownFraction() const {
  return std::min(1.0, static_cast<double>(known_daemons_) / static_cast<double>(FleetSize()));
}

std::size_t FleetUsage::DomainPeers() const {
  return static_cast<std::size_t>(
      std::count_if(sources_.begin(), sources_.end(),
                    [](const auto& entry) { return entry.first.first == UsageScope::kDaemon; }));
}

TimePoint FleetUsage::StaleAt(const Source& source) {
  return source.received +
         (source.scope == UsageScope::kDaemon ? kDaemonSummaryLife : kDomainSummaryLife);
}

void FleetUsage::Recount(TimePoint now) {
  demand_.clear();
  domain_demand_.clear();
  known_daemons_ = 1;
  next_stale_ = TimePoint::max();
  for (const auto& [name, source] : sources_) {
    known_daemons_ += source.daemons;
    next_stale_ = std::min(next_stale_, StaleAt(source));
    for (const auto& [key, usage] : source.accounts) {
      Demand& demand = demand_[key];
      demand.waiting += usage.waiting;
      demand.running += usage.running;
      if (source.scope == UsageScope::kDaemon) {
        Demand& domain = domain_demand_[key];
        domain.waiting += usage.waiting;
        domain.running += usage.running;
      }
    }
  }
  // A daemon that hears nobody keeps the number, because it is more likely to be cut off than to be
  // the last one.
  if (known_daemons_ >= known_before_ ||
      (known_daemons_ > 1 && now >= known_before_at_ + kForgetKnownAfter)) {
    known_before_ = known_daemons_;
    known_before_at_ = now;
  }
}

}  // namespace savoryglade
