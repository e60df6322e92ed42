#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Daemon of the fleet, as it reports itself.
struct FleetDaemon {
  DaemonId id;
  FailureDomainId failure_domain;
  std::uint64_t memory_bytes = 0;

  friend auto operator<=>(const FleetDaemon&, const FleetDaemon&) = default;
};

struct FleetGroupOptions {
  // Largest number of daemons that form a full mesh, in which every daemon reports to every other.
  int max_full_mesh_daemons = 16;
  // A daemon whose last report is older counts as unavailable.
  Duration report_timeout = 1s;
};

// Report topology of the fleet, which keeps the number of reports from growing with the square of
// the fleet size. A small fleet is one group. In a larger one, each failure domain is a group, and
// its first live daemon is its representative: it sends a summary of its domain to the
// representatives of the other domains, and a summary of all other domains to its own group.
// Daemons with more memory come first because they have more network bandwidth. A fleet that has
// been grouped stays grouped, because a daemon that is reported both directly and through its
// domain would be counted twice. Not thread-safe.
class FleetGroups {
 public:
  FleetGroups(FleetDaemon self, FleetGroupOptions options);

  void SetReportTimeout(Duration report_timeout) { options_.report_timeout = report_timeout; }

  // Adds a discovered daemon or updates it.
  void AddDaemon(const FleetDaemon& daemon);
  void Remove(const DaemonId& daemon);
  // Records a daemon's report on itself.
  void OnReport(const DaemonId& daemon, TimePoint now);
  // Records a daemon's summary of its failure domain or of all other domains.
  void OnSummary(const DaemonId& daemon, TimePoint now);

  // Returns the number of daemons in the fleet, including this one.
  int daemons() const { return static_cast<int>(daemons_.size()) + 1; }
  bool grouped() const { return grouped_; }
  bool InGroup(const DaemonId& daemon) const;
  // Returns the failure domain of a daemon, or nothing if the daemon is unknown.
  std::optional<FailureDomainId> DomainOf(const DaemonId& daemon) const;
  // Returns the other daemons of this daemon's group.
  std::vector<DaemonId> Group() const;

  // Returns the daemons of this daemon's group that have reported recently, without this one.
  std::vector<DaemonId> LiveGroup(TimePoint now) const;
  // Returns the failure domains with known daemons, including this daemon's.
  std::set<FailureDomainId> Domains() const;

  // Returns the number of live daemons of the group that precede this one.
  int Rank(TimePoint now) const;
  bool IsRepresentative(TimePoint now) const { return grouped_ && Rank(now) == 0; }
  // Returns the daemons to which a representative sends the summary of its domain: those whose
  // summaries have been received recently. For a domain without any, returns two daemons, which
  // rotate with each call.
  std::vector<DaemonId> Representatives(TimePoint now);
  // Returns true if summaries from this daemon are used, that is if no daemon that precedes it in
  // its failure domain has sent one recently.
  bool Represents(const DaemonId& daemon, TimePoint now) const;

 private:
  struct KnownDaemon {
    FleetDaemon daemon;
    TimePoint last_report{};
    TimePoint last_summary{};
  };

  static bool Precedes(const FleetDaemon& a, const FleetDaemon& b);
  bool IsRecent(TimePoint received_at, TimePoint now) const {
    return received_at != TimePoint{} && now - received_at <= options_.report_timeout;
  }

  FleetDaemon self_;
  FleetGroupOptions options_;
  bool grouped_ = false;
  std::map<DaemonId, KnownDaemon> daemons_;
  std::size_t next_candidate_ = 0;
};

}  // namespace savoryglade
