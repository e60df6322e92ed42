#include "gateway/fleet_store_watcher.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "core/boot_clock.h"
#include "core/scoped_count.h"
#include "logging/logger.h"
#include "net/compression.h"
#include "net/http_client.h"
#include "net/log_exception.h"
#include "net/sleep.h"
#include "routing/software_version.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Ages of the registrations at which the first daemon of a group and at which every daemon reads
// them, as fractions of the time in which an upstream's notice must be known.
constexpr double kUpstreamReadAgeFraction = 0.32;
constexpr double kMaxUpstreamAgeFraction = 0.45;
// Longest time that a response of the store takes to arrive.
constexpr Duration kMaxResponseLatency = 50ms;
// First pause after a failed call; doubled after each further failure, up to the maximum.
constexpr Duration kRetryInterval = 250ms;
constexpr Duration kMaxRetryInterval = 1s;
// Time that the peers have to send newer routes before this daemon also reads the store.
constexpr Duration kPeerRoutesHeadStart = 600ms;
constexpr Duration kPeerRoutesTimeout = 500ms;
// Pause before a daemon looks again for a peer that can send the routes.
constexpr Duration kPeerRoutesRetryInterval = 20ms;
// Transfers of the routes that a daemon serves at once. More would share its link and each take
// longer; the others find a peer that has received the routes meanwhile.
constexpr int kMaxRouteTransfers = 2;
constexpr std::size_t kMaxRouteDocumentBytes = 16 * 1024 * 1024;
constexpr const char* kRoutesTarget = "/routes";
constexpr std::string_view kDeflate = "deflate";
// Usual ratio of the size of a route document to its compressed size.
constexpr std::size_t kCompressionRatio = 8;
// Time for which a daemon may send streams to an upstream that is no longer registered.
constexpr Duration kStreamLifetimeMargin = 10s;
// Shortest time between two reads of one table.
constexpr Duration kMinReadInterval = 20ms;

const Logger kLog("feeds");

FeedScheduleOptions UpstreamSchedule(const FleetBounds& bounds) {
  const double drain = ToSeconds(bounds.upstream_drain);
  return {.first_read_age = FromSeconds(drain * kUpstreamReadAgeFraction),
          .max_age = FromSeconds(drain * kMaxUpstreamAgeFraction)};
}

}  // namespace

FleetStoreWatcher::FleetStoreWatcher(FleetState& fleet, FleetStore& store,
                                     UpstreamConnectionPool& connections, asio::io_context& context,
                                     BackgroundWorker& background, StoreWatchCallbacks callbacks)
    : fleet_(fleet),
      store_(store),
      connections_(connections),
      callbacks_(std::move(callbacks)),
      context_(context),
      background_(background),
      routes_timer_(context),
      upstreams_timer_(context),
      registrations_({}),
      route_watch_(fleet.settings.bounds.routes_apply),
      upstream_schedule_(UpstreamSchedule(fleet.settings.bounds)),
      random_(fleet.incarnation) {}

asio::awaitable<Duration> FleetStoreWatcher::WaitUntilRoutesDue() {
  while (true) {
    const TimePoint now = BootNow();
    const int rank = fleet_.groups.Rank(now);
    route_watch_.OnConfirmed(fleet_.routes_confirmed_at);
    TimePoint due = route_watch_.DueAt(rank);
    if (behind_since_ && !receiving_routes_) {
      due = std::min(due, *behind_since_ + kPeerRoutesHeadStart);
    }
    if (fleet_.routes == nullptr || now >= due) {
      co_return Duration::zero();
    }
    if (const std::optional<Duration> wait = route_watch_.WaitOfRead(rank, now)) {
      co_return *wait;
    }
    routes_timer_.expires_after(due - now);
    co_await routes_timer_.async_wait(kAwait);
  }
}

