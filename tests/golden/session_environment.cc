#include "tests/golden/session_environment.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <optional>
#include <regex>
#include <sstream>
#include <thread>
#include <utility>

#include "admin/operator_client.h"
#include "config/account_keys.h"
#include "gtest/gtest.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr Duration kCallTimeout = 20s;
constexpr const char* kLoopback = "127.0.0.1";

std::string ReplaceAll(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

// Returns the response headers that are part of the callers' interface.
std::string PrintHeaders(const HttpResponse& response) {
  std::string text;
  for (const char* name : {"Savoryglade-Request", "Savoryglade-Verdict", "Savoryglade-Reason",
                           "Savoryglade-Replayed", "Retry-After"}) {
    const auto found = response.find(name);
    if (found != response.end()) {
      text += fmt::format("{}: {}\n", name, std::string(found->value()));
    }
  }
  return text;
}

std::string PrintResult(const Result<Configuration>& result) {
  if (!result) {
    return "error: " + result.error().message + "\n";
  }
  return PrintConfiguration(*result);
}

}  // namespace

SessionEnvironment::SessionEnvironment() = default;

SessionEnvironment::~SessionEnvironment() {
  for (auto& [name, daemon] : daemons_) {
    daemon.reset();
  }
  upstream_workers_.Stop();
}

const std::map<std::string, SessionEnvironment::StepFunction>& SessionEnvironment::StepFunctions() {
  static const std::map<std::string, StepFunction> kSteps = {
      {"engine", &SessionEnvironment::StartEngine},
      {"plain", &SessionEnvironment::StartPlainService},
      {"daemon", &SessionEnvironment::StartDaemon},
      {"drain", &SessionEnvironment::DrainDaemon},
      {"fleet", &SessionEnvironment::StartFleet},
      {"wait", &SessionEnvironment::WaitForVersion},
      {"platform", &SessionEnvironment::SetPlatformFault},
      {"engine-fault", &SessionEnvironment::SetEngineFault},

      {"call", &SessionEnvironment::SendCall},
      {"configuration", &SessionEnvironment::ShowConfiguration},
      {"operator", &SessionEnvironment::RunOperatorCommand},
      {"counters", &SessionEnvironment::ShowCounters},
      {"runs", &SessionEnvironment::ShowRunCount},
  };
  return kSteps;
}

std::string SessionEnvironment::Run(const SessionStep& step) {
  const auto found = StepFunctions().find(step.Word(0));
  if (found == StepFunctions().end()) {
    return fmt::format("unknown step \"{}\"\n", step.Word(0));
  }
  return Normalize((this->*found->second)(step));
}

// engine NAME: starts an emulated engine.
std::string SessionEnvironment::StartEngine(const SessionStep& step) {
  Upstream& upstream = upstreams_[step.Word(1)];
  upstream.engine = std::make_unique<Engine>(EngineOptions{});
  upstream.server = std::make_unique<HttpServer>(
      upstream_workers_, HttpLimits{},
      [engine = upstream.engine.get()](HttpExchange& e) { return engine->Handle(e); });
  upstream.endpoint = *upstream.server->Listen({.address = kLoopback});
  return "";
}

// plain NAME: starts an emulated plain service.
std::string SessionEnvironment::StartPlainService(const SessionStep& step) {
  Upstream& upstream = upstreams_[step.Word(1)];
  upstream.plain = std::make_unique<PlainService>();
  upstream.server = std::make_unique<HttpServer>(
      upstream_workers_, HttpLimits{},
      [plain = upstream.plain.get()](HttpExchange& e) { return plain->Handle(e); });
  upstream.endpoint = *upstream.server->Listen({.address = kLoopback});
  return "";
}

// daemon NAME [domain=FAILURE-DOMAIN]: starts a daemon with the body as its first configuration.
std::string SessionEnvironment::StartDaemon(const SessionStep& step) {
  Settings settings;
  settings.daemon = DaemonId(step.Word(1));
  settings.failure_domain = FailureDomainId(step.Option("domain", "local"));
  settings.callers_address = "127.0.0.1:0";
  settings.administration_address = "127.0.0.1:0";
  const std::string file = testing::TempDir() + "/" + step.Word(1) + "-configuration.json";
  if (!step.body.empty()) {
    std::ofstream(file, std::ios::binary) << Expand(step.body);
    settings.configuration_file = file;
  }
  auto daemon = std::make_unique<Daemon>(settings);
  const Result<void> started = daemon->Start();
  if (!started) {
    return "error: " + started.error().message + "\n";
  }
  daemons_[step.Word(1)] = std::move(daemon);
  return "";
}

