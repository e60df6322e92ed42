#pragma once

#include <map>
#include <vector>

#include "core/report_source.h"
#include "core/time.h"
#include "gateway/fleet_report.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Builds this daemon's reports from the fleet state and applies the reports of others to it. Not
// thread-safe.
class ReportExchange {
 public:
  explicit ReportExchange(FleetState& fleet) : fleet_(fleet) {}

  // Builds a report on this daemon, its failure domain or all other domains. A report that is not
  // full omits the amount of work sent to each service, and the allowance usage and usage counts
  // that are unchanged since the last report of the scope.
  FleetReport BuildReport(ReportScope scope, bool full, TimePoint now);

  // Applies a report of another daemon. Ignores this daemon's own reports.
  void Apply(const FleetReport& report, TimePoint now);

  // Discards the load and allowance reports of a scope.
  void DropScope(ReportScope scope);
  // Discards the allowance reports of a daemon that has stopped. Its usage counts are kept.
  void RemoveDaemon(const DaemonId& daemon);
  // Discards a daemon's own reports, because reports on its failure domain now include it.
  void DropDaemonReports(const DaemonId& daemon);

 private:
  // Allowance usage and usage counts in the last report of a scope.
  struct LastReported {
    std::map<AccountId, AllowanceUsage> allowance_usage;
    std::map<capacity::WindowNumber, capacity::WindowCounts> begun;
  };

  void AddAllowanceUsage(bool full, TimePoint now, LastReported& last_reported,
                         FleetReport& report) const;
  void AddUsageCounts(bool full, TimePoint now, LastReported& last_reported,
                      FleetReport& report) const;

  // Merges a peer's records into one of the crash registries.
  void MergeCrashRecords(const std::vector<CrashRecord>& records, const DaemonId& sender,
                         CrashRegistry& registry, TimePoint now);

  FleetState& fleet_;
  std::map<ReportScope, LastReported> last_reported_;
};

}  // namespace savoryglade::gateway