asio::awaitable<void> FleetStoreWatcher::RoutesLoop() {
  Duration pause = kRetryInterval;
  while (true) {
    const Duration wait = co_await WaitUntilRoutesDue();
    const TimePoint read_started_at = BootNow();
    Result<RouteUpdate> update = co_await store_.WatchRoutes(routes_position_, wait);
    if (update) {
      routes_position_ = update->position;
      ApplyRolloutOrders(update->rollouts, read_started_at);
      if (update->text) {
        auto bytes =
            std::make_shared<const RouteBytes>(RouteBytes{.text = std::move(*update->text)});
        const auto routes = co_await ParseRoutes(bytes);
        if (!routes) {
          kLog.Error("The operators' route document is invalid; it is ignored.",
                     {{"position", routes_position_}, {"error", routes.error().message}});
        } else {
          co_await ApplyRoutes(*routes, std::move(bytes));
          if ((*routes)->version() >= held_version()) {
            ConfirmRoutes(read_started_at);
          }
        }
      } else if (fleet_.routes == nullptr) {
        routes_position_ = 0;
        co_await Sleep(kRetryInterval);
      } else {
        // The routes had not changed when the store sent its response. The other daemons of the
        // group read the store themselves if they learn of it too late.
        ConfirmRoutes(std::max(read_started_at, BootNow() - kMaxResponseLatency));
        callbacks_.publish(std::nullopt);
      }
      pause = kRetryInterval;
      // A peer holds a version that the store has not returned yet: pause before reading again.
      co_await Sleep(behind_since_ ? kRetryInterval : kMinReadInterval);
      continue;
    }
    kLog.Warning("Reading the routes from the store failed.",
                 {{"position", routes_position_}, {"error", update.error().message}});
    if (update.error().code == ErrorCode::kConflict) {
      routes_position_ = 0;
    } else {
      co_await Sleep(pause);
      pause = std::min(2 * pause, kMaxRetryInterval);
    }
  }
}

void FleetStoreWatcher::ApplyRolloutOrders(const std::vector<rollout::RolloutOrder>& orders,
                                           TimePoint read_started_at) {
  if (!fleet_.rollouts.enabled()) {
    return;
  }
  const TimePoint now = BootNow();
  bool is_new = false;
  for (const rollout::RolloutOrder& order : orders) {
    if (fleet_.rollouts.OnOrder(order, Duration::zero(), now)) {
      is_new = true;
      kLog.Essential("An operator orders a roll-out.", {{"service", order.service.value()},
                                                        {"to", order.to},
                                                        {"duration_ms", order.duration / 1ms},
                                                        {"order_version", order.version}});
    }
  }
  const TimePoint as_of = std::max(read_started_at, now - kMaxResponseLatency);
  fleet_.rollout_orders_read_at = as_of;
  fleet_.rollouts.OnOrdersRead(as_of);
  if (is_new) {
    callbacks_.on_rollout_order();
    callbacks_.publish(std::nullopt);
  }
}

void FleetStoreWatcher::ConfirmRoutes(TimePoint as_of) {
  fleet_.routes_read_at = std::max(fleet_.routes_read_at, as_of);
  fleet_.routes_confirmed_at = std::max(fleet_.routes_confirmed_at, as_of);
}

asio::awaitable<Result<std::shared_ptr<const RouteTable>>> FleetStoreWatcher::ParseRoutes(
    std::shared_ptr<const RouteBytes> bytes) {
  const std::size_t size = bytes->text.size() * (bytes->compressed ? kCompressionRatio : 1);
  auto parse = [bytes = std::move(bytes),
                &store = store_]() -> Result<std::shared_ptr<const RouteTable>> {
    Result<std::string> decompressed;
    if (bytes->compressed) {
      decompressed = Decompress(bytes->text, kMaxRouteDocumentBytes);
      if (!decompressed) {
        return tl::make_unexpected(decompressed.error());
      }
    }
    Result<RouteDocument> document =
        store.ParseRoutes(bytes->compressed ? *decompressed : bytes->text);
    if (!document) {
      return tl::make_unexpected(document.error());
    }
    return std::make_shared<const RouteTable>(std::move(*document));
  };
  co_return co_await background_.Run(size, std::move(parse));
}

asio::awaitable<void> FleetStoreWatcher::ApplyRoutes(std::shared_ptr<const RouteTable> routes,
                                                     std::shared_ptr<const RouteBytes> bytes) {
  while (fleet_.routes == nullptr || routes->version() > held_version()) {
    const std::shared_ptr<const RouteTable> held = fleet_.routes;
    std::vector<ServiceReplacement> replacements;
    if (held != nullptr) {
      auto compare = [held, routes] { return FindServiceReplacements(*held, *routes); };
      replacements = co_await background_.Run(bytes->text.size(), std::move(compare));
    }
    if (fleet_.routes != held) {
      // Other routes were applied meanwhile.
      continue;
    }
    const EventLoopMonitor::Task task(fleet_.loop_monitor, "apply_routes");
    const RouteDocument& document = routes->document();
    kLog.Info("New routes are active.", {{"version", document.version},
                                         {"previous", held_version()},
                                         {"routes", document.routes.size()},
                                         {"accounts", document.accounts.size()}});
    fleet_.rate_limiter.Configure(document.accounts, BootNow());
    UpdateStreamRoutes(*routes, replacements);
    fleet_.routes = std::move(routes);
    route_bytes_ = std::move(bytes);
    if (!IsBehindPeers()) {
      behind_since_.reset();
    }
    callbacks_.on_routes(*fleet_.routes);
    callbacks_.publish(std::nullopt);
    co_return;
  }
}

