#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "config/configuration.h"
#include "core/strong_id.h"
#include "core/verdict.h"
#include "daemon/active_requests.h"
#include "daemon/claim_gate.h"
#include "daemon/config_holder.h"
#include "daemon/dispatcher.h"
#include "daemon/request_metrics.h"
#include "daemon/retry_strategy.h"
#include "daemon/stream_directory.h"
#include "daemon/upstream_client_options.h"
#include "metrics/registry.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace savoryglade {

// What the handlers of callers' requests share. The connection pool is that of the worker.
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
};

// One authenticated request.
struct AuthenticatedRequest {
  ConfigHolder::Snapshot configuration;
  const AccountConfig& account;
  const ServiceConfig& service;
  RequestKey key;
  // True if the caller sent the key, so that it can resume or resend the request.
  bool has_idempotency_key = false;
};

// Answers a request that got no whole answer: status, Retry-After, the reason and the verdict in
// headers and body.
boost::asio::awaitable<void> RespondWithVerdict(HttpExchange& exchange, const RequestKey& key,
                                                const Verdict& verdict, MetricRegistry& metrics);

// Returns the HTTP status for a reason.
unsigned HttpStatusOf(Reason reason);

}  // namespace savoryglade
