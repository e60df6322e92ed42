#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/strong_id.h"

namespace savoryglade {

// What one usage summary covers: one daemon, or all daemons of a failure domain.
enum class UsageScope : std::uint8_t { kDaemon, kDomain };

// Usage of one client account at one service. 12 bytes, because a daemon may use 8 KB/s in all and
// sends a summary to each daemon of its failure domain twice a second.
struct AccountUsage {
  // UsageKey of account and service.
  std::uint32_t key = 0;
  // Cost served since the sender started, in milliseconds of one slot, modulo 2^32. A running sum
  // survives lost summaries.
  std::uint32_t served_ms = 0;
  // Requests that wait and that run, at most 65535 each.
  std::uint16_t waiting = 0;
  std::uint16_t running = 0;

  friend auto operator<=>(const AccountUsage&, const AccountUsage&) = default;
};
static_assert(sizeof(AccountUsage) == 12);

// What a daemon tells its peers of the work of its client accounts.
struct UsageSummary {
  UsageScope scope = UsageScope::kDaemon;
  // The failure domain that a total covers; empty for a single daemon.
  FailureDomainId domain;
  // Start of the sender in milliseconds; orders restarts.
  std::uint64_t incarnation = 0;
  // Rises with each summary of one incarnation and scope.
  std::uint32_t sequence = 0;
  // Daemons that the summary covers.
  std::uint16_t daemons = 1;
  // True if all accounts are listed, false if only those that changed since the last summary.
  bool complete = true;
  std::vector<AccountUsage> accounts;

  friend auto operator<=>(const UsageSummary&, const UsageSummary&) = default;
};

// Returns the 32-bit FNV-1a hash of service and account. Names instead of indices, because two
// daemons may have different versions of the configuration for a few seconds.
std::uint32_t UsageKey(const AccountId& account, const ServiceId& service);

}  // namespace savoryglade
