#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "core/strong_id.h"

namespace savoryglade {

// Scope of a usage summary: one daemon, or all daemons of a failure domain.
enum class UsageScope : std::uint8_t { kDaemon, kDomain };

// Usage of one client account at one service. 12 bytes, because a daemon may send 8 KB/s in total
// and sends a summary to each daemon of its failure domain twice a second.
struct AccountUsage {
  // Key of the account and the service.
  std::uint32_t key = 0;
  // Cost served since the sender started, in milliseconds of one slot, modulo 2^32. It is
  // cumulative, so that lost summaries do not matter.
  std::uint32_t served_ms = 0;
  // Numbers of waiting and of running requests, at most 65535 each.
  std::uint16_t waiting = 0;
  std::uint16_t running = 0;

  friend auto operator<=>(const AccountUsage&, const AccountUsage&) = default;
};
static_assert(sizeof(AccountUsage) == 12);

// Usage of the client accounts at one daemon, or in one failure domain, which is sent to the other
// daemons.
struct UsageSummary {
  UsageScope scope = UsageScope::kDaemon;
  // Failure domain that a total covers; empty for a single daemon.
  FailureDomainId domain;
  // Start time of the sender in milliseconds; a restart has a higher value.
  std::uint64_t incarnation = 0;
  // Sequence number, which rises with each summary of one incarnation and scope.
  std::uint32_t sequence = 0;
  // Number of daemons that the summary covers.
  std::uint16_t daemons = 1;
  // True if all accounts are listed, false if only those that changed since the last summary.
  bool complete = true;
  std::vector<AccountUsage> accounts;

  friend auto operator<=>(const UsageSummary&, const UsageSummary&) = default;
};

// Returns the 32-bit FNV-1a hash of service and account. It hashes names and not indices, because
// two daemons may have different versions of the configuration for a few seconds.
std::uint32_t UsageKey(const AccountId& account, const ServiceId& service);

}  // namespace savoryglade
