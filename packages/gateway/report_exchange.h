#pragma once

#include <map>

#include "core/report_source.h"
#include "core/time.h"
#include "gateway/fleet_report.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Makes this daemon's reports from the fleet state, and brings those of others into it. Used by one
// thread.
class ReportExchange {
 public:
  explicit ReportExchange(FleetState& fleet) : fleet_(fleet) {}

  // Returns what this daemon knows of itself, its failure domain or all others. Reports that are
  // not whole leave out the work, and what is as in the last report of the scope.
  FleetReport BuildReport(ReportScope scope, bool full, TimePoint now);

  // Takes a report of another daemon. This daemon's own reports change nothing.
  void Apply(const FleetReport& report, TimePoint now);

  // Drops all reports of a scope.
  void DropScope(ReportScope scope);
  // Takes that a daemon has ended. What was counted there stays.
  void RemoveDaemon(const DaemonId& daemon);
  // Drops what a daemon reported of itself, because others speak for it from now on.
  void DropDaemonReports(const DaemonId& daemon);

 private:
  // What was last reported of a scope.
  struct Sent {
    std::map<AccountId, AllowanceUsage> use;
    std::map<capacity::WindowNumber, capacity::WindowCounts> begun;
  };

  void AddAllowanceUse(bool full, TimePoint now, Sent& sent, FleetReport& report) const;
  void AddUsageCounts(bool full, TimePoint now, Sent& sent, FleetReport& report) const;

  FleetState& fleet_;
  std::map<ReportScope, Sent> sent_;
};

}  // namespace savoryglade::gateway
