#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "core/report_source.h"
#include "core/strong_id.h"

namespace savoryglade::capacity {

// Number of a reporting window; window k starts k times the window length after the start of 1970.
using WindowNumber = std::int64_t;

// Number of requests of each account that upstreams started to run in a window.
using WindowCounts = std::map<AccountId, std::uint64_t>;

// Counts the requests started through each daemon, by window. Peers keep the counts of a daemon
// that stopped. Any daemon of a group may report the group's total, so the highest count of each
// account is used. Not thread-safe.
class UsageLedger {
 public:
  // Number of past windows that are kept.
  static constexpr WindowNumber kRetainedWindows = 8;

  void OnRequestStarted(WindowNumber window, const AccountId& account);
  // Subtracts a request that its upstream then reported as not run.
  void OnNotRun(WindowNumber window, const AccountId& account);

  // Records the counts of one window of a source; those of a daemon count since its start. Accounts
  // that have not changed are left out.
  void OnReport(const ReportSource& source, std::uint64_t incarnation, WindowNumber window,
                const WindowCounts& counts);
  // Discards the reports of a source that other sources now cover.
  void DiscardReports(const ReportSource& source);

  // Returns the sum over all daemons and their incarnations.
  WindowCounts Total(WindowNumber window) const;
  // Returns the sum over the daemons that a report of this scope covers: this daemon, this daemon
  // and those that report to it, or all others.
  WindowCounts CountsOf(ReportScope scope, WindowNumber window) const;

  // Removes windows that are too old to be reported.
  void Expire(WindowNumber current);

 private:
  struct SourceKey {
    ReportSource source;
    // Zero for reports that cover several daemons.
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const SourceKey&, const SourceKey&) = default;
  };

  std::map<WindowNumber, WindowCounts> own_;
  std::map<WindowNumber, std::map<SourceKey, WindowCounts>> reported_;
};

}  // namespace savoryglade::capacity