void FleetStoreWatcher::UpdateStreamRoutes(const RouteTable& routes,
                                           const std::vector<ServiceReplacement>& replacements) {
  Duration longest_timeout = Duration::zero();
  for (const Route& route : routes.document().routes) {
    if (route.IsResumableStream()) {
      longest_timeout = std::max(longest_timeout, route.timeout);
    }
  }
  fleet_.stream_versions.SetLifetime(longest_timeout + kStreamLifetimeMargin);
  for (const ServiceReplacement& replacement : replacements) {
    fleet_.stream_versions.OnServiceReplaced(replacement.from, replacement.to, BootNow());
  }
}

asio::awaitable<void> FleetStoreWatcher::HandleRoutesRequest(HttpExchange& exchange) {
  if (exchange.target() != kRoutesTarget || fleet_.routes == nullptr) {
    co_await exchange.Respond(404, {}, {});
    co_return;
  }
  if (route_transfers_ >= kMaxRouteTransfers || converting_routes_) {
    co_await exchange.Respond(503, {}, {});
    co_return;
  }
  const ScopedCount transfer(route_transfers_);
  const bool accepts_compressed =
      exchange.Header("Accept-Encoding").find(kDeflate) != std::string_view::npos;
  const auto bytes = co_await GetRouteBytes(accepts_compressed);
  if (!bytes) {
    kLog.Error("The routes held can't be decompressed.", {{"error", bytes.error().message}});
    co_await exchange.Respond(503, {}, {});
    co_return;
  }
  HttpHeaders headers = ContentType("application/json");
  if (accepts_compressed) {
    headers.emplace_back("Content-Encoding", std::string(kDeflate));
  }
  co_await exchange.Respond(200, std::move(headers), (*bytes)->text);
}

asio::awaitable<Result<std::shared_ptr<const FleetStoreWatcher::RouteBytes>>>
FleetStoreWatcher::GetRouteBytes(bool compressed) {
  const std::shared_ptr<const RouteBytes> held = route_bytes_;
  if (held->compressed == compressed) {
    co_return held;
  }
  auto convert = [held, compressed]() -> Result<std::shared_ptr<const RouteBytes>> {
    Result<std::string> text = compressed ? Result<std::string>(Compress(held->text))
                                          : Decompress(held->text, kMaxRouteDocumentBytes);
    if (!text) {
      return tl::make_unexpected(text.error());
    }
    return std::make_shared<const RouteBytes>(
        RouteBytes{.text = std::move(*text), .compressed = compressed});
  };
  converting_routes_ = true;
  Result<std::shared_ptr<const RouteBytes>> converted = co_await background_.Run(
      held->text.size() * (compressed ? 1 : kCompressionRatio), std::move(convert));
  converting_routes_ = false;
  // Daemons of earlier builds, which accept plain routes only, are few and go away.
  if (converted && compressed && route_bytes_ == held) {
    route_bytes_ = *converted;
  }
  co_return converted;
}

bool FleetStoreWatcher::IsBehindPeers() const {
  return fleet_.route_sources.HasNewer(held_version(), BootNow());
}

asio::awaitable<Result<HttpResponse>> FleetStoreWatcher::RequestRoutes(const DaemonId& peer) {
  const auto endpoint = fleet_.peer_requests.find(peer);
  if (endpoint == fleet_.peer_requests.end()) {
    co_return tl::make_unexpected(Error{.code = ErrorCode::kUnavailable,
                                        .message = "The peer does not respond to requests."});
  }
  HttpRequest request(http::verb::get, kRoutesTarget, 11);
  request.set(http::field::accept_encoding, std::string(kDeflate));
  receiving_routes_ = true;
  Result<HttpResponse> response =
      co_await FetchDocument(endpoint->second, std::move(request), kPeerRoutesTimeout);
  receiving_routes_ = false;
  co_return response;
}

