#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <utility>

#include "daemon/config_holder.h"
#include "daemon/platform_config_service.h"
#include "metrics/registry.h"
#include "net/http_server.h"

namespace savoryglade {

// Serves the administration HTTP API for operators.
//
//   GET /metrics
//   GET /v1/status[?wait_for_version=N&wait_for_members=M]  waits at most 30 s, then responds 504
//   GET /v1/configuration       the active configuration; ETag is its version
//   POST /v1/drain              rejects new requests, stops the daemon once none is in flight
//   PUT /v1/configuration       If-Match: the version that the change is based on
//       200 {"version"}                         accepted and durable
//       400 {"error"}                           validation errors, one per line
//       409 {"error", "version", "changed"}     the table has another version; names of the changes
//       428 {"error"}                           If-Match is missing or not a version
//       503 {"error"}                           not applied, the platform is unavailable
//       504 {"error", "change_id"}              the outcome is unknown
class AdministrationHandler {
 public:
  AdministrationHandler(PlatformConfigService& platform, const ConfigHolder& configuration,
                        MetricRegistry& metrics)
      : platform_(platform), configuration_(configuration), metrics_(metrics) {}

  // Sets the bearer key that each request must carry. Must be called before the first request.
  void SetOperatorKey(std::string key) { operator_key_ = std::move(key); }
  bool has_operator_key() const { return !operator_key_.empty(); }

  // Sets the callback for drain requests. Must be called before the first request.
  void SetDrainHandler(std::function<void()> handler) { on_drain_requested_ = std::move(handler); }

  // Handles one request and sends the response.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);
  // Refuses a request whose body has not been read, if its head alone shows that no resource takes
  // it. Returns true if a response has been sent.
  boost::asio::awaitable<bool> RefuseByHead(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> PutConfiguration(HttpExchange& exchange);
  boost::asio::awaitable<void> GetStatus(HttpExchange& exchange, std::string query);

  PlatformConfigService& platform_;
  const ConfigHolder& configuration_;
  MetricRegistry& metrics_;
  std::string operator_key_;
  std::function<void()> on_drain_requested_;
};

}  // namespace savoryglade
