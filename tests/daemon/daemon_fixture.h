#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/daemon.h"
#include "emulator/caller_connection.h"
#include "emulator/engine.h"
#include "emulator/plain_service.h"
#include "net/endpoint.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {

// Emulated engine with its own HTTP server.
struct EngineServer {
  explicit EngineServer(EngineOptions options = {.time_to_first_token = 1ms, .step_interval = 1ms});
  ~EngineServer() { pool.Stop(); }

  Engine engine;
  WorkerPool pool{1};
  HttpServer server;
  Endpoint endpoint;
};

// Emulated plain service with its own HTTP server.
struct PlainServiceServer {
  PlainServiceServer();
  ~PlainServiceServer() { pool.Stop(); }

  PlainService service;
  WorkerPool pool{1};
  HttpServer server;
  Endpoint endpoint;
};

// Upstreams, limits and dependencies of a daemon under test.
struct TestDaemonOptions {
  std::vector<Endpoint> engines;
  std::vector<Endpoint> plain;
  int concurrency = 8;
  std::string deadline = "60s";
  DaemonDependencies dependencies;
  CallerLimits limits;
};

// Returns the configuration of a daemon that StartDaemon starts with these options.
std::string MakeConfigurationJson(const TestDaemonOptions& options);

// Starts a daemon with the model service "assistant" and the plain service "orders", whose POST
// /orders/confirmations is may-not-repeat.
std::unique_ptr<Daemon> StartDaemon(TestDaemonOptions options);

// Returns a chat completion request, streamed by default.
std::string MakeChatRequest(int tokens, std::string_view headers = {}, bool stream = true);

// Returns a request with the bearer key of the test's client account.
std::string MakePlainRequest(std::string_view method, std::string_view path,
                             std::string_view headers = {}, std::string_view body = {});

// Returns the stream of a chat completion from a daemon and an engine without faults.
std::string ReferenceStream(int tokens, std::string_view headers);

// Waits until a condition that another thread changes is true. Fails the test after 30 seconds.
void WaitFor(const std::function<bool()>& condition);

}  // namespace savoryglade
