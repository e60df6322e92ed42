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
#include "daemon/crash_guard.h"
#include "daemon/dispatcher.h"
#include "daemon/peer_exchange.h"
#include "daemon/platform_config_service.h"
#include "daemon/request_handler_context.h"
#include "daemon/request_metrics.h"
#include "daemon/retry_strategy.h"
#include "daemon/stream_directory.h"
#include "daemon/upstream_client_options.h"
#include "metrics/dropped_line_counters.h"
#include "metrics/registry.h"
#include "net/endpoint.h"
#include "net/http_server.h"
#include "net/memory_budget.h"
#include "net/worker_pool.h"
#include "recovery/stop_sequence.h"

namespace savoryglade {

// Dependencies that a caller may inject into a daemon. The daemon creates those that are null.
struct DaemonDependencies {
  UpstreamClientOptions path;
  std::shared_ptr<StreamDirectory> streams;
  std::shared_ptr<ClaimGate> claims;
  std::shared_ptr<RetryStrategy> retries;
  StopLimits stop_limits;
};

// Daemon of one entry VM. Owns the listeners for callers and operators, the workers and the state
// that they share.
class Daemon {
 public:
  explicit Daemon(Settings settings, DaemonDependencies dependencies = {});
  // Stops immediately: closes all connections and aborts the requests in flight.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts listening. The error names what could not be read or opened.
  Result<void> Start();

  // Begins to drain: health checks report draining and new requests are rejected. When no request
  // is in flight, the daemon closes its listeners and ends its connections: idle ones at once,
  // those with a request that is being read after its refusal. Has no effect if the daemon drains
  // already.
  void BeginDrain();

  // Interrupts the requests that are still in flight after this time; streams end with a resume
  // event. Only the first call has an effect.
  void StartDrainTimeout(Duration timeout);

  // Returns true if the daemon has drained, as ordered by BeginDrain or by an operator, and can
  // stop: its listeners are closed, and the ends of all claims are written or the time for that has
  // passed.
  bool drained() const { return stop_.phase() == StopPhase::kGone; }

  // Stops the workers at once. Cuts off whatever drained() would have waited for.
  void Stop();

  // Begins to drain, waits until the daemon has drained, then stops.
  void Drain();

  // Metrics of this daemon.
  MetricRegistry& metrics() { return metrics_; }

  // Endpoints in use; valid after Start.
  const Endpoint& callers_endpoint() const { return callers_endpoint_; }
  const Endpoint& administration_endpoint() const { return administration_endpoint_; }
  const Endpoint& peers_endpoint() const { return peers_endpoint_; }

 private:
  boost::asio::awaitable<void> HandleCallerRequest(HttpExchange& exchange);
  // Refuses a request whose body has not been read, if its head alone shows that it can't be
  // served. Returns true if a response has been sent.
  boost::asio::awaitable<bool> RefuseByHead(HttpExchange& exchange);
  boost::asio::awaitable<void> TickLoop();
  void AdvanceStop();
  void StartClaimsAndPeerExchange();
  RequestKey MakeRequestKey();
  RequestHandlerContext MakeHandlerContext();

  Settings settings_;
  MetricRegistry metrics_;
  RequestMetrics request_metrics_;
  DroppedLineCounters dropped_lines_;
  // Shared by all listeners.
  std::shared_ptr<MemoryBudget> memory_;
  DaemonDependencies dependencies_;
  ActiveRequests active_requests_;
  ConfigHolder configuration_;
  Dispatcher dispatcher_;
  CrashGuard crashes_;
  StopSequence stop_;
  std::atomic<bool> drain_timeout_started_{false};
  std::atomic<std::uint64_t> next_request_number_{1};
  Endpoint callers_endpoint_;
  Endpoint administration_endpoint_;
  Endpoint peers_endpoint_;
  WorkerPool pool_;
  // Upstream connections, one pool for each worker.
  std::vector<std::unique_ptr<ConnectionPool>> connections_;
  PlatformConfigService platform_;
  AdministrationHandler administration_handler_;
  std::unique_ptr<PeerExchange> peer_exchange_;
  HttpServer caller_server_;
  HttpServer administration_server_;
};

}  // namespace savoryglade
