#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <set>

#include "capacity/lease.h"
#include "capacity/window_commits.h"
#include "gateway/adapter.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Contends for the lease on the fleet's duties, which are usage reports and capacity orders, and
// reports usage while it holds the lease.
class DutyRunner {
 public:
  DutyRunner(FleetState& fleet, FleetStore& store, DutyApi& duties);

  // Loops that run until their context stops.
  boost::asio::awaitable<void> LeaseLoop();
  boost::asio::awaitable<void> UsageLoop();

  // Releases the lease; called when the daemon starts to drain.
  void Release();
  bool holds_lease() const;
  // Returns this daemon and its fencing token; valid while the lease is held.
  DutyHolder holder() const {
    return {.daemon = fleet_.settings.daemon, .fencing_token = lease_.fencing()};
  }

 private:
  // Returns true if this daemon holds the lease, is releasing it, or should try to acquire it.
  bool ShouldContendForLease(TimePoint now) const;
  // Returns the time from the end of a window until its counts are committed.
  Duration CollectionDelay(TimePoint now) const;
  // Commits the counts of a window and reports them to the platform.
  boost::asio::awaitable<void> ReportWindow(capacity::WindowNumber window);
  // Writes the counts of a window to the store unless they are there already, and returns the
  // stored ones, so that all holders report the same counts. Returns kDenied if other counts may
  // have been reported and lost by the store.
  boost::asio::awaitable<Result<capacity::WindowCounts>> CommitCounts(
      capacity::WindowNumber window);
  // Reads the committed counts of a window; nothing if the store has none.
  boost::asio::awaitable<Result<std::optional<capacity::WindowCounts>>> ReadCounts(
      capacity::WindowNumber window);
  // Returns true if no other holder can have committed the counts of a window that the store lacks.
  bool MayCommitCounts(capacity::WindowNumber window) const;
  // Writes the counts that the store may have lost again, so that later holders find them.
  boost::asio::awaitable<void> RestoreCounts();

  FleetState& fleet_;
  FleetStore& store_;
  DutyApi& duties_;
  capacity::Lease lease_;
  capacity::WindowCommits commits_;
  // Windows whose reports the platform has accepted, and those that must not be reported.
  std::set<capacity::WindowNumber> closed_;
  // Instant since which this daemon has held the lease; valid while fleet_.holds_duties.
  TimePoint lease_since_{};
  // First window that this daemon reports; empty while it does not hold the lease.
  std::optional<capacity::WindowNumber> first_window_;
};

}  // namespace savoryglade::gateway
