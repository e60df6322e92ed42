#include "capacity/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace savoryglade::capacity {
namespace {

void Add(const WindowCounts& counts, WindowCounts& sum) {
  for (const auto& [account, count] : counts) {
    sum[account] += count;
  }
}

void MergeMax(const WindowCounts& counts, WindowCounts& highest) {
  for (const auto& [account, count] : counts) {
    std::uint64_t& highest_count = highest[account];
    highest_count = std::max(highest_count, count);
  }
}

}  // namespace

void UsageLedger::OnRequestStarted(WindowNumber window, const AccountId& account) {
  ++own_[window][account];
}

void UsageLedger::OnNotRun(WindowNumber window, const AccountId& account) {
  std::uint64_t& count = own_[window][account];
  if (count > 0) {
    --count;
  }
}

void UsageLedger::OnReport(const ReportSource& source, std::uint64_t incarnation,
                           WindowNumber window, const WindowCounts& counts) {
  if (source.scope == ReportScope::kDaemon) {
    WindowCounts& source_counts = reported_[window][{.source = source, .incarnation = incarnation}];
    for (const auto& [account, count] : counts) {
      source_counts[account] = count;
    }
  } else {
    MergeMax(counts, reported_[window][{.source = source}]);
  }
}

void UsageLedger::DiscardReports(const ReportSource& source) {
  for (auto& [window, sources] : reported_) {
    std::erase_if(sources, [&](const auto& entry) { return entry.first.source == source; });
  }
}

WindowCounts UsageLedger::CountsOf(ReportScope scope, WindowNumber window) const {
  WindowCounts local_counts;
  if (const auto own = own_.find(window); own != own_.end()) {
    local_counts = own->second;
  }
  WindowCounts other_domain_counts;
  WindowCounts beyond_counts;
  if (const auto found = reported_.find(window);
      found != reported_.end() && scope != ReportScope::kDaemon) {
    for (const auto& [key, counts] : found->second) {
      switch (key.source.scope) {
        case ReportScope::kDaemon:
          Add(counts, local_counts);
          break;
        case ReportScope::kDomain:
          Add(counts, other_domain_counts);
          break;
        case ReportScope::kBeyond:
          Add(counts, beyond_counts);
          break;
      }
    }
  }
  if (scope != ReportScope::kBeyond) {
    return local_counts;
  }
  // A daemon receives reports of single domains or of all other domains together, and switches
  // between them when its role changes.
  MergeMax(other_domain_counts, beyond_counts);
  return beyond_counts;
}

WindowCounts UsageLedger::Total(WindowNumber window) const {
  WindowCounts total = CountsOf(ReportScope::kDomain, window);
  Add(CountsOf(ReportScope::kBeyond, window), total);
  return total;
}

void UsageLedger::Expire(WindowNumber current) {
  own_.erase(own_.begin(), own_.lower_bound(current - kRetainedWindows));
  reported_.erase(reported_.begin(), reported_.lower_bound(current - kRetainedWindows));
}

}  // namespace savoryglade::capacity
