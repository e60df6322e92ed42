#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "config/configuration.h"
#include "core/strong_id.h"
#include "core/verdict.h"
#include "daemon/active_requests.h"
#include "daemon/claim_gate.h"
#include "daemon/config_holder.h"
#include "daemon/crash_guard.h"
#include "daemon/dispatcher.h"
#include "daemon/request_metrics.h"
#include "daemon/retry_strategy.h"
#include "daemon/stream_directory.h"
#include "daemon/upstream_client_options.h"
#include "metrics/registry.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace savoryglade {

// Components that the handlers of requests use. The connection pool belongs to the worker that runs
// the handler.
struct RequestHandlerContext {
  ConfigHolder& configuration;
  Dispatcher& dispatcher;
  MetricRegistry& metrics;
  RequestMetrics& request_metrics;
  const UpstreamClientOptions& upstream_options;
  ConnectionPool& connections;
  StreamDirectory& streams;
  ClaimGate& claims;
  RetryStrategy& retries;
  ActiveRequests& active_requests;
  CrashGuard& crashes;
};

// An authenticated request and the configuration that applies to it.
struct AuthenticatedRequest {
  ConfigHolder::Snapshot configuration;
  const AccountConfig& account;
  const ServiceConfig& service;
  RequestKey key;
  // By which the request is recognised if it crashes upstreams.
  RequestFingerprint fingerprint;
  // True if the caller sent the key, and can thus resume or resend the request.
  bool has_idempotency_key = false;
};

// Responds to a request that got no complete response: sends the HTTP status, Retry-After, and the
// reason and the verdict in headers and body.
boost::asio::awaitable<void> RespondWithVerdict(HttpExchange& exchange, const RequestKey& key,
                                                const Verdict& verdict, MetricRegistry& metrics);

// Returns the HTTP status for a reason.
unsigned HttpStatusOf(Reason reason);

}  // namespace savoryglade
