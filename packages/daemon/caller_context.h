#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "config/configuration.h"
#include "core/strong_id.h"
#include "core/verdict.h"
#include "daemon/config_holder.h"
#include "daemon/dispatcher.h"
#include "metrics/registry.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace savoryglade {

// What the handlers of callers' requests share.
struct CallerServices {
  ConfigHolder& configuration;
  Dispatcher& dispatcher;
  MetricRegistry& metrics;
};

// One authenticated request.
struct CallerRequest {
  ConfigHolder::Snapshot configuration;
  const AccountConfig& account;
  const ServiceConfig& service;
  RequestKey key;
};

// Answers a request that got no whole answer: status, Retry-After, the reason and the verdict in
// headers and body.
boost::asio::awaitable<void> RespondWithVerdict(HttpExchange& exchange, const RequestKey& key,
                                                const Verdict& verdict, MetricRegistry& metrics);

// Returns the HTTP status for a reason.
unsigned StatusOf(Reason reason);

}  // namespace savoryglade