asio::awaitable<bool> FleetStoreWatcher::FetchRoutesFrom(const DaemonId& peer) {
  const TimePoint begun_at = BootNow();
  Result<HttpResponse> response = co_await RequestRoutes(peer);
  if (response && response->result() == http::status::service_unavailable) {
    fleet_.route_sources.OnBusy(peer, BootNow());
    co_return false;
  }
  Result<std::shared_ptr<const RouteTable>> routes = tl::make_unexpected(
      Error{.code = ErrorCode::kNotFound, .message = "The peer holds no routes."});
  std::shared_ptr<const RouteBytes> bytes;
  if (!response) {
    routes = tl::make_unexpected(response.error());
  } else if (response->result() == http::status::ok) {
    const bool compressed = (*response)[http::field::content_encoding] == kDeflate;
    bytes = std::make_shared<const RouteBytes>(
        RouteBytes{.text = std::move(response->body()), .compressed = compressed});
    routes = co_await ParseRoutes(bytes);
  }
  if (!routes) {
    kLog.Warning("Fetching the routes from a peer failed.", {{"peer", peer.value()},
                                                             {"ms", (BootNow() - begun_at) / 1ms},
                                                             {"error", routes.error().message}});
    fleet_.route_sources.OnFailure(peer, BootNow());
    co_return false;
  }
  if ((*routes)->version() <= held_version()) {
    // The store was faster, or the peer no longer holds what it reported.
    fleet_.route_sources.OnFailure(peer, BootNow());
    co_return false;
  }
  kLog.Info("A peer sent its routes.", {{"version", (*routes)->version()},
                                        {"peer", peer.value()},
                                        {"bytes", bytes->text.size()},
                                        {"ms", (BootNow() - begun_at) / 1ms}});
  fleet_.route_sources.OnTransferred(peer);
  co_await ApplyRoutes(std::move(*routes), std::move(bytes));
  co_return true;
}

asio::awaitable<void> FleetStoreWatcher::FetchRoutesFromPeers() {
  fetching_routes_ = true;
  while (IsBehindPeers()) {
    const std::optional<DaemonId> peer =
        fleet_.route_sources.Choose(held_version(), BootNow(), random_);
    bool fetched = false;
    if (peer) {
      fetched = co_await FetchRoutesFrom(*peer);
      // The store may have to be read now that no peer sends the routes.
      routes_timer_.cancel();
    }
    if (!fetched) {
      co_await Sleep(kPeerRoutesRetryInterval);
    }
  }
  behind_since_.reset();
  fetching_routes_ = false;
}

void FleetStoreWatcher::OnReport(const FleetReport& report) {
  if (IsBehindPeers() && !behind_since_) {
    behind_since_ = BootNow();
    // The routes are due earlier now.
    routes_timer_.cancel();
  }
  if (behind_since_ && !fetching_routes_) {
    asio::co_spawn(context_, FetchRoutesFromPeers(), LogException("fetch of routes"));
  }
  if (report.feed_update) {
    FeedUpdate feed_update = *report.feed_update;
    feed_update.as_of = BootNow() - report.feed_update_age;
    ApplyFeedUpdates(reorder_buffer_.Insert(std::move(feed_update), upstreams_position_));
  }
}

void FleetStoreWatcher::ApplyFeedUpdates(const std::vector<FeedUpdate>& updates) {
  for (const FeedUpdate& update : updates) {
    ApplyUpstreams(registrations_.Apply(update.changes, false, BootNow()));
    upstreams_position_ = std::max(upstreams_position_, update.position);
    ConfirmUpstreams(update.as_of);
  }
  if (!updates.empty()) {
    upstreams_timer_.cancel();
  }
}

void FleetStoreWatcher::ConfirmUpstreams(TimePoint as_of) {
  upstream_schedule_.OnConfirmed(as_of);
  fleet_.stream_versions.OnViewConfirmed(as_of);
}

asio::awaitable<void> FleetStoreWatcher::WaitUntilUpstreamsDue() {
  while (true) {
    const TimePoint now = BootNow();
    const TimePoint due = upstream_schedule_.DueAt(fleet_.groups.Rank(now));
    if (!upstreams_loaded_ || now >= due) {
      co_return;
    }
    upstreams_timer_.expires_after(due - now);
    co_await upstreams_timer_.async_wait(kAwait);
    ApplyUpstreams(registrations_.Expire(BootNow()));
  }
}

