#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <string>

#include "emulator/engine.h"
#include "emulator/plain_service.h"
#include "emulator/platform_service.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace {

using savoryglade::Endpoint;
using savoryglade::Engine;
using savoryglade::HttpExchange;
using savoryglade::HttpHandler;
using savoryglade::HttpLimits;
using savoryglade::HttpServer;
using savoryglade::PlainService;
using savoryglade::PlatformService;
using savoryglade::WorkerPool;

constexpr char kUsage[] =
    R"(savoryglade_standins: emulated upstreams and platform for tests, demo and bench.

Usage:
  savoryglade_standins engine --listen=ADDRESS [--first-token-ms=MS] [--token-ms=MS]
  savoryglade_standins plain --listen=ADDRESS
  savoryglade_standins platform --listen=ADDRESS
  savoryglade_standins --help

Options:
  --listen=ADDRESS     IP address and port.
  --first-token-ms=MS  Time to the first token [default: 20].
  --token-ms=MS        Time between tokens [default: 5].
)";

int Serve(const std::string& listen, HttpHandler handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto endpoint = savoryglade::ParseEndpoint(listen);
  if (!endpoint) {
    fmt::print(stderr, "--listen: {}\n", endpoint.error().message);
    return 2;
  }
  WorkerPool pool(1);
  HttpServer server(pool, HttpLimits{}, std::move(handler));
  const auto bound = server.Listen(*endpoint);
  if (!bound) {
    fmt::print(stderr, "{}\n", bound.error().message);
    return 1;
  }
  fmt::print(stderr, "info emulator: Ready. listen={}\n", savoryglade::ToString(*bound));
  int signal = 0;
  sigwait(&signals, &signal);
  pool.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const std::string listen = arguments.at("--listen").asString();
  if (arguments.at("plain").asBool()) {
    PlainService service;
    return Serve(listen, [&service](HttpExchange& exchange) { return service.Handle(exchange); });
  }
  if (arguments.at("platform").asBool()) {
    PlatformService service;
    return Serve(listen, [&service](HttpExchange& exchange) { return service.Handle(exchange); });
  }
  Engine engine(
      {.time_to_first_token = std::chrono::milliseconds(arguments.at("--first-token-ms").asLong()),
       .step_interval = std::chrono::milliseconds(arguments.at("--token-ms").asLong())});
  return Serve(listen, [&engine](HttpExchange& exchange) { return engine.Handle(exchange); });
}
