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

// What the other daemons last said of their usage. Summaries that are not renewed age out. Not safe
// to use from several threads.
class FleetUsage {
 public:
  // Cost that another daemon served for an account since its last summary, in seconds of one slot.
  struct Served {
    std::uint32_t key = 0;
    double cost = 0;
  };

  // Requests of one account and service at the other daemons.
  struct Demand {
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
  };

  // Takes the number of live daemons, this one included. A view of one daemon doesn't replace a
  // larger one, because a daemon that is cut off sees itself alone.
  void OnView(std::size_t live_daemons);

  // Takes a summary and returns what was served since the last one of the same sender. Summaries
  // that are older than the last one of their sender are ignored. A failure domain's total replaces
  // that of the domain's former sender. The first summary of a sender,
  // also after it aged out, only sets the starting point: charging what was served during a
  // partition would make its accounts wait for as long as the partition lasted.
  std::vector<Served> Merge(const DaemonId& from, const UsageSummary& summary, TimePoint now);

  // Drops the summaries that have aged out. Returns true if any was dropped.
  bool Prune(TimePoint now);

  // Returns the demand at other daemons as of the last Merge or Prune.
  Demand RemoteDemand(std::uint32_t key) const;

  // Returns the part of the fleet's daemons, in (0, 1], that this daemon knows the demand of,
  // itself included.
  double KnownFraction() const;

  // Returns the number of daemons whose demand is known, this one included.
  std::size_t KnownDaemons() const { return known_daemons_; }

  // Returns the number of daemons in the last view with more than one live daemon, or the number
  // that was known from summaries if that is higher: a view may cover one failure domain only.
  std::size_t FleetSize() const { return std::max(view_size_, known_before_); }

  // Returns the demand of the daemons of this failure domain alone, for the domain's total.
  const std::unordered_map<std::uint32_t, Demand>& DomainDemand() const { return domain_demand_; }

  // Returns the number of fresh summaries with scope kDaemon.
  std::size_t DomainPeers() const;

 private:
  struct Source {
    UsageScope scope = UsageScope::kDaemon;
    std::uint64_t incarnation = 0;
    std::uint32_t sequence = 0;
    std::uint16_t daemons = 1;
    FailureDomainId domain;
    bool has_complete = false;
    TimePoint received;
    std::unordered_map<std::uint32_t, AccountUsage> accounts;
  };

  static TimePoint StaleAt(const Source& source);
  void Recount(TimePoint now);

  std::size_t view_size_ = 1;
  // Highest recent value of known_daemons_, and when it was last reached.
  std::size_t known_before_ = 1;
  TimePoint known_before_at_;
  std::size_t known_daemons_ = 1;
  TimePoint next_stale_ = TimePoint::max();
  std::map<std::pair<UsageScope, DaemonId>, Source> sources_;
  std::unordered_map<std::uint32_t, Demand> demand_;
  std::unordered_map<std::uint32_t, Demand> domain_demand_;
};

}  // namespace savoryglade
