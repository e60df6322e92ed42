#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/route_changes.h"
#include "core/random.h"
#include "gateway/adapter.h"
#include "gateway/fleet_report.h"
#include "gateway/fleet_state.h"
#include "gateway/upstream_connection_pool.h"
#include "membership/document_watch.h"
#include "membership/feed_reorder_buffer.h"
#include "membership/feed_schedule.h"
#include "membership/registration_view.h"
#include "net/background_worker.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace savoryglade::gateway {

// Callbacks for changes that were read from the store or received from peers.
struct StoreWatchCallbacks {
  // Called with each new version of the routes.
  std::function<void(const RouteTable&)> on_routes;
  // Called when an upstream announces that it leaves, or is gone.
  std::function<void(const UpstreamId&)> on_upstream_leaving;
  // Called to send an update to the group immediately: the changed registrations, or nothing if
  // only the routes changed or were confirmed.
  std::function<void(std::optional<FeedUpdate>)> publish;
  // Called when an order of a roll-out was read, and when upstreams were added, changed or removed,
  // before any of them can be chosen.
  std::function<void()> on_rollout_order;
  std::function<void()> on_upstreams_changed;
};

// Watches the operators' routes and the upstreams' registrations in the store and applies them to
// the fleet state. The daemons of a group share what they read. Both loops run until their context
// stops.
class FleetStoreWatcher {
 public:
  FleetStoreWatcher(FleetState& fleet, FleetStore& store, UpstreamConnectionPool& connections,
                    boost::asio::io_context& context, BackgroundWorker& background,
                    StoreWatchCallbacks callbacks);

  // Responds to another daemon's request for the routes, with 503 if enough others receive them.
  boost::asio::awaitable<void> HandleRoutesRequest(HttpExchange& exchange);

  boost::asio::awaitable<void> RoutesLoop();
  boost::asio::awaitable<void> UpstreamsLoop();

  // Applies what another daemon has read.
  void OnReport(const FleetReport& report);

  // Returns true once both the routes and the registrations have been read.
  bool has_synced() const { return fleet_.routes != nullptr && upstreams_loaded_; }

 private:
  // A route document as it was received.
  struct RouteBytes {
    std::string text;
    bool compressed = false;
  };

  // Waits until the routes have to be read. Returns how long that read may wait for a change.
  boost::asio::awaitable<Duration> WaitUntilRoutesDue();
  boost::asio::awaitable<void> WaitUntilUpstreamsDue();
  // Reads and applies changed registrations. Returns false if the store call failed.
  boost::asio::awaitable<bool> ReadUpstreams();
  // Returns the routes held, compressed or not. Converts them on the background worker if needed.
  boost::asio::awaitable<Result<std::shared_ptr<const RouteBytes>>> GetRouteBytes(bool compressed);
  // Parses and indexes routes on the background worker. The error names the fault of the document.
  boost::asio::awaitable<Result<std::shared_ptr<const RouteTable>>> ParseRoutes(
      std::shared_ptr<const RouteBytes> bytes);
  // Applies the routes if they are newer than those held.
  boost::asio::awaitable<void> ApplyRoutes(std::shared_ptr<const RouteTable> routes,
                                           std::shared_ptr<const RouteBytes> bytes);
  // Records how long streams can be resumed, and which services replace others on their routes.
  void UpdateStreamRoutes(const RouteTable& routes,
                          const std::vector<ServiceReplacement>& replacements);
  // Returns true if a peer has reported newer routes than this daemon holds.
  bool IsBehindPeers() const;
  // Fetches the routes from peers that hold newer ones, until this daemon holds them too.
  boost::asio::awaitable<void> FetchRoutesFromPeers();
  // Fetches and applies the routes of one peer. Returns false if that failed.
  boost::asio::awaitable<bool> FetchRoutesFrom(const DaemonId& peer);
  // Sends the request for the routes to a peer.
  boost::asio::awaitable<Result<HttpResponse>> RequestRoutes(const DaemonId& peer);
  // Returns the version of the routes that this daemon holds, or zero.
  std::uint64_t held_version() const {
    return fleet_.routes == nullptr ? 0 : fleet_.routes->version();
  }
  // Records the orders of roll-outs in a response of the store.
  void ApplyRolloutOrders(const std::vector<rollout::RolloutOrder>& orders,
                          TimePoint read_started_at);
  // Records that the store held no newer routes at this instant.
  void ConfirmRoutes(TimePoint as_of);
  // Records that the registrations held are those of this instant.
  void ConfirmUpstreams(TimePoint as_of);
  void ApplyUpstreams(const std::vector<RegistrationChange>& changes);
  // Applies peers' updates that continue from this daemon's position.
  void ApplyFeedUpdates(const std::vector<FeedUpdate>& updates);

  FleetState& fleet_;
  FleetStore& store_;
  UpstreamConnectionPool& connections_;
  StoreWatchCallbacks callbacks_;
  boost::asio::io_context& context_;
  BackgroundWorker& background_;
  // Cancelled when a report changes when the next read is due.
  boost::asio::steady_timer routes_timer_;
  boost::asio::steady_timer upstreams_timer_;
  RegistrationView registrations_;
  FeedReorderBuffer reorder_buffer_;
  DocumentWatch route_watch_;
  FeedSchedule upstream_schedule_;
  FeedPosition routes_position_ = 0;
  // Document from which the routes were parsed, for peers: as it was received until it is
  // compressed for the first peer that asks. Never null.
  std::shared_ptr<const RouteBytes> route_bytes_ = std::make_shared<RouteBytes>();
  bool converting_routes_ = false;
  // Transfers of the routes to peers in progress.
  int route_transfers_ = 0;
  // Time at which a peer first reported newer routes than this daemon still holds.
  std::optional<TimePoint> behind_since_;
  bool fetching_routes_ = false;
  // True while a peer sends its routes.
  bool receiving_routes_ = false;
  FeedPosition upstreams_position_ = 0;
  // Whether the next read must fetch all registrations, because none were read yet or the store
  // has discarded the history after the position.
  bool full_read_needed_ = true;
  bool upstreams_loaded_ = false;
  Random random_;
};

}  // namespace savoryglade::gateway
