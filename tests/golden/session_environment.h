#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/daemon.h"
#include "emulator/engine.h"
#include "emulator/plain_service.h"
#include "emulator/platform_service.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "tests/golden/session_script.h"

namespace savoryglade {

// Runs the steps of a session against daemons and emulated upstreams inside the test
// process. The system chooses the ports; the output contains names instead, so that it does not
// vary between runs.
class SessionEnvironment {
 public:
  SessionEnvironment();
  ~SessionEnvironment();
  SessionEnvironment(const SessionEnvironment&) = delete;
  SessionEnvironment& operator=(const SessionEnvironment&) = delete;

  // Runs one step and returns its output, which is an error text for an unknown step.
  std::string Run(const SessionStep& step);

 private:
  using StepFunction = std::string (SessionEnvironment::*)(const SessionStep&);

  struct Upstream {
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<Engine> engine;
    std::unique_ptr<PlainService> plain;
    Endpoint endpoint;
  };

  static const std::map<std::string, StepFunction>& StepFunctions();

  std::string StartEngine(const SessionStep& step);
  std::string StartPlainService(const SessionStep& step);
  std::string StartDaemon(const SessionStep& step);
  std::string StartFleet(const SessionStep& step);
  std::string WaitForVersion(const SessionStep& step);
  std::string SetPlatformFault(const SessionStep& step);
  std::string SetEngineFault(const SessionStep& step);
  std::string DrainDaemon(const SessionStep& step);
  std::string SendCall(const SessionStep& step);
  std::string ShowConfiguration(const SessionStep& step);
  std::string RunOperatorCommand(const SessionStep& step);
  std::string ShowCounters(const SessionStep& step);
  std::string ShowRunCount(const SessionStep& step);

  // Replaces "{port:NAME}" with the port of an upstream and "{key:TEXT}" with the SHA-256 of a key.
  std::string Expand(std::string text) const;
  // Replaces the ports of upstreams with "{port:NAME}", their addresses with "{address:NAME}" and
  // generated keys with a placeholder.
  std::string Normalize(std::string text) const;
  Daemon& TargetDaemon(const SessionStep& step);
  Result<HttpResponse> SendRequest(const Endpoint& endpoint, HttpRequest request);

  // Uses one thread, because a connection on another thread would outlive the listener's context.
  WorkerPool upstream_workers_{1};
  std::unique_ptr<PlatformService> platform_;
  std::unique_ptr<HttpServer> platform_server_;
  std::map<std::string, Upstream> upstreams_;
  std::map<std::string, std::unique_ptr<Daemon>> daemons_;
};

}  // namespace savoryglade
