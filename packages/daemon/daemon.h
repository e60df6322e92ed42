#pragma once

#include <memory>
#include <string>

#include "config/settings.h"
#include "core/error.h"
#include "daemon/administration_handler.h"
#include "daemon/config_holder.h"
#include "daemon/dispatcher.h"
#include "daemon/platform_config_service.h"
#include "metrics/registry.h"
#include "net/endpoint.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {

// The daemon of one entry VM: listeners for callers and operators over the shared tables.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Starts listening. The error names what could not be read or opened.
  Result<void> Start();

  // Stops taking work, waits until no request is in flight, then stops the workers.
  void Drain();

  // Endpoints in use; valid after Start.
  const Endpoint& callers_endpoint() const { return callers_endpoint_; }
  const Endpoint& administration_endpoint() const { return administration_endpoint_; }
  const Endpoint& peers_endpoint() const { return peers_endpoint_; }

 private:
  boost::asio::awaitable<void> HandleCaller(HttpExchange& exchange);
  boost::asio::awaitable<void> TickLoop();
  RequestKey MakeKey(const HttpExchange& exchange);

  Settings settings_;
  MetricRegistry metrics_;
  ConfigHolder configuration_;
  Dispatcher dispatcher_;
  std::atomic<bool> draining_{false};
  std::atomic<std::uint64_t> next_key_{1};
  Endpoint callers_endpoint_;
  Endpoint administration_endpoint_;
  Endpoint peers_endpoint_;
  WorkerPool pool_;
  PlatformConfigService platform_;
  AdministrationHandler administration_handler_;
  HttpServer callers_;
  HttpServer administration_;
};

}  // namespace savoryglade
