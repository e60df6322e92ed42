#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "core/error.h"
#include "gateway/adapter.h"
#include "gateway/call_relay.h"
#include "gateway/capacity_controller.h"
#include "gateway/duty_runner.h"
#include "gateway/fleet_state.h"
#include "gateway/fleet_store_watcher.h"
#include "gateway/peer_report_transport.h"
#include "gateway/stream_migrator.h"
#include "gateway/upstream_connection_pool.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade::gateway {

// Translations of the platform that a gateway speaks with.
struct GatewayAdapters {
  std::unique_ptr<MessageCodec> codec;
  std::unique_ptr<FleetStore> store;
  std::unique_ptr<DutyApi> duties;
  std::unique_ptr<EngineApi> engines;
};

// Makes the adapters once the gateway's context exists.
using AdapterFactory = std::function<GatewayAdapters(boost::asio::io_context&, MetricRegistry&)>;

// The daemon of one entry VM behind the operators' routes. Runs on one worker thread.
class Gateway {
 public:
  Gateway(GatewaySettings settings, const AdapterFactory& make_adapters);
  // Stops at once: connections are closed and requests in flight are cut off.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Starts listening and following the store. The error names what could not be opened.
  Result<void> Start();

  // Endpoints in use; valid after Start.
  const Endpoint& callers_endpoint() const { return callers_endpoint_; }
  const Endpoint& readiness_endpoint() const { return readiness_endpoint_; }
  const Endpoint& metrics_endpoint() const { return metrics_endpoint_; }

  // Takes changed settings. Bounds are in force at once; other fields need a restart, and a log
  // line says so.
  void ApplySettings(const GatewaySettings& settings);

  // Turns the readiness answer to "no". Requests are still taken until the balancer has noticed.
  void BeginDrain();
  // Returns true once nothing is left to do, or the time of the stop is up.
  bool DrainFinished() const;
  void Stop();

 private:
  void ApplyBounds(const RequestLimits& bounds);
  boost::asio::awaitable<void> HandleReadiness(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleMetrics(HttpExchange& exchange);
  boost::asio::awaitable<void> DrainLoop();
  boost::asio::awaitable<void> HousekeepingLoop();

  WorkerPool pool_;
  FleetState fleet_;
  GatewayAdapters adapters_;
  UpstreamConnectionPool connections_;
  StreamMigrator migrator_;
  FleetStoreWatcher store_watcher_;
  PeerReportTransport report_transport_;
  DutyRunner duty_runner_;
  CapacityController capacity_controller_;
  CallRelay relay_;
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer metrics_;
  Endpoint callers_endpoint_;
  Endpoint readiness_endpoint_;
  Endpoint metrics_endpoint_;
  std::atomic<bool> drained_{false};
};

}  // namespace savoryglade::gateway
