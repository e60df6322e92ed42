#include "tests/daemon/daemon_fixture.h"

#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <fstream>
#include <thread>
#include <utility>

#include "config/account_keys.h"
#include "gtest/gtest.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string MakeUpstreamsJson(const TestDaemonOptions& options) {
  std::string text;
  const auto add = [&](const Endpoint& endpoint, const char* service) {
    text += fmt::format(
        R"({}{{"name":"{}-{}","service":"{}","port":{},"failure_domain":"verona","concurrency":{}}})",
        text.empty() ? "" : ",", service, endpoint.port, service, endpoint.port,
        options.concurrency);
  };
  for (const Endpoint& endpoint : options.engines) {
    add(endpoint, "assistant");
  }
  for (const Endpoint& endpoint : options.plain) {
    add(endpoint, "orders");
  }
  return text;
}

}  // namespace

EngineServer::EngineServer(EngineOptions options)
    : engine(options),
      server(pool, HttpLimits{},
             [this](HttpExchange& exchange) { return engine.Handle(exchange); }),
      endpoint(*server.Listen({.address = "127.0.0.1", .port = 0})) {}

PlainServiceServer::PlainServiceServer()
    : server(pool, HttpLimits{},
             [this](HttpExchange& exchange) { return service.Handle(exchange); }),
      endpoint(*server.Listen({.address = "127.0.0.1", .port = 0})) {}

std::string MakeConfigurationJson(const TestDaemonOptions& options) {
  return fmt::format(
      R"({{"version":1,"services":[{{"name":"assistant","deadline":"{0}"}},
          {{"name":"orders","kind":"plain","path_prefix":"/orders","deadline":"{0}",
            "may_not_repeat":[{{"method":"POST","path":"/orders/confirmations"}}]}}],
          "client_accounts":[{{"name":"drivers","key_sha256":"{1}"}}],
          "upstreams":[{2}]}})",
      options.deadline, Sha256Hex("key"), MakeUpstreamsJson(options));
}

std::unique_ptr<Daemon> StartDaemon(TestDaemonOptions options) {
  static std::atomic<int> next_number{1};
  const int number = next_number.fetch_add(1);
  const std::string path =
      fmt::format("{}savoryglade_path_{}_{}.json", testing::TempDir(), ::getpid(), number);
  std::ofstream(path) << MakeConfigurationJson(options);
  Settings settings;
  settings.daemon = DaemonId(fmt::format("daemon-{}", number));
  settings.callers_address = "127.0.0.1:0";
  settings.administration_address = "127.0.0.1:0";
  settings.configuration_file = path;
  settings.caller_limits = options.limits;
  auto daemon = std::make_unique<Daemon>(settings, std::move(options.dependencies));
  const Result<void> started = daemon->Start();
  std::remove(path.c_str());
  EXPECT_TRUE(started) << (started ? "" : started.error().message);
  return daemon;
}

std::string MakeChatRequest(int tokens, std::string_view headers, bool stream) {
  return MakePlainRequest(
      "POST", "/v1/chat/completions", headers,
      fmt::format(R"({{"model":"assistant","stream":{},"max_tokens":{},)"
                  R"("messages":[{{"role":"user","content":"Check the shutter"}}]}})",
                  stream, tokens));
}

std::string MakePlainRequest(std::string_view method, std::string_view path,
                             std::string_view headers, std::string_view body) {
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: savoryglade\r\nAuthorization: Bearer key\r\n{}Content-Length: "
      "{}\r\n\r\n{}",
      method, path, headers, body.size(), body);
}

std::string ReferenceStream(int tokens, std::string_view headers) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(tokens, headers));
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.status(), 200U);
  return caller.body();
}

void WaitFor(const std::function<bool()>& condition) {
  const TimePoint limit = std::chrono::steady_clock::now() + 30s;
  while (!condition()) {
    ASSERT_LT(std::chrono::steady_clock::now(), limit) << "timed out waiting for the condition";
    std::this_thread::yield();
  }
}

}  // namespace savoryglade
