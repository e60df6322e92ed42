#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "core/error.h"
#include "daemon/active_requests.h"
#include "daemon/administration_handler.h"
#include "daemon/claim_gate.h"
#include "daemon/config_holder.h"
#include "daemon/dispatcher.h"
#include "daemon/peer_exchange.h"
#include "daemon/platform_config_service.h"
#include "daemon/request_handler_context.h"
#include "daemon/request_metrics.h"
#include "daemon/retry_strategy.h"
#include "daemon/stream_directory.h"
#include "daemon/upstream_client_options.h"
#include "metrics/registry.h"
#include "net/endpoint.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {

// Parts of a daemon that others may provide. Those left null are made by the daemon, in memory.
struct DaemonDependencies {
  UpstreamClientOptions path;
  std::shared_ptr<StreamDirectory> streams;
  std::shared_ptr<ClaimGate> claims;
  std::shared_ptr<RetryStrategy> retries;
  // Called when an operator asks the daemon to drain; without it the daemon only begins to drain.
  std::function<void()> on_drain_requested;
};

// The daemon of one entry VM: listeners for callers and operators over the shared tables.
class Daemon {
 public:
  explicit Daemon(Settings settings, DaemonDependencies parts = {});
  // Stops at once: connections are closed and requests in flight are cut off.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts listening. The error names what could not be read or opened.
  Result<void> Start();

  // Stops taking work: the health answer turns to draining and new requests are refused.
  void BeginDrain();

  // Ends the requests that are still in flight after this time, streams with a resume event.
  void StartDrainTimeout(Duration limit);

  // Returns true if no request is in flight.
  bool drained() const { return callers_.active_exchanges() == 0; }

  // Stops listening and the workers.
  void Stop();

  // Begins to drain, waits until no request is in flight, then stops.
  void Drain();

  // Counters of this daemon.
  MetricRegistry& metrics() { return metrics_; }

  // Endpoints in use; valid after Start.
  const Endpoint& callers_endpoint() const { return callers_endpoint_; }
  const Endpoint& administration_endpoint() const { return administration_endpoint_; }
  const Endpoint& peers_endpoint() const { return peers_endpoint_; }

 private:
  boost::asio::awaitable<void> HandleCaller(HttpExchange& exchange);
  boost::asio::awaitable<void> TickLoop();
  void StartClaimsAndExchange();
  RequestKey MakeKey();
  RequestHandlerContext MakeServices();

  Settings settings_;
  MetricRegistry metrics_;
  RequestMetrics request_metrics_;
  DaemonDependencies parts_;
  ActiveRequests active_;
  ConfigHolder configuration_;
  Dispatcher dispatcher_;
  std::atomic<bool> draining_{false};
  std::atomic<std::uint64_t> next_key_{1};
  Endpoint callers_endpoint_;
  Endpoint administration_endpoint_;
  Endpoint peers_endpoint_;
  WorkerPool pool_;
  // One for each worker.
  std::vector<std::unique_ptr<ConnectionPool>> connections_;
  PlatformConfigService platform_;
  AdministrationHandler administration_handler_;
  std::unique_ptr<PeerExchange> peer_exchange_;
  HttpServer callers_;
  HttpServer administration_;
};

}  // namespace savoryglade
