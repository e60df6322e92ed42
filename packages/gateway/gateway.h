#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "core/error.h"
#include "gateway/adapter.h"
#include "gateway/call_relay.h"
#include "gateway/capacity_controller.h"
#include "gateway/crash_record_store.h"
#include "gateway/duty_runner.h"
#include "gateway/fleet_state.h"
#include "gateway/fleet_store_watcher.h"
#include "gateway/open_attempts.h"
#include "gateway/peer_report_transport.h"
#include "gateway/peer_tunnels.h"
#include "gateway/rollout_coordinator.h"
#include "gateway/stream_migrator.h"
#include "gateway/stream_snapshot_exchange.h"
#include "gateway/stream_version_store.h"
#include "gateway/upstream_connection_pool.h"
#include "gateway/upstream_connector.h"
#include "gateway/upstream_signal_recorder.h"
#include "metrics/dropped_line_counters.h"
#include "net/background_worker.h"
#include "net/http_server.h"
#include "net/memory_budget.h"
#include "net/worker_pool.h"

namespace savoryglade::gateway {

// Adapters to the platform that a gateway runs on.
struct GatewayAdapters {
  std::unique_ptr<MessageCodec> codec;
  std::unique_ptr<FleetStore> store;
  std::unique_ptr<DutyApi> duties;
  std::unique_ptr<EngineApi> engines;
};

// Creates the adapters, which may use the worker for as long as they live.
using AdapterFactory = std::function<GatewayAdapters(BackgroundWorker&, MetricRegistry&)>;

// Gateway daemon of one entry VM: serves callers by the operators' routes. Runs on one thread, and
// parses large documents on a second one.
class Gateway {
 public:
  Gateway(GatewaySettings settings, const AdapterFactory& make_adapters);
  // Stops immediately: closes all connections and aborts the requests in progress.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Starts the listeners and background loops. The error names the endpoint that failed to open.
  Result<void> Start();

  // Endpoints in use; valid after Start.
  const Endpoint& callers_endpoint() const { return callers_endpoint_; }
  const Endpoint& readiness_endpoint() const { return readiness_endpoint_; }
  const Endpoint& metrics_endpoint() const { return metrics_endpoint_; }
  const Endpoint& peers_endpoint() const { return peer_requests_endpoint_; }

  // Applies changed bounds immediately. Logs a warning if other settings have changed, because they
  // need a restart.
  void ApplySettings(const GatewaySettings& settings);

  // Starts to drain after a stop order of this time: the readiness check fails, and requests are
  // accepted until the load balancer has noticed. Then all connections are closed.
  void BeginDrain(TimePoint ordered_at);
  // Returns true once no connection of a caller is open and none is accepted, or the time to drain
  // is over.
  bool DrainFinished() const;
  void Stop();

 private:
  // Applies the operators' request limits to the callers' listener.
  void ApplyRequestLimits(const RequestLimits& request_limits);
  // Moves streams away from the upstream and withdraws requests that have not reached it.
  void OnUpstreamLeaving(const UpstreamId& upstream);
  // Responds to a request of another daemon.
  boost::asio::awaitable<void> HandlePeerRequest(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleReadiness(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleMetrics(HttpExchange& exchange);
  boost::asio::awaitable<void> DrainLoop();
  // Returns all that a drain waits for.
  OpenWork MakeOpenWork() const;
  void PublishOpenWork(const OpenWork& work);
  // Logs a step of the drain with the work that is in progress.
  void LogDrain(std::string_view message, const OpenWork& work) const;
  boost::asio::awaitable<void> HousekeepingLoop();

  WorkerPool pool_;
  BackgroundWorker background_;
  FleetState fleet_;
  DroppedLineCounters dropped_lines_;
  // Shared by all listeners.
  std::shared_ptr<MemoryBudget> memory_;
  GatewayAdapters adapters_;
  UpstreamConnectionPool connections_;
  StreamMigrator migrator_;
  OpenAttempts open_attempts_;
  UpstreamSignalRecorder signals_;
  FleetStoreWatcher store_watcher_;
  CrashRecordStore crash_records_;
  StreamSnapshotExchange stream_snapshots_;
  StreamVersionStore stream_version_store_;
  PeerReportTransport report_transport_;
  DutyRunner duty_runner_;
  CapacityController capacity_controller_;
  RolloutCoordinator rollouts_;
  UpstreamConnector connector_;
  PeerTunnels tunnels_;
  CallRelay relay_;
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer metrics_;
  HttpServer peer_requests_;
  Endpoint callers_endpoint_;
  Endpoint readiness_endpoint_;
  Endpoint metrics_endpoint_;
  Endpoint peer_requests_endpoint_;
  std::atomic<bool> drained_{false};
};

}  // namespace savoryglade::gateway
