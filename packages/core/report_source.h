#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/strong_id.h"

namespace savoryglade {

// Daemons for which a report on load and use speaks.
enum class ReportScope : std::uint8_t {
  kDaemon,
  // All daemons of one failure domain.
  kDomain,
  // All daemons outside of the reader's own failure domain.
  kBeyond,
};

// Scope of the reports that are summed for a report of this scope, besides what the daemon did
// itself.
constexpr ReportScope ComponentScope(ReportScope scope) {
  return scope == ReportScope::kDomain ? ReportScope::kDaemon : ReportScope::kDomain;
}

// Origin of reports. A later report of the same source goes on from the earlier one.
struct ReportSource {
  ReportScope scope = ReportScope::kDaemon;
  // Name of the daemon or of the failure domain; empty for all beyond.
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
