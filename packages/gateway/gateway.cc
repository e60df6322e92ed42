#include "gateway/gateway.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "core/boot_clock.h"
#include "gateway/settings_change.h"
#include "logging/logger.h"
#include "net/request_reader.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

constexpr Duration kDrainCheckInterval = 50ms;
constexpr Duration kHousekeepingInterval = 1s;
// File descriptors reserved for connections to upstreams, peers and the platform.
constexpr std::size_t kReservedDescriptors = 800;
// Longest time from the first byte of a request until all of it has arrived.
constexpr Duration kReadTimeout = 10s;
constexpr Duration kIdleTimeout = 15s;
// Requests to the ports for readiness, metrics and peers have no bodies, and get memory always.
constexpr std::size_t kMaxSmallBodyBytes = kReservedBodyBytes;
// Connections at the ports for readiness and metrics, each, and at that for peers, which relays up
// to 256 connections. Together with those to upstreams they stay within the reserved descriptors.
constexpr std::size_t kMaxOperatorConnections = 50;
constexpr std::size_t kMaxPeerConnections = 300;
// Longest time for which a peer that reads slowly, or no longer, occupies a transfer.
constexpr Duration kPeerWriteTimeout = 5s;

const Logger kLog("gateway");

std::uint64_t RandomIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

Duration TimeOfDay() { return std::chrono::system_clock::now().time_since_epoch(); }

HttpLimits CallerLimits(const GatewaySettings& settings) {
  const std::size_t usable = settings.max_descriptors > 2 * kReservedDescriptors
                                 ? settings.max_descriptors - kReservedDescriptors
                                 : settings.max_descriptors / 2;
  return {.connections = usable, .idle_timeout = kIdleTimeout, .read_timeout = kReadTimeout};
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, const AdapterFactory& make_adapters)
    : pool_(1),
      fleet_(std::move(settings), RandomIncarnation(), TimeOfDay(), BootNow()),
      dropped_lines_(fleet_.metrics),
      memory_(std::make_shared<MemoryBudget>(MemoryLimits::OfMachine(fleet_.settings.memory_bytes),
                                             fleet_.metrics)),
      adapters_(make_adapters(background_, fleet_.metrics)),
      migrator_(fleet_, *adapters_.engines, pool_.context(0)),
      open_attempts_(pool_.context(0)),
      signals_(fleet_, {.on_leaving = [this](const UpstreamId& id) { OnUpstreamLeaving(id); },
                        .publish = [this] { report_transport_.Publish(std::nullopt); }}),
      store_watcher_(
          fleet_, *adapters_.store, connections_, pool_.context(0), background_,
          StoreWatchCallbacks{
              .on_routes =
                  [this](const RouteTable& routes) {
                    ApplyRequestLimits(routes.document().bounds);
                  },
              .on_upstream_leaving = [this](const UpstreamId& id) { OnUpstreamLeaving(id); },
              .publish =
                  [this](std::optional<FeedUpdate> feed_update) {
                    report_transport_.Publish(std::move(feed_update));
                  },
              .on_rollout_order = [this] { rollouts_.ApplyLimits(); },
              .on_upstreams_changed = [this] { rollouts_.ApplyLimits(); }}),
      crash_records_(fleet_, *adapters_.store, pool_.context(0)),
      stream_snapshots_(fleet_, pool_.context(0)),
      stream_version_store_(fleet_, *adapters_.store),
      report_transport_(
          fleet_, *adapters_.store,
          [this](const FleetReport& report) {
            store_watcher_.OnReport(report);
            signals_.OnReport(report);
            if (!report.rollouts.empty()) {
              rollouts_.ApplyLimits();
            }
            if (!report.crashes.empty() || !report.path_crashes.empty() ||
                !report.part_crashes.empty()) {
              crash_records_.OnRegistryChanged();
            }
          },
          [this](const Endpoint& peer) { stream_snapshots_.OnPeerReturned(peer); }),
      duty_runner_(fleet_, *adapters_.store, *adapters_.duties),
      capacity_controller_(fleet_, *adapters_.store, *adapters_.duties, duty_runner_),
      rollouts_(fleet_, *adapters_.store, duty_runner_,
                {.has_synced = [this] { return store_watcher_.has_synced(); },
                 .publish = [this] { report_transport_.Publish(std::nullopt); }}),
      connector_(fleet_, connections_, signals_),
      tunnels_(fleet_, *adapters_.codec, open_attempts_, signals_),
      relay_(pool_.context(0), fleet_, *adapters_.codec, connector_, connections_, migrator_,
             open_attempts_, signals_, [this] { crash_records_.OnRegistryChanged(); }),
      callers_(
          pool_, CallerLimits(fleet_.settings),
          [this](HttpExchange& exchange) { return relay_.Handle(exchange); },
          {.budget = memory_,
           .head_check = [this](HttpExchange& exchange) { return relay_.RefuseByHead(exchange); }}),
      readiness_(pool_, {.body_size = kMaxSmallBodyBytes, .connections = kMaxOperatorConnections},
                 [this](HttpExchange& exchange) { return HandleReadiness(exchange); },
                 {.budget = memory_}),
      metrics_(pool_, {.body_size = kMaxSmallBodyBytes, .connections = kMaxOperatorConnections},
               [this](HttpExchange& exchange) { return HandleMetrics(exchange); },
               {.budget = memory_}),
      peer_requests_(pool_,
                     HttpLimits{.body_size = kMaxSmallBodyBytes,
                                .connections = kMaxPeerConnections,
                                .write_timeout = kPeerWriteTimeout},
                     [this](HttpExchange& exchange) { return HandlePeerRequest(exchange); },
                     {.budget = memory_}) {}

