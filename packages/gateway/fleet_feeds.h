#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "gateway/adapter.h"
#include "gateway/fleet_state.h"
#include "gateway/upstream_connections.h"
#include "membership/registration_view.h"

namespace savoryglade::gateway {

// Follows the operators' routes and the upstreams' registrations in the store and brings them into
// the fleet state. Both loops run until their context stops.
class FleetFeeds {
 public:
  // Called with each new version of the routes.
  using RoutesCallback = std::function<void(const RouteTable&)>;

  FleetFeeds(FleetState& fleet, FleetStore& store, UpstreamConnections& connections,
             RoutesCallback on_routes);

  boost::asio::awaitable<void> FollowRoutes();
  boost::asio::awaitable<void> FollowUpstreams();

  // True once both the routes and the upstreams were read.
  bool complete() const { return fleet_.routes != nullptr && upstreams_known_; }

 private:
  void ApplyRoutes(RouteDocument document);
  void ApplyUpstreams(const std::vector<RegistrationChange>& news);

  FleetState& fleet_;
  FleetStore& store_;
  UpstreamConnections& connections_;
  RoutesCallback on_routes_;
  RegistrationView registrations_;
  bool upstreams_known_ = false;
};

}  // namespace savoryglade::gateway
