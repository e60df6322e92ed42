#include "scheduling/fleet_usage.h"

#include <algorithm>
#include <utility>

namespace savoryglade {
namespace {

// Three times the intervals at which summaries are sent (500 ms and 2 s), so that one lost or late
// summary has no effect.
constexpr Duration kDaemonSummaryTtl = 1500ms;
constexpr Duration kDomainSummaryTtl = 6s;
// Twice the time that the failure detector and the summaries need to converge after a daemon is
// lost.
constexpr Duration kReportingCountRetention = 12s;

}  // namespace

void FleetUsage::UpdateLiveDaemonCount(std::size_t live_daemons) {
  if (live_daemons > 1) {
    view_size_ = live_daemons;
    recent_reporting_daemons_ = reporting_daemons_;
  }
}

std::vector<FleetUsage::Served> FleetUsage::Merge(const DaemonId& from, const UsageSummary& summary,
                                                  TimePoint now) {
  Prune(now);
  const std::pair<UsageScope, DaemonId> source_key(summary.scope, from);
  SummarySource& source = sources_[source_key];
  const bool is_new = source.incarnation != summary.incarnation;
  if (summary.incarnation < source.incarnation ||
      (!is_new && summary.sequence <= source.sequence)) {
    return {};
  }
  if (summary.scope == UsageScope::kDomain) {
    std::erase_if(sources_, [&](const auto& entry) {
      return entry.first.first == UsageScope::kDomain && entry.first != source_key &&
             entry.second.domain == summary.domain;
    });
  }
  if (is_new) {
    source = SummarySource{
        .scope = summary.scope, .incarnation = summary.incarnation, .domain = summary.domain};
  }
  std::vector<Served> served;
  for (const AccountUsage& usage : summary.accounts) {
    const auto [last_usage, inserted] = source.accounts.try_emplace(usage.key);
    // An account that is missing from a complete summary had no served cost until then.
    if (!inserted || source.has_complete) {
      const std::uint32_t difference = usage.served_ms - last_usage->second.served_ms;
      // Correcting a charge to a lower actual cost may lower the sum; the difference is then
      // negative.
      const double cost = static_cast<double>(static_cast<std::int32_t>(difference)) / 1000.0;
      if (cost != 0) {
        served.push_back({.key = usage.key, .cost = cost});
      }
    }
    last_usage->second = usage;
  }
  source.sequence = summary.sequence;
  source.daemons = summary.daemons;
  source.has_complete = source.has_complete || summary.complete;
  source.received_at = now;
  Recount(now);
  return served;
}

bool FleetUsage::Prune(TimePoint now) {
  if (now < next_expiry_) {
    return false;
  }
  std::erase_if(sources_, [now](const auto& entry) { return ExpiresAt(entry.second) <= now; });
  Recount(now);
  return true;
}

FleetUsage::Demand FleetUsage::RemoteDemand(std::uint32_t key) const {
  const auto found = demand_.find(key);
  return found == demand_.end() ? Demand{} : found->second;
}

double FleetUsage::ReportingFraction() const {
  return std::min(1.0, static_cast<double>(reporting_daemons_) / static_cast<double>(FleetSize()));
}

std::size_t FleetUsage::DomainPeers() const {
  return static_cast<std::size_t>(
      std::count_if(sources_.begin(), sources_.end(),
                    [](const auto& entry) { return entry.first.first == UsageScope::kDaemon; }));
}

TimePoint FleetUsage::ExpiresAt(const SummarySource& source) {
  return source.received_at +
         (source.scope == UsageScope::kDaemon ? kDaemonSummaryTtl : kDomainSummaryTtl);
}

void FleetUsage::Recount(TimePoint now) {
  demand_.clear();
  domain_demand_.clear();
  reporting_daemons_ = 1;
  next_expiry_ = TimePoint::max();
  for (const auto& [source_key, source] : sources_) {
    reporting_daemons_ += source.daemons;
    next_expiry_ = std::min(next_expiry_, ExpiresAt(source));
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
  // A daemon that receives no summaries keeps the number, because it is more likely to be
  // partitioned than to be the last live daemon.
  if (reporting_daemons_ >= recent_reporting_daemons_ ||
      (reporting_daemons_ > 1 && now >= recent_reporting_at_ + kReportingCountRetention)) {
    recent_reporting_daemons_ = reporting_daemons_;
    recent_reporting_at_ = now;
  }
}

}  // namespace savoryglade