Gateway::~Gateway() { Stop(); }

void Gateway::OnUpstreamLeaving(const UpstreamId& upstream) {
  migrator_.OnUpstreamLeaving(upstream);
  open_attempts_.OnUpstreamLeaving(upstream);
}

Result<void> Gateway::Start() {
  const GatewaySettings& settings = fleet_.settings;
  // Reports are UDP datagrams and requests of peers are TCP connections to the same port, unless
  // the system chooses the ports.
  const Endpoint peer_requests = settings.peers;
  if (Result<void> opened = report_transport_.Open(pool_.context(0)); !opened) {
    return opened;
  }
  struct Listener {
    HttpServer& server;
    const Endpoint& wanted;
    Endpoint& used;
  };
  for (const Listener& listener :
       {Listener{callers_, settings.callers, callers_endpoint_},
        Listener{readiness_, settings.readiness, readiness_endpoint_},
        Listener{metrics_, settings.metrics, metrics_endpoint_},
        Listener{peer_requests_, peer_requests, peer_requests_endpoint_}}) {
    const auto listening = listener.server.Listen(listener.wanted);
    if (!listening) {
      return tl::make_unexpected(listening.error());
    }
    listener.used = *listening;
  }
  fleet_.requests_port = peer_requests_endpoint_.port;
  asio::io_context& context = pool_.context(0);
  const auto spawn = [&context](asio::awaitable<void> loop) {
    asio::co_spawn(context, std::move(loop), [](const std::exception_ptr& failure) {
      if (failure) {
        std::rethrow_exception(failure);
      }
    });
  };
  spawn(store_watcher_.RoutesLoop());
  spawn(store_watcher_.UpstreamsLoop());
  spawn(crash_records_.ReadLoop());
  spawn(crash_records_.WriteLoop());
  spawn(stream_snapshots_.Loop());
  spawn(stream_version_store_.Loop());
  spawn(report_transport_.ReceiveLoop());
  spawn(report_transport_.SendLoop());
  spawn(report_transport_.RegisterLoop());
  spawn(duty_runner_.LeaseLoop());
  spawn(duty_runner_.UsageLoop());
  spawn(capacity_controller_.Loop());
  spawn(rollouts_.DecisionLoop());
  spawn(rollouts_.StoreLoop());
  spawn(connector_.ProbeLoop());
  spawn(open_attempts_.WatchLoop([this](const UpstreamId& id) {
    fleet_.upstream_paths.OnUnreached(id, BootNow());
    fleet_.load_balancer.OnPathLost(id);
  }));
  spawn(fleet_.loop_monitor.Run());
  spawn(HousekeepingLoop());
  kLog.Info("The gateway has started.", {{"daemon", settings.daemon.value()},
                                         {"failure_domain", settings.failure_domain.value()},
                                         {"callers", ToString(settings.callers)},
                                         {"incarnation", fleet_.incarnation}});
  return {};
}

asio::awaitable<void> Gateway::HandlePeerRequest(HttpExchange& exchange) {
  if (exchange.request().method() == boost::beast::http::verb::connect) {
    co_await tunnels_.HandleRequest(exchange);
    co_return;
  }
  if (exchange.target() == StreamSnapshotExchange::kTarget) {
    co_await stream_snapshots_.HandleRequest(exchange);
    co_return;
  }
  co_await store_watcher_.HandleRoutesRequest(exchange);
}

asio::awaitable<void> Gateway::HandleReadiness(HttpExchange& exchange) {
  const bool ready =
      store_watcher_.has_synced() && crash_records_.loaded() && !fleet_.drain.has_begun();
  co_await exchange.Respond(ready ? 200 : 503, {}, {});
}

asio::awaitable<void> Gateway::HandleMetrics(HttpExchange& exchange) {
  dropped_lines_.Update(Logger::dropped_lines());
  memory_->Publish();
  co_await exchange.Respond(200, ContentType("text/plain; version=0.0.4"),
                            fleet_.metrics.RenderText());
}

asio::awaitable<void> Gateway::HousekeepingLoop() {
  while (true) {
    connections_.Expire(BootNow());
    fleet_.OnStoreEra(adapters_.store->era());
    fleet_.metrics.GetGauge("savoryglade_gateway_active_requests").Set(fleet_.active_requests);
    PublishOpenWork(MakeOpenWork());
    fleet_.metrics.GetGauge("savoryglade_gateway_uneven_engines")
        .Set(fleet_.load_balancer.UnevenEngines());
    fleet_.metrics.GetGauge("savoryglade_gateway_recorded_streams")
        .Set(static_cast<std::int64_t>(fleet_.stream_versions.size()));
    memory_->Publish();
    Logger::Flush();
    dropped_lines_.Update(Logger::dropped_lines());
    co_await Sleep(kHousekeepingInterval);
  }
}