// fleet NAME=FAILURE-DOMAIN...: starts daemons that share an emulated platform over HTTP.
std::string SessionEnvironment::StartFleet(const SessionStep& step) {
  platform_ = std::make_unique<PlatformService>();
  platform_server_ = std::make_unique<HttpServer>(
      upstream_workers_, HttpLimits{},
      [platform = platform_.get()](HttpExchange& e) { return platform->Handle(e); });
  const Endpoint endpoint = *platform_server_->Listen({.address = kLoopback});
  // The outage keeps daemons from reading the VM list before it is complete.
  platform_->SetFaults({.outage = true});
  for (const auto& [name, domain] : step.options) {
    Settings settings;
    settings.daemon = DaemonId(name);
    settings.failure_domain = FailureDomainId(domain);
    settings.callers_address = "127.0.0.1:0";
    settings.administration_address = "127.0.0.1:0";
    settings.peers_address = "127.0.0.1:0";
    settings.worker_threads = 1;
    settings.platform_kind = PlatformKind::kHttp;
    settings.platform_address = ToString(endpoint);
    auto daemon = std::make_unique<Daemon>(settings);
    const Result<void> started = daemon->Start();
    if (!started) {
      return "error: " + started.error().message + "\n";
    }
    platform_->state().PutVm({.vm = VmId("vm-" + name),
                              .failure_domain = settings.failure_domain,
                              .daemon = settings.daemon,
                              .peers_address = ToString(daemon->peers_endpoint())});
    daemons_[name] = std::move(daemon);
  }
  platform_->SetFaults({});
  return "";
}

// wait VERSION MEMBERS: waits until each daemon has applied the configuration version and sees this
// number of members in its failure domain.
std::string SessionEnvironment::WaitForVersion(const SessionStep& step) {
  std::string text;
  for (const auto& [name, daemon] : daemons_) {
    HttpRequest request(http::verb::get,
                        fmt::format("/v1/status?wait_for_version={}&wait_for_members={}",
                                    step.Word(1), step.Word(2)),
                        11);
    const auto response = SendRequest(daemon->administration_endpoint(), std::move(request));
    const bool reached = response && response->result_int() == 200;
    text += fmt::format("{}: {}\n", name, reached ? "in force" : "not in force");
  }
  return text;
}

// platform up|down|loses-answers: sets the fault of the emulated platform.
std::string SessionEnvironment::SetPlatformFault(const SessionStep& step) {
  platform_->SetFaults(
      {.outage = step.Word(1) == "down", .lose_answers = step.Word(1) == "loses-answers"});
  return "";
}

// engine-fault ENGINE FAULT [at=POSITION]: injects a fault, optionally at a token position.
std::string SessionEnvironment::SetEngineFault(const SessionStep& step) {
  upstreams_.at(step.Word(1))
      .engine->SetFault(ParseEngineFault(step.Word(2)), std::stoll(step.Option("at", "-1")));
  return "";
}

// drain: drains a daemon and stops it.
std::string SessionEnvironment::DrainDaemon(const SessionStep& step) {
  Daemon& daemon = TargetDaemon(step);
  daemon.BeginDrain();
  while (!daemon.drained()) {
    std::this_thread::yield();
  }
  daemon.Stop();
  return "drained\n";
}

Daemon& SessionEnvironment::TargetDaemon(const SessionStep& step) {
  const std::string name = step.Option("at");
  const auto found = name.empty() ? daemons_.begin() : daemons_.find(name);
  if (found == daemons_.end()) {
    throw std::invalid_argument("no such daemon for the step: " + step.source);
  }
  return *found->second;
}

Result<HttpResponse> SessionEnvironment::SendRequest(const Endpoint& endpoint,
                                                     HttpRequest request) {
  asio::io_context context;
  std::optional<Result<HttpResponse>> response;
  asio::co_spawn(
      context, FetchDocument(endpoint, std::move(request), kCallTimeout),
      [&response](const std::exception_ptr&, Result<HttpResponse> r) { response = std::move(r); });
  context.run();
  return std::move(*response);
}

