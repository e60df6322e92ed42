#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "gateway/adapter.h"
#include "gateway/fleet_report.h"
#include "gateway/fleet_state.h"
#include "gateway/upstream_connections.h"
#include "membership/feed_reorder_buffer.h"
#include "membership/feed_schedule.h"
#include "membership/registration_view.h"

namespace savoryglade::gateway {

// Whom the feeds tell what they have read.
struct FeedCallbacks {
  // Called with each new version of the routes.
  std::function<void(const RouteTable&)> on_routes;
  // Called when an upstream gives notice that it leaves, or is gone.
  std::function<void(const UpstreamId&)> on_leaving;
  // Called with what the group is to be told at once: news of the registrations, or nothing if only
  // the routes are new.
  std::function<void(std::optional<FeedUpdate>)> publish;
};

// Follows the operators' routes and the upstreams' registrations in the store and brings them into
// the fleet state. The daemons of a group share what they read. Both loops run until their context
// stops.
class FleetFeeds {
 public:
  FleetFeeds(FleetState& fleet, FleetStore& store, UpstreamConnections& connections,
             boost::asio::io_context& context, FeedCallbacks callbacks);

  boost::asio::awaitable<void> FollowRoutes();
  boost::asio::awaitable<void> FollowUpstreams();

  // Takes what another daemon has read.
  void OnReport(const FleetReport& report);

  // True once both the routes and the upstreams were read.
  bool complete() const { return fleet_.routes != nullptr && upstreams_known_; }

 private:
  // How long the next read of the routes may wait for news, once it is due.
  boost::asio::awaitable<Duration> AwaitRoutesDue();
  boost::asio::awaitable<void> AwaitUpstreamsDue();
  // Returns false if the store could not be asked.
  boost::asio::awaitable<bool> ReadUpstreams();
  void ApplyRoutes(RouteDocument document, TimePoint as_of);
  void ApplyUpstreams(const std::vector<RegistrationChange>& news);
  // Brings news of others in that go on from this daemon's position.
  void ApplyNews(const std::vector<FeedUpdate>& news);

  FleetState& fleet_;
  FleetStore& store_;
  UpstreamConnections& connections_;
  FeedCallbacks callbacks_;
  // Cancelled when a report brings something on.
  boost::asio::steady_timer routes_timer_;
  boost::asio::steady_timer upstreams_timer_;
  RegistrationView registrations_;
  FeedReorderBuffer gaps_;
  FeedSchedule upstream_schedule_;
  FeedPosition routes_position_ = 0;
  FeedPosition upstreams_position_ = 0;
  // Whether the history behind the position is gone, so that all registrations are read again.
  bool read_whole_ = true;
  bool upstreams_known_ = false;
};

}  // namespace savoryglade::gateway