asio::awaitable<bool> FleetStoreWatcher::ReadUpstreams() {
  const TimePoint read_started_at = BootNow();
  const Result<UpstreamUpdate> update =
      co_await store_.WatchUpstreams(full_read_needed_ ? 0 : upstreams_position_);
  const TimePoint now = BootNow();
  if (!update) {
    if (update.error().code == ErrorCode::kConflict) {
      kLog.Warning("The store has discarded the history of the registrations; reading all of them.",
                   {{"position", upstreams_position_}});
      full_read_needed_ = true;
      co_return true;
    }
    kLog.Warning("Reading the registrations from the store failed.",
                 {{"position", upstreams_position_}, {"error", update.error().message}});
    registrations_.OnStoreFailure();
    co_return false;
  }
  if (update->store_returned) {
    registrations_.OnStoreFailure();
  }
  std::vector<RegistrationChange> changes =
      registrations_.Apply(update->changes, update->is_snapshot, now, update->position);
  ApplyUpstreams(changes);
  full_read_needed_ = false;
  const FeedPosition after = upstreams_position_;
  upstreams_position_ = std::max(upstreams_position_, update->position);
  ConfirmUpstreams(read_started_at);
  if (upstreams_loaded_) {
    callbacks_.publish(FeedUpdate{.after = after,
                                  .position = upstreams_position_,
                                  .as_of = read_started_at,
                                  .changes = std::move(changes)});
  }
  upstreams_loaded_ = true;
  ApplyFeedUpdates(reorder_buffer_.Release(upstreams_position_));
  co_return true;
}

asio::awaitable<void> FleetStoreWatcher::UpstreamsLoop() {
  Duration pause = kRetryInterval;
  while (true) {
    co_await WaitUntilUpstreamsDue();
    const bool read = co_await ReadUpstreams();
    ApplyUpstreams(registrations_.Expire(BootNow()));
    co_await Sleep(read ? kMinReadInterval : pause);
    pause = read ? kRetryInterval : std::min(2 * pause, kMaxRetryInterval);
  }
}

void FleetStoreWatcher::ApplyUpstreams(const std::vector<RegistrationChange>& changes) {
  const EventLoopMonitor::Task task(fleet_.loop_monitor, "apply_registrations");
  // Streams of upstreams that leave move to others, so all changes are applied first.
  std::vector<UpstreamId> leaving;
  for (const RegistrationChange& change : changes) {
    const UpstreamRecord* held = fleet_.load_balancer.Find(change.id);
    if (!change.record) {
      kLog.Info("An upstream was removed.", {{"upstream", change.id.value()}});
      fleet_.load_balancer.Remove(change.id);
      fleet_.upstream_paths.Remove(change.id);
      fleet_.stream_versions.OnUpstreamRemoved(change.id, BootNow());
      connections_.Drop(change.id);
      fleet_.notices.OnLeaving(change.id, BootNow());
      fleet_.rollout_responses.OnUpstreamLost(change.id, BootNow());
      leaving.push_back(change.id);
      continue;
    }
    const bool is_same_process = held != nullptr && held->started_ms == change.record->started_ms &&
                                 held->address == change.record->address;
    const bool was_leaving = held != nullptr && held->leaving;
    const bool is_new_or_changed = held == nullptr || held->doubtful != change.record->doubtful ||
                                   held->software_version != change.record->software_version;
    fleet_.load_balancer.Update(*change.record);
    // An answer may have shown that the upstream leaves.
    const bool is_leaving = fleet_.load_balancer.Find(change.id)->leaving;
    if (is_new_or_changed || was_leaving != is_leaving) {
      kLog.Info("An upstream registered or changed.",
                {{"upstream", change.id.value()},
                 {"service", change.record->service.value()},
                 {"version", change.record->software_version},
                 {"version_key",
                  fmt::format("{:016x}", SoftwareVersionKey(change.record->software_version))},
                 {"leaving", is_leaving},
                 {"doubtful", change.record->doubtful},
                 {"reclaimable", change.record->reclaimable}});
    }
    if (!is_same_process) {
      connections_.Drop(change.id);
      fleet_.upstream_paths.Add(change.id, change.record->service);
    }
    const TimePoint held_until = fleet_.stream_versions.OnUpstream(
        change.id, change.record->service, SoftwareVersionKey(change.record->software_version),
        BootNow());
    fleet_.load_balancer.Hold(change.id, held_until);
    if (is_leaving) {
      fleet_.notices.OnLeaving(change.id, BootNow());
      fleet_.rollout_responses.OnUpstreamLost(change.id, BootNow());
      leaving.push_back(change.id);
    } else {
      fleet_.notices.OnAvailable(change.id);
    }
  }
  callbacks_.on_upstreams_changed();
  for (const UpstreamId& id : leaving) {
    callbacks_.on_upstream_leaving(id);
  }
}

}  // namespace savoryglade::gateway