// call ACCOUNT-KEY METHOD PATH [key=IDEMPOTENCY-KEY] [resume=LAST-EVENT-ID] [resend=true]
// [at=DAEMON]: sends a caller's request with the body and prints the response.
std::string SessionEnvironment::SendCall(const SessionStep& step) {
  HttpRequest request(http::string_to_verb(step.Word(2)), step.Word(3), 11);
  request.set(http::field::authorization, "Bearer " + step.Word(1));
  for (const auto& [option, header] :
       {std::pair{"key", "Idempotency-Key"}, std::pair{"resume", "Last-Event-ID"},
        std::pair{"resend", "Savoryglade-Resend"}}) {
    if (!step.Option(option).empty()) {
      request.set(header, step.Option(option));
    }
  }
  request.body() = Expand(step.body);
  const Result<HttpResponse> response =
      SendRequest(TargetDaemon(step).callers_endpoint(), std::move(request));
  if (!response) {
    return "no answer\n";
  }
  return fmt::format("{}\n{}{}\n", response->result_int(), PrintHeaders(*response),
                     response->body());
}

// configuration: prints the configuration of a daemon.
std::string SessionEnvironment::ShowConfiguration(const SessionStep& step) {
  OperatorClient client({.daemon = TargetDaemon(step).administration_endpoint()});
  return PrintResult(client.GetConfiguration());
}

// operator apply | set-share ACCOUNT SHARE | remove-upstream UPSTREAM: changes the configuration
// through the operator library; apply replaces it with the body.
std::string SessionEnvironment::RunOperatorCommand(const SessionStep& step) {
  OperatorClient client({.daemon = TargetDaemon(step).administration_endpoint()});
  const std::string command = step.Word(1);
  if (command == "apply") {
    const auto parsed = ParseConfiguration(Expand(step.body));
    return parsed ? PrintResult(client.Apply(*parsed)) : "error: " + parsed.error().message + "\n";
  }
  if (command == "set-share") {
    return PrintResult(client.SetShare(AccountId(step.Word(2)), std::stod(step.Word(3))));
  }
  if (command == "remove-upstream") {
    return PrintResult(client.RemoveUpstream(UpstreamId(step.Word(2))));
  }
  return fmt::format("unknown operator step \"{}\"\n", command);
}

// counters [PREFIX...]: prints the daemon's metrics whose names start with one of the prefixes.
std::string SessionEnvironment::ShowCounters(const SessionStep& step) {
  OperatorClient client({.daemon = TargetDaemon(step).administration_endpoint()});
  const Result<std::string> metrics = client.GetMetrics();
  std::istringstream lines(metrics ? *metrics : "error: " + metrics.error().message);
  std::string text;
  std::string line;
  while (std::getline(lines, line)) {
    for (std::size_t i = 1; i < step.words.size(); ++i) {
      if (line.rfind(step.words[i], 0) == 0) {
        text += line + "\n";
        break;
      }
    }
  }
  return text;
}

// runs PLAIN-SERVICE: prints the number of requests that the service has run.
std::string SessionEnvironment::ShowRunCount(const SessionStep& step) {
  return fmt::format("{}\n", upstreams_.at(step.Word(1)).plain->runs());
}

std::string SessionEnvironment::Expand(std::string text) const {
  for (const auto& [name, upstream] : upstreams_) {
    text = ReplaceAll(std::move(text), fmt::format("{{port:{}}}", name),
                      std::to_string(upstream.endpoint.port));
  }
  static constexpr std::string_view kKeyPlaceholder = "{key:";
  for (std::size_t at = text.find(kKeyPlaceholder); at != std::string::npos;
       at = text.find(kKeyPlaceholder)) {
    const std::size_t end = text.find('}', at);
    const std::string key =
        text.substr(at + kKeyPlaceholder.size(), end - at - kKeyPlaceholder.size());
    text.replace(at, end + 1 - at, Sha256Hex(key));
  }
  return text;
}

std::string SessionEnvironment::Normalize(std::string text) const {
  for (const auto& [name, upstream] : upstreams_) {
    const std::string port = std::to_string(upstream.endpoint.port);
    text = ReplaceAll(std::move(text), fmt::format("\"port\": {}", port),
                      fmt::format("\"port\": {{port:{}}}", name));
    text = ReplaceAll(std::move(text), fmt::format("{}:{}", kLoopback, port),
                      fmt::format("{{address:{}}}", name));
  }
  // Keys that a daemon generates contain its start time.
  static const std::regex kGeneratedKey("[a-z]+-[0-9]+-[0-9a-f]{12,16}-[0-9a-f]+");
  text = std::regex_replace(text, kGeneratedKey, "{made key}");
  return text;
}

}  // namespace savoryglade
