#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "scheduling/usage_summary.h"

namespace savoryglade {

// Usage of the other daemons from their latest summaries. Summaries that are not renewed expire.
// Not thread-safe.
class FleetUsage {
 public:
  // Cost that another daemon served for an account since its previous summary, in seconds of one
  // slot.
  struct Served {
    std::uint32_t key = 0;
    double cost = 0;
  };

  // Requests of one account and service at the other daemons.
  struct Demand {
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
  };

  // Updates the number of live daemons, including this one. A count of one does not replace a
  // higher count, because a partitioned daemon sees only itself.
  void UpdateLiveDaemonCount(std::size_t live_daemons);

  // Merges a summary and returns the cost served since the previous summary of the same sender.
  // Ignores summaries older than the last one of their sender. The total of a failure domain
  // replaces the total of the domain's previous sender. The first summary of a sender, also after
  // its last one expired, only sets the baseline: charging the cost served during a partition would
  // make its accounts wait for as long as the partition lasted.
  std::vector<Served> Merge(const DaemonId& from, const UsageSummary& summary, TimePoint now);

  // Removes expired summaries. Returns true if any was removed.
  bool Prune(TimePoint now);

  // Returns the demand at other daemons as of the last Merge or Prune.
  Demand RemoteDemand(std::uint32_t key) const;

  // Returns the fraction of the fleet's daemons, in (0, 1], whose demand is known here, including
  // this daemon.
  double ReportingFraction() const;

  // Returns the number of daemons whose demand is known here, including this one.
  std::size_t ReportingDaemons() const { return reporting_daemons_; }

  // Returns the number of daemons in the last view with more than one live daemon, or the recent
  // number of reporting daemons if that is higher: a view may cover one failure domain only.
  std::size_t FleetSize() const { return std::max(view_size_, recent_reporting_daemons_); }

  // Returns the demand at the other daemons of this failure domain, for the domain's summary.
  const std::unordered_map<std::uint32_t, Demand>& DomainDemand() const { return domain_demand_; }

  // Returns the number of current summaries with scope kDaemon.
  std::size_t DomainPeers() const;

 private:
  struct SummarySource {
    UsageScope scope = UsageScope::kDaemon;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint16_t daemons = 1;
    FailureDomainId domain;
    bool has_complete = false;
    TimePoint received_at;
    std::unordered_map<std::uint32_t, AccountUsage> accounts;
  };

  static TimePoint ExpiresAt(const SummarySource& source);
  void Recount(TimePoint now);

  std::size_t view_size_ = 1;
  // Highest recent value of reporting_daemons_, and when it was last reached.
  std::size_t recent_reporting_daemons_ = 1;
  TimePoint recent_reporting_at_;
  std::size_t reporting_daemons_ = 1;
  TimePoint next_expiry_ = TimePoint::max();
  std::map<std::pair<UsageScope, DaemonId>, SummarySource> sources_;
  std::unordered_map<std::uint32_t, Demand> demand_;
  std::unordered_map<std::uint32_t, Demand> domain_demand_;
};

}  // namespace savoryglade
