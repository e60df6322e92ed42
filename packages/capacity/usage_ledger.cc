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

void TakeHighest(const WindowCounts& counts, WindowCounts& highest) {
  for (const auto& [account, count] : counts) {
    std::uint64_t& held = highest[account];
    held = std::max(held, count);
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
    WindowCounts& known = reported_[window][{.source = source, .incarnation = incarnation}];
    for (const auto& [account, count] : counts) {
      known[account] = count;
    }
  } else {
    TakeHighest(counts, reported_[window][{.source = source}]);
  }
}

void UsageLedger::Forget(const ReportSource& source) {
  for (auto& [window, sources] : reported_) {
    std::erase_if(sources, [&](const auto& entry) { return entry.first.source == source; });
  }
}

WindowCounts UsageLedger::CountsOf(ReportScope scope, WindowNumber window) const {
  WindowCounts near;
  if (const auto own = own_.find(window); own != own_.end()) {
    near = own->second;
  }
  WindowCounts domains;
  WindowCounts beyond;
  if (const auto found = reported_.find(window);
      found != reported_.end() && scope != ReportScope::kDaemon) {
    for (const auto& [key, counts] : found->second) {
      switch (key.source.scope) {
        case ReportScope::kDaemon:
          Add(counts, near);
          break;
        case ReportScope::kDomain:
          Add(counts, domains);
          break;
        case ReportScope::kBeyond:
          Add(counts, beyond);
          break;
      }
    }
  }
  if (scope != ReportScope::kBeyond) {
    return near;
  }
  // A daemon hears the domains one by one or all together, and in turn when its role changes.
  TakeHighest(domains, beyond);
  return beyond;
}

WindowCounts UsageLedger::Total(WindowNumber window) const {
  WindowCounts total = CountsOf(ReportScope::kDomain, window);
  Add(CountsOf(ReportScope::kBeyond, window), total);
  return total;
}

void UsageLedger::Expire(WindowNumber current) {
  own_.erase(own_.begin(), own_.lower_bound(current - kKept));
  reported_.erase(reported_.begin(), reported_.lower_bound(current - kKept));
}

}  // namespace savoryglade::capacity
