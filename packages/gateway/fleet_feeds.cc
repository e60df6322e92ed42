#include "gateway/fleet_feeds.h"

#include <boost/asio.hpp>
#include <utility>

#include "core/boot_clock.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

// Longest wait of a read for new routes. A connection that has gone silent is found after it.
constexpr Duration kRouteWait = 2500ms;
// Time between two reads of the registrations, as a part of the time in which a notice must be
// known. Each heartbeat of an upstream changes its row, so waiting reads would return many times
// per second.
constexpr double kUpstreamIntervalFraction = 0.45;
constexpr Duration kRetryInterval = 250ms;
const Logger kLog("feeds");

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

FleetFeeds::FleetFeeds(FleetState& fleet, FleetStore& store, UpstreamConnections& connections,
                       RoutesCallback on_routes)
    : fleet_(fleet),
      store_(store),
      connections_(connections),
      on_routes_(std::move(on_routes)),
      registrations_({}) {}

asio::awaitable<void> FleetFeeds::FollowRoutes() {
  FeedPosition position = 0;
  while (true) {
    const Result<RouteUpdate> update = co_await store_.FollowRoutes(position, kRouteWait);
    if (update) {
      position = update->position;
      if (update->document) {
        ApplyRoutes(*update->document);
      }
      if (!update->document && fleet_.routes == nullptr) {
        position = 0;
        co_await Sleep(kRetryInterval);
      }
      continue;
    }
    kLog.Warning("The routes can't be read.",
                 {{"position", position}, {"error", update.error().message}});
    if (update.error().code == ErrorCode::kConflict) {
      position = 0;
    } else {
      co_await Sleep(kRetryInterval);
    }
  }
}

void FleetFeeds::ApplyRoutes(RouteDocument document) {
  const std::uint64_t held = fleet_.routes == nullptr ? 0 : fleet_.routes->version();
  if (fleet_.routes != nullptr && document.version <= held) {
    return;
  }
  kLog.Info("New routes are in force.", {{"version", document.version},
                                         {"previous", held},
                                         {"routes", document.routes.size()},
                                         {"accounts", document.accounts.size()}});
  fleet_.allowance.Configure(document.accounts, BootNow());
  fleet_.routes = std::make_shared<const RouteTable>(std::move(document));
  on_routes_(*fleet_.routes);
}

asio::awaitable<void> FleetFeeds::FollowUpstreams() {
  const Duration interval =
      FromSeconds(ToSeconds(fleet_.settings.bounds.upstream_drain) * kUpstreamIntervalFraction);
  FeedPosition position = 0;
  while (true) {
    const Result<UpstreamUpdate> update = co_await store_.FollowUpstreams(position);
    const TimePoint now = BootNow();
    Duration pause = interval;
    if (update) {
      position = update->position;
      ApplyUpstreams(registrations_.Apply(update->changes, update->whole, now));
      upstreams_known_ = true;
    } else if (update.error().code == ErrorCode::kConflict) {
      kLog.Warning("The history of the registrations is gone; all are read again.",
                   {{"position", position}});
      position = 0;
      pause = Duration::zero();
    } else {
      kLog.Warning("The registrations can't be read.",
                   {{"position", position}, {"error", update.error().message}});
      registrations_.OnDisturbance();
      pause = kRetryInterval;
    }
    ApplyUpstreams(registrations_.Expire(now));
    if (pause > Duration::zero()) {
      co_await Sleep(pause);
    }
  }
}

void FleetFeeds::ApplyUpstreams(const std::vector<RegistrationChange>& news) {
  for (const RegistrationChange& change : news) {
    const UpstreamRecord* held = fleet_.board.Find(change.id);
    if (!change.record) {
      kLog.Info("An upstream is gone.", {{"upstream", change.id.value()}});
      fleet_.board.Remove(change.id);
      connections_.Drop(change.id);
      continue;
    }
    if (held == nullptr || held->leaving != change.record->leaving ||
        held->doubtful != change.record->doubtful) {
      kLog.Info("An upstream registered or changed.",
                {{"upstream", change.id.value()},
                 {"service", change.record->service.value()},
                 {"leaving", change.record->leaving},
                 {"doubtful", change.record->doubtful},
                 {"reclaimable", change.record->reclaimable}});
    }
    if (held != nullptr && (held->started_ms != change.record->started_ms ||
                            held->address != change.record->address)) {
      connections_.Drop(change.id);
    }
    fleet_.board.Update(*change.record);
  }
}

}  // namespace savoryglade::gateway
