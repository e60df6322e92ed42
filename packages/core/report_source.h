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

// Returns the scope of the reports that are summed into a report of this scope: daemon reports into
// a domain report, together with the sender's own load and usage, and domain reports into a report
// on all other domains.
constexpr ReportScope ComponentScope(ReportScope scope) {
  return scope == ReportScope::kDomain ? ReportScope::kDaemon : ReportScope::kDomain;
}

// Daemons that a load and usage report covers. A later report of the same source continues the
// counts of the earlier one.
struct ReportSource {
  ReportScope scope = ReportScope::kDaemon;
  // For scope kDaemon the name of the daemon, for kDomain the name of the failure domain. Empty for
  // kBeyond, i.e. all daemons outside of the receiver's failure domain.
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
