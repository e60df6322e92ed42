#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// One daemon of the fleet as it describes itself.
struct FleetDaemon {
  DaemonId id;
  FailureDomainId failure_domain;
  std::uint64_t memory_bytes = 0;

  friend auto operator<=>(const FleetDaemon&, const FleetDaemon&) = default;
};

struct FleetGroupOptions {
  // Largest fleet whose daemons all report to each other.
  int largest_mesh = 16;
  // Silence after which a daemon is passed over.
  Duration silence = 1s;
};

// Who reports to whom, so that no exchange grows with the square of the fleet. In a small fleet all
// daemons form one group. In a larger one the daemons of a failure domain do; the first of them
// that is alive represents the domain: it sends a report on all of them to the representatives of
// the other domains, and one on all other domains to its own group. Daemons with more memory come
// first, because they have the larger links. A fleet that was grouped once stays so, because a
// daemon that is heard both by itself and through its domain would count twice. Not safe to use
// from several threads.
class FleetGroups {
 public:
  FleetGroups(FleetDaemon self, FleetGroupOptions options);

  void SetReportTimeout(Duration silence) { options_.silence = silence; }

  // Takes a daemon that was found.
  void AddDaemon(const FleetDaemon& daemon);
  void Remove(const DaemonId& daemon);
  // Takes a report of a daemon on itself.
  void OnReport(const DaemonId& daemon, TimePoint now);
  // Takes a report of a daemon on its failure domain or on all others.
  void OnSummary(const DaemonId& daemon, TimePoint now);

  // Daemons of the fleet, with this one.
  int daemons() const { return static_cast<int>(daemons_.size()) + 1; }
  bool grouped() const { return grouped_; }
  bool InGroup(const DaemonId& daemon) const;
  // Daemons of this daemon's group, without it.
  std::vector<DaemonId> Group() const;

  // Daemons of the group that are alive and come before this one.
  int Rank(TimePoint now) const;
  bool IsRepresentative(TimePoint now) const { return grouped_ && Rank(now) == 0; }
  // Where a representative sends its report on its domain: those that send theirs here. Of a domain
  // that is silent, two daemons that take turns.
  std::vector<DaemonId> Representatives(TimePoint now);
  // Returns true if a summary of this daemon is to be used: no daemon before it in its failure
  // domain sends them.
  bool Represents(const DaemonId& daemon, TimePoint now) const;

 private:
  struct Known {
    FleetDaemon daemon;
    TimePoint reported{};
    TimePoint summarized{};
  };

  static bool Before(const FleetDaemon& a, const FleetDaemon& b);
  bool IsRecent(TimePoint heard, TimePoint now) const {
    return heard != TimePoint{} && now - heard <= options_.silence;
  }

  FleetDaemon self_;
  FleetGroupOptions options_;
  bool grouped_ = false;
  std::map<DaemonId, Known> daemons_;
  std::size_t turn_ = 0;
};

}  // namespace savoryglade
