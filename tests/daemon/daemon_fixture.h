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

// Emulated engine behind a listener of its own.
struct EngineServer {
  explicit EngineServer(EngineOptions options = {.time_to_first_token = 1ms, .step_interval = 1ms});
  ~EngineServer() { pool.Stop(); }

  Engine engine;
  WorkerPool pool{1};
  HttpServer server;
  Endpoint endpoint;
};

// Emulated plain service behind a listener of its own.
struct PlainServiceServer {
  PlainServiceServer();
  ~PlainServiceServer() { pool.Stop(); }

  PlainService service;
  WorkerPool pool{1};
  HttpServer server;
  Endpoint endpoint;
};

// What a test configures of a daemon.
struct TestDaemonOptions {
  std::vector<Endpoint> engines;
  std::vector<Endpoint> plain;
  int concurrency = 8;
  std::string deadline = "60s";
  DaemonDependencies parts;
  CallerLimits limits;
};

// Starts a daemon with the model service "assistant" and the plain service "orders", whose POST
// /orders/confirmations may not be repeated.
std::unique_ptr<Daemon> StartDaemon(TestDaemonOptions setup);

// Returns a request for a streamed chat completion.
std::string MakeChatRequest(int tokens, std::string_view headers = {}, bool stream = true);

// Returns a request of the plain service.
std::string MakePlainRequest(std::string_view method, std::string_view path,
                             std::string_view headers = {}, std::string_view body = {});

// Returns the stream of a chat call through an undisturbed daemon and engine.
std::string ReferenceStream(int tokens, std::string_view headers);

// Waits until a condition on another thread's work holds. Fails the test after 30 seconds.
void WaitFor(const std::function<bool()>& condition);

}  // namespace savoryglade
