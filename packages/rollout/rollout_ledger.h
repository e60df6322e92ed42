#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "core/report_source.h"
#include "rollout/rollout_types.h"

namespace savoryglade::rollout {

// Counts of one roll-out by daemon and incarnation. Peers keep the counts of a daemon that has
// stopped. Sums may come from any daemon of a group, so the highest one of each count is used. Not
// thread-safe.
class RolloutLedger {
 public:
  // Counts of this daemon since the order.
  RouteCounts& Own(std::uint64_t route) { return own_[route]; }
  void OnReport(const ReportSource& source, std::uint64_t incarnation, const CountsByRoute& counts);
  // Discards the reports of a source that other sources now cover.
  void DiscardReports(const ReportSource& source);
  // Returns the sum over the daemons that a report of this scope covers.
  CountsByRoute CountsOf(ReportScope scope) const;
  // Returns the sum over all daemons and their incarnations.
  CountsByRoute Total() const;

 private:
  struct SourceKey {
    ReportSource source;
    // Zero for reports that cover several daemons.
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const SourceKey&, const SourceKey&) = default;
  };

  CountsByRoute own_;
  std::map<SourceKey, CountsByRoute> reported_;
};

}  // namespace savoryglade::rollout
