#include "capacity/usage_ledger.h"

#include <utility>

namespace savoryglade::capacity {

void UsageLedger::OnBegun(WindowNumber window, const AccountId& account) {
  ++own_[window][account];
}

void UsageLedger::OnNotRun(WindowNumber window, const AccountId& account) {
  std::uint64_t& count = own_[window][account];
  if (count > 0) {
    --count;
  }
}

void UsageLedger::OnPeerCounts(const DaemonId& daemon, std::uint64_t incarnation,
                               WindowNumber window, WindowCounts counts) {
  peers_[window][PeerKey{.daemon = daemon, .incarnation = incarnation}] = std::move(counts);
}

WindowCounts UsageLedger::Total(WindowNumber window) const {
  WindowCounts total;
  if (const auto own = own_.find(window); own != own_.end()) {
    total = own->second;
  }
  if (const auto peers = peers_.find(window); peers != peers_.end()) {
    for (const auto& [peer, counts] : peers->second) {
      for (const auto& [account, count] : counts) {
        total[account] += count;
      }
    }
  }
  return total;
}

void UsageLedger::Expire(WindowNumber current) {
  own_.erase(own_.begin(), own_.lower_bound(current - kKept));
  peers_.erase(peers_.begin(), peers_.lower_bound(current - kKept));
}

}  // namespace savoryglade::capacity
