#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "core/report_source.h"
#include "core/strong_id.h"

namespace savoryglade::capacity {

// Number of a reporting window; window k begins k times its length after the start of 1970.
using WindowNumber = std::int64_t;

// Requests of each account that upstreams began to run in a window.
using WindowCounts = std::map<AccountId, std::uint64_t>;

// Requests begun through each daemon, by window. A daemon's counts survive it at its peers. Reports
// of several daemons together are made by any of them, so the highest count of each account holds.
// Not safe to use from several threads.
class UsageLedger {
 public:
  // Windows that are kept.
  static constexpr WindowNumber kKept = 8;

  void OnRequestStarted(WindowNumber window, const AccountId& account);
  // Takes back a request that its upstream then stated not to have run.
  void OnNotRun(WindowNumber window, const AccountId& account);

  // Takes the counts of one window of a source; those of a daemon count since its start. Accounts
  // that are left out have not changed.
  void OnReport(const ReportSource& source, std::uint64_t incarnation, WindowNumber window,
                const WindowCounts& counts);
  // Drops the reports of a source that others speak for now.
  void Forget(const ReportSource& source);

  // Sum over all daemons and their incarnations.
  WindowCounts Total(WindowNumber window) const;
  // Sum over the daemons for which a report of this scope speaks: this daemon, it and the daemons
  // that report to it, or all others.
  WindowCounts CountsOf(ReportScope scope, WindowNumber window) const;

  // Forgets windows that are too old to be reported.
  void Expire(WindowNumber current);

 private:
  struct SourceKey {
    ReportSource source;
    // Zero for reports of several daemons.
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const SourceKey&, const SourceKey&) = default;
  };

  std::map<WindowNumber, WindowCounts> own_;
  std::map<WindowNumber, std::map<SourceKey, WindowCounts>> reported_;
};

}  // namespace savoryglade::capacity
