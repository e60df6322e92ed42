#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/caller_connection.h"
#include "emulator/store_service.h"
#include "emulator/worker_service.h"
#include "gateway/gateway.h"
#include "platform/duty_client.h"
#include "platform/engine_client.h"
#include "platform/header_codec.h"
#include "platform/store_client.h"

namespace savoryglade::gateway {

inline constexpr const char* kLocal = "127.0.0.1";
inline constexpr const char* kApiKey = "drivers-key";

// HTTP server for an emulated service.
template <typename Service>
struct ServiceServer {
  template <typename... Arguments>
  explicit ServiceServer(Arguments&&... arguments)
      : service(std::forward<Arguments>(arguments)...),
        server(pool, HttpLimits{},
               [this](HttpExchange& exchange) { return service.Handle(exchange); }),
        endpoint(*server.Listen({.address = kLocal, .port = 0})) {}
  ~ServiceServer() { pool.Stop(); }

  Service service;
  WorkerPool pool{1};
  HttpServer server;
  Endpoint endpoint;
};

// Runs one gateway with workers and a store that use the platform's protocol.
class GatewayFixture : public testing::Test {
 protected:
  explicit GatewayFixture(int worker_count = 2) {
    for (int i = 0; i < worker_count; ++i) {
      workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(i)));
      RegisterWorker(i, "ready");
    }
    StartGateway();
  }

  // Starts the gateway, or a new process in its place.
  void StartGateway() {
    gateway_.reset();
    gateway_ = MakeGateway("daemon-1", store_.endpoint);
  }

  static FleetBounds TestBounds() { return {.upstream_drain = 50ms, .retry_allowance = 100}; }

  using CodecFactory = std::function<std::unique_ptr<MessageCodec>()>;

  static std::unique_ptr<MessageCodec> MakeHeaderCodec() {
    return std::make_unique<platform::HeaderCodec>();
  }

  // Starts a gateway that reads the store at this endpoint.
  static std::unique_ptr<Gateway> MakeGateway(const std::string& daemon, const Endpoint& store,
                                              const FleetBounds& bounds = TestBounds(),
                                              const std::string& source_address = {},
                                              const CodecFactory& make_codec = MakeHeaderCodec) {
    GatewaySettings settings{.daemon = DaemonId(daemon),
                             .failure_domain = FailureDomainId("verona"),
                             .source_address = source_address};
    for (Endpoint* endpoint :
         {&settings.callers, &settings.readiness, &settings.peers, &settings.metrics}) {
      *endpoint = {.address = kLocal, .port = 0};
    }
    settings.store = store;
    settings.duties = store;
    settings.bounds = bounds;
    settings.rolls_out = bounds.rollback > Duration::zero();
    auto gateway = std::make_unique<Gateway>(
        settings, [settings, make_codec](BackgroundWorker& background, MetricRegistry& metrics) {
          return GatewayAdapters{
              .codec = make_codec(),
              .store = std::make_unique<platform::StoreClient>(settings.store, background, metrics),
              .duties = std::make_unique<platform::DutyClient>(settings.duties, metrics),
              .engines = std::make_unique<platform::EngineClient>(metrics)};
        });
    EXPECT_TRUE(gateway->Start());
    return gateway;
  }

  static std::string WorkerName(int i) { return fmt::format("worker-{}", i); }

  void RegisterWorker(int i, const char* state) {
    RegisterUpstream(WorkerName(i), workers_[static_cast<std::size_t>(i)]->endpoint, state);
  }

  void RegisterUpstream(const std::string& name, const Endpoint& endpoint, const char* state) {
    store_.service.Put("servers", name, Registration(endpoint, state));
  }

  static std::string Registration(const Endpoint& endpoint, const char* state) {
    return fmt::format(R"({{"service":"s","address":"{}","zone":"verona","slots":4,"state":"{}"}})",
                       ToString(endpoint), state);
  }

  void PutRoutes(int version, const std::string& more_routes = {}) {
    store_.service.Put("op", "config", RouteDocumentText(version, more_routes));
  }

  static std::string RouteDocumentText(int version, const std::string& more_routes) {
    return fmt::format(R"({{"version":{},"routes":[
{{"name":"reads","host":"h","prefix":"/reads/","route_kind":"idempotent","timeout_ms":3000,"goal_ms":1000,"service":"s","max_attempts":2}},
{{"name":"orders","host":"h","prefix":"/orders/","route_kind":"non_idempotent","timeout_ms":3000,"service":"s","max_attempts":1}},
{{"name":"chats","host":"h","prefix":"/stream/","route_kind":"streaming","timeout_ms":5000,"service":"s","max_attempts":2,"resumable":true}},
{{"name":"once","host":"h","prefix":"/once/","route_kind":"streaming","timeout_ms":5000,"service":"s","max_attempts":1}}{}],
"services":[{{"name":"s","engine":{{"slots":4,"moves":true}}}}],"tenants":[{{"name":"drivers","api_keys":["{}"]}}]}})",
                       version, more_routes, kApiKey);
  }

  // Waits until the gateway's readiness check succeeds.
  void WaitUntilReady() { WaitUntilReady(*gateway_); }
  static void WaitUntilReady(const Gateway& gateway) {
    while (
        SendText(gateway.readiness_endpoint(), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status !=
        200) {
    }
  }

  struct Response {
    unsigned status = 0;
    bool complete = false;
    std::string body;
    std::string seal;
    std::string reason;
    std::string attempt;
    std::string retry_after;
  };

  static Response SendText(const Endpoint& endpoint, const std::string& text) {
    CallerConnection connection(endpoint);
    return SendText(connection, text);
  }

  static Response SendText(CallerConnection& connection, const std::string& text) {
    connection.Send(text);
    Response response;
    response.complete = connection.ReadAll();
    response.status = connection.status();
    response.body = connection.body();
    response.seal = connection.Header("Response-Seal");
    response.reason = connection.Header("Savoryglade-Reason");
    response.attempt = connection.Header("Attempt-Id");
    response.retry_after = connection.Header("Retry-After");
    return response;
  }

  static std::string FormatRequest(const std::string& method, const std::string& path,
                                   const std::string& attempt, const std::string& key = kApiKey,
                                   const std::string& body = "") {
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {}\r\nDeadline-Ms: 2500\r\n"
        "Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{}",
        method, path, attempt, key, body.size(), body);
  }

  Response SendRequest(const std::string& method, const std::string& path,
                       const std::string& attempt, const std::string& key = kApiKey,
                       const std::string& body = "") {
    return SendText(gateway_->callers_endpoint(), FormatRequest(method, path, attempt, key, body));
  }

  // Returns the gateway's metrics as text.
  std::string Metrics() const {
    return SendText(gateway_->metrics_endpoint(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").body;
  }

  void SetFaults(WorkerFault fault, int count) {
    for (const auto& worker : workers_) {
      worker->service.SetFault(fault, count);
    }
  }

  int RunCount(const std::string& attempt) const {
    int runs = 0;
    for (const auto& worker : workers_) {
      runs += worker->service.RunCount(attempt);
    }
    return runs;
  }

  // Returns the number of runs of all attempts at all workers.
  int TotalRuns() const {
    int runs = 0;
    for (const auto& worker : workers_) {
      runs += worker->service.runs();
    }
    return runs;
  }

  static std::string CompleteStream() {
    std::string text;
    for (int event = 1; event <= WorkerService::kEventsPerStream; ++event) {
      text += fmt::format("id: {}\ndata: token {}\n\n", event, event);
    }
    return text;
  }

  ServiceServer<StoreService> store_;
  std::vector<std::unique_ptr<ServiceServer<WorkerService>>> workers_;
  std::unique_ptr<Gateway> gateway_;
};

}  // namespace savoryglade::gateway