void Gateway::ApplyRequestLimits(const RequestLimits& request_limits) {
  HttpLimits limits = CallerLimits(fleet_.settings);
  limits.header_size = request_limits.header_size;
  limits.body_size = request_limits.body_size;
  limits.idle_timeout = request_limits.idle_timeout;
  limits.read_timeout = std::max(request_limits.header_timeout, kReadTimeout);
  callers_.SetLimits(limits);
}

void Gateway::ApplySettings(const GatewaySettings& settings) {
  asio::post(pool_.context(0), [this, settings] {
    GatewaySettings others = settings;
    others.bounds = fleet_.settings.bounds;
    others.peers.port = fleet_.settings.peers.port;
    if (others != fleet_.settings) {
      kLog.Warning(
          "Settings other than the bounds have changed; they take effect after a restart.");
    }
    if (const auto bound = FindImpossibleBound(fleet_.settings.bounds, settings.bounds)) {
      kLog.Warning("The bounds stay as they are, because a new one is impossible.",
                   {{"bound", *bound}});
    } else if (settings.bounds != fleet_.settings.bounds) {
      fleet_.settings.bounds = settings.bounds;
      fleet_.ApplyBounds();
      kLog.Info("Applied new bounds from the settings.");
    }
  });
}

void Gateway::BeginDrain(TimePoint ordered_at) {
  // Applies at once to the requests that the event loop handles before the function that is posted.
  if (!fleet_.drain.Begin(ordered_at)) {
    return;
  }
  asio::post(pool_.context(0), [this] {
    LogDrain("The gateway starts to drain.", MakeOpenWork());
    const TimePoint now = BootNow();
    if (fleet_.drain.IsLate(now)) {
      kLog.Warning("The gateway noticed the stop order late.",
                   {{"ms", fleet_.drain.Elapsed(now) / 1ms}});
    }
    duty_runner_.Release();
    asio::co_spawn(pool_.context(0), DrainLoop(), [](const std::exception_ptr& failure) {
      if (failure) {
        std::rethrow_exception(failure);
      }
    });
  });
}

OpenWork Gateway::MakeOpenWork() const {
  const std::size_t peer_requests = peer_requests_.active_exchanges();
  const auto tunnels = static_cast<std::size_t>(tunnels_.open_tunnels());
  return {.reading = callers_.partial_requests(),
          .requests = fleet_.active_requests,
          .tunnels = tunnels_.open_tunnels(),
          .transfers = peer_requests - std::min(peer_requests, tunnels),
          .undelivered = callers_.undelivered_responses(),
          .connections = callers_.open_connections()};
}

void Gateway::PublishOpenWork(const OpenWork& work) {
  const auto publish = [this](const char* kind, auto count) {
    fleet_.metrics.GetGauge("savoryglade_gateway_open_work", {{"kind", kind}})
        .Set(static_cast<std::int64_t>(count));
  };
  publish("reading", work.reading);
  publish("requests", work.requests);
  publish("tunnels", work.tunnels);
  publish("transfers", work.transfers);
  publish("undelivered", work.undelivered);
  publish("connections", work.connections);
  fleet_.metrics.GetGauge("savoryglade_gateway_drain_stage")
      .Set(static_cast<std::int64_t>(fleet_.drain.stage()));
}

void Gateway::LogDrain(std::string_view message, const OpenWork& work) const {
  kLog.Info(message, {{"reading", work.reading},
                      {"requests", work.requests},
                      {"tunnels", work.tunnels},
                      {"transfers", work.transfers},
                      {"undelivered", work.undelivered},
                      {"connections", work.connections},
                      {"ms", fleet_.drain.Elapsed(BootNow()) / 1ms}});
}

asio::awaitable<void> Gateway::DrainLoop() {
  bool closing = false;
  bool interrupted = false;
  while (true) {
    const OpenWork work = MakeOpenWork();
    const DrainStage stage = fleet_.drain.Advance(work, BootNow());
    PublishOpenWork(work);
    if (stage == DrainStage::kFinished) {
      relay_.LogUnfinished();
      LogDrain("The gateway has finished draining.", work);
      break;
    }
    if (!closing && stage == DrainStage::kClosing) {
      closing = true;
      LogDrain("The gateway accepts no more requests and closes its connections.", work);
      callers_.Close();
    }
    if (!interrupted && fleet_.drain.interrupted()) {
      interrupted = true;
      LogDrain("The gateway interrupts the requests in progress.", work);
    }
    if (interrupted) {
      open_attempts_.CloseAll();
    }
    co_await Sleep(kDrainCheckInterval);
  }
  drained_ = true;
}

bool Gateway::DrainFinished() const { return drained_.load(); }

void Gateway::Stop() {
  pool_.Stop();
  background_.Stop();
}

}  // namespace savoryglade::gateway
