#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/strong_id.h"

namespace savoryglade {

// Set of daemons that a load and usage report covers.
enum class ReportScope : std::uint8_t {
  kDaemon,
  // All daemons of one failure domain.
  kDomain,
  // All daemons outside of the receiver's failure domain.
  kBeyond,
};

// Returns the scope of the reports that are summed into a report of this scope, in addition to the
// daemon's own load and usage.
constexpr ReportScope ComponentScope(ReportScope scope) {
  return scope == ReportScope::kDomain ? ReportScope::kDaemon : ReportScope::kDomain;
}

// Origin of a report. A later report of the same source continues the counts of the earlier one.
struct ReportSource {
  ReportScope scope = ReportScope::kDaemon;
  // Name of the daemon or of the failure domain; empty for kBeyond.
  std::string name;

  static ReportSource Daemon(const DaemonId& daemon) {
    return {.scope = ReportScope::kDaemon, .name = daemon.value()};
  }
  static ReportSource Domain(const FailureDomainId& domain) {
    return {.scope = ReportScope::kDomain, .name = domain.value()};
  }
  static ReportSource Beyond() { return {.scope = ReportScope::kBeyond}; }

  friend auto operator<=>(const ReportSource&, const ReportSource&) = default;
};

}  // namespace savoryglade
