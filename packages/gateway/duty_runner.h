#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <set>

#include "capacity/lease.h"
#include "gateway/adapter.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Takes part in the lease of the fleet's duties and carries them out while it holds the lease.
class DutyRunner {
 public:
  DutyRunner(FleetState& fleet, FleetStore& store, DutyApi& duties);

  // Loops that run until their context stops.
  boost::asio::awaitable<void> LeaseLoop();
  boost::asio::awaitable<void> UsageLoop();

  // Gives the lease up; called when the daemon drains.
  void Release();
  bool holds_lease() const;
  // Who acts; valid while the lease is held.
  DutyHolder holder() const {
    return {.daemon = fleet_.settings.daemon, .fencing_token = lease_.fencing()};
  }

 private:
  // Whether this daemon has to look after the lease now.
  bool ShouldContendForLease(TimePoint now) const;
  // Time from the end of a window until its counts are fixed.
  Duration CollectionDelay(TimePoint now) const;
  boost::asio::awaitable<void> ReportWindow(capacity::WindowNumber window);
  // Fixes the counts of a window in the store, so that all holders report the same ones.
  boost::asio::awaitable<Result<capacity::WindowCounts>> CommitCounts(
      capacity::WindowNumber window);

  FleetState& fleet_;
  FleetStore& store_;
  DutyApi& duties_;
  capacity::Lease lease_;
  // Windows whose reports were accepted.
  std::set<capacity::WindowNumber> reported_;
  // First window that this holder reports.
  std::optional<capacity::WindowNumber> first_window_;
};

}  // namespace savoryglade::gateway
