#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "gateway/adapter.h"
#include "gateway/fleet_report.h"
#include "gateway/fleet_state.h"
#include "gateway/upstream_connection_pool.h"
#include "membership/feed_reorder_buffer.h"
#include "membership/feed_schedule.h"
#include "membership/registration_view.h"

namespace savoryglade::gateway {

// Whom the feeds tell what they have read.
struct StoreWatchCallbacks {
  // Called with each new version of the routes.
  std::function<void(const RouteTable&)> on_routes;
  // Called when an upstream gives notice that it leaves, or is gone.
  std::function<void(const UpstreamId&)> on_upstream_leaving;
  // Called with what the group is to be told at once: news of the registrations, or nothing if only
  // the routes are new.
  std::function<void(std::optional<FeedUpdate>)> publish;
};

// Follows the operators' routes and the upstreams' registrations in the store and brings them into
// the fleet state. The daemons of a group share what they read. Both loops run until their context
// stops.
class FleetStoreWatcher {
 public:
  FleetStoreWatcher(FleetState& fleet, FleetStore& store, UpstreamConnectionPool& connections,
                    boost::asio::io_context& context, StoreWatchCallbacks callbacks);

  boost::asio::awaitable<void> RoutesLoop();
  boost::asio::awaitable<void> UpstreamsLoop();

  // Takes what another daemon has read.
  void OnReport(const FleetReport& report);

  // True once both the routes and the upstreams were read.
  bool has_synced() const { return fleet_.routes != nullptr && upstreams_loaded_; }

 private:
  // How long the next read of the routes may wait for news, once it is due.
  boost::asio::awaitable<Duration> WaitUntilRoutesDue();
  boost::asio::awaitable<void> WaitUntilUpstreamsDue();
  // Returns false if the store could not be asked.
  boost::asio::awaitable<bool> ReadUpstreams();
  void ApplyRoutes(RouteDocument document, TimePoint as_of);
  void ApplyUpstreams(const std::vector<RegistrationChange>& changes);
  // Brings news of others in that go on from this daemon's position.
  void ApplyFeedUpdates(const std::vector<FeedUpdate>& updates);

  FleetState& fleet_;
  FleetStore& store_;
  UpstreamConnectionPool& connections_;
  StoreWatchCallbacks callbacks_;
  // Cancelled when a report brings something on.
  boost::asio::steady_timer routes_timer_;
  boost::asio::steady_timer upstreams_timer_;
  RegistrationView registrations_;
  FeedReorderBuffer gaps_;
  FeedSchedule upstream_schedule_;
  FeedPosition routes_position_ = 0;
  FeedPosition upstreams_position_ = 0;
  // Whether the history behind the position is gone, so that all registrations are read again.
  bool full_read_needed_ = true;
  bool upstreams_loaded_ = false;
};

}  // namespace savoryglade::gateway
