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

// Administration API for operators.
//
//   GET /metrics
//   GET /v1/status[?wait_for_version=N&wait_for_members=M]  waits at most 30 s, then answers 504
//   GET /v1/configuration       the document in force; ETag is its version
//   POST /v1/drain              the daemon takes no new work and stops when nothing is in flight
//   PUT /v1/configuration       If-Match: the version that the operator started from
//       200 {"version"}                         accepted and durable
//       400 {"error"}                           faults of the document, one a line
//       409 {"error", "version", "changed"}     others changed what is named
//       428 {"error"}                           If-Match is missing
//       503 {"error"}                           not applied, the platform is unavailable
//       504 {"error", "change_id"}              the outcome is unknown
class AdministrationHandler {
 public:
  AdministrationHandler(PlatformConfigService& platform, const ConfigHolder& configuration,
                        MetricRegistry& metrics)
      : platform_(platform), configuration_(configuration), metrics_(metrics) {}

  // Requires this bearer key from now on. To be called before the first request.
  void SetOperatorKey(std::string key) { operator_key_ = std::move(key); }
  bool has_operator_key() const { return !operator_key_.empty(); }

  // Called when an operator asks the daemon to drain. To be set before the first request.
  void SetDrainHandler(std::function<void()> handler) { drain_ = std::move(handler); }

  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> PutConfiguration(HttpExchange& exchange);
  boost::asio::awaitable<void> GetStatus(HttpExchange& exchange, std::string query);

  PlatformConfigService& platform_;
  const ConfigHolder& configuration_;
  MetricRegistry& metrics_;
  std::string operator_key_;
  std::function<void()> drain_;
};

}  // namespace savoryglade
