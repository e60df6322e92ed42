#include "rollout/rollout_ledger.h"

namespace savoryglade::rollout {
namespace {

void Add(const CountsByRoute& counts, CountsByRoute& sum) {
  for (const auto& [route, count] : counts) {
    sum[route].Add(count);
  }
}

void RaiseTo(const CountsByRoute& counts, CountsByRoute& highest) {
  for (const auto& [route, count] : counts) {
    highest[route].RaiseTo(count);
  }
}

}  // namespace

void RolloutLedger::OnReport(const ReportSource& source, std::uint64_t incarnation,
                             const CountsByRoute& counts) {
  const bool is_daemon = source.scope == ReportScope::kDaemon;
  // Counts never decrease, so a report that arrives late changes nothing.
  RaiseTo(counts, reported_[{.source = source, .incarnation = is_daemon ? incarnation : 0}]);
}

void RolloutLedger::DiscardReports(const ReportSource& source) {
  std::erase_if(reported_, [&](const auto& entry) { return entry.first.source == source; });
}

CountsByRoute RolloutLedger::CountsOf(ReportScope scope) const {
  CountsByRoute local = own_;
  if (scope == ReportScope::kDaemon) {
    return local;
  }
  CountsByRoute domains;
  CountsByRoute beyond;
  for (const auto& [key, counts] : reported_) {
    switch (key.source.scope) {
      case ReportScope::kDaemon:
        Add(counts, local);
        break;
      case ReportScope::kDomain:
        Add(counts, domains);
        break;
      case ReportScope::kBeyond:
        Add(counts, beyond);
        break;
    }
  }
  if (scope == ReportScope::kDomain) {
    return local;
  }
  // A daemon receives reports of single domains or of all other domains together, and switches
  // between them when its role changes.
  RaiseTo(domains, beyond);
  return beyond;
}

CountsByRoute RolloutLedger::Total() const {
  CountsByRoute total = CountsOf(ReportScope::kDomain);
  Add(CountsOf(ReportScope::kBeyond), total);
  return total;
}

}  // namespace savoryglade::rollout
