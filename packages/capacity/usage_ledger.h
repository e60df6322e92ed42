#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "core/strong_id.h"

namespace savoryglade::capacity {

// Number of a reporting window; window k begins k times its length after the start of 1970.
using WindowNumber = std::int64_t;

// Requests of each account that upstreams began to run in a window.
using WindowCounts = std::map<AccountId, std::uint64_t>;

// Requests begun through each daemon, by window. A daemon's counts survive it at its peers. Not
// safe to use from several threads.
class UsageLedger {
 public:
  // Windows that are kept.
  static constexpr WindowNumber kKept = 8;

  void OnBegun(WindowNumber window, const AccountId& account);
  // Takes back a request that its upstream then stated not to have run.
  void OnNotRun(WindowNumber window, const AccountId& account);

  // Counts of this daemon.
  const std::map<WindowNumber, WindowCounts>& own() const { return own_; }
  // Takes the counts of one window of a peer since its start.
  void OnPeerCounts(const DaemonId& daemon, std::uint64_t incarnation, WindowNumber window,
                    WindowCounts counts);

  // Sum over all daemons and their incarnations.
  WindowCounts Total(WindowNumber window) const;

  // Forgets windows that are too old to be reported.
  void Expire(WindowNumber current);

 private:
  struct PeerKey {
    DaemonId daemon;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const PeerKey&, const PeerKey&) = default;
  };

  std::map<WindowNumber, WindowCounts> own_;
  std::map<WindowNumber, std::map<PeerKey, WindowCounts>> peers_;
};

}  // namespace savoryglade::capacity
