#pragma once

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/configuration.h"
#include "daemon/daemon.h"
#include "emulator/platform_service.h"
#include "net/http_client.h"

namespace savoryglade {

// Runs an emulated platform and daemons of several failure domains in one process, connected over
// loopback.
class FleetFixture {
 public:
  FleetFixture()
      : platform_server_(platform_pool_, HttpLimits{},
                         [this](HttpExchange& e) { return platform_.Handle(e); }) {
    platform_endpoint_ = *platform_server_.Listen({.address = "127.0.0.1", .port = 0});
  }

  // Destroys the daemons first. Their coroutines refer to the platform only by its address.
  ~FleetFixture() {
    daemons_.clear();
    platform_pool_.Stop();
  }

  PlatformService& platform() { return platform_; }
  Daemon& daemon(std::size_t i) { return *daemons_[i]; }
  std::size_t size() const { return daemons_.size(); }

  static std::string DaemonName(std::size_t i) { return "daemon-" + std::to_string(i + 1); }
  static std::string FailureDomainName(std::size_t i, std::size_t domains) {
    return "domain-" + std::to_string(i % domains + 1);
  }

  // Sets the limits of a planned stop of daemons that are started later.
  void SetStopLimits(const StopLimits& limits) { stop_limits_ = limits; }

  // Starts daemons and lists them on the platform. The platform is down until all daemons listen,
  // so that none reads an incomplete list.
  void Start(std::size_t daemons, std::size_t domains, const provider::Faults& faults_after = {}) {
    platform_.SetFaults({.outage = true});
    for (std::size_t i = 0; i < daemons; ++i) {
      Settings settings;
      settings.daemon = DaemonId(DaemonName(i));
      settings.failure_domain = FailureDomainId(FailureDomainName(i, domains));
      settings.callers_address = "127.0.0.1:0";
      settings.administration_address = "127.0.0.1:0";
      settings.peers_address = "127.0.0.1:0";
      settings.worker_threads = 1;
      settings.platform_kind = PlatformKind::kHttp;
      settings.platform_address = ToString(platform_endpoint_);
      daemons_.push_back(
          std::make_unique<Daemon>(settings, DaemonDependencies{.stop_limits = stop_limits_}));
      const Result<void> started = daemons_.back()->Start();
      if (!started) {
        throw std::runtime_error(started.error().message);
      }
      platform_.state().PutVm({.vm = VmId(DaemonName(i)),
                               .failure_domain = settings.failure_domain,
                               .daemon = settings.daemon,
                               .peers_address = ToString(daemons_.back()->peers_endpoint())});
    }
    platform_.SetFaults(faults_after);
  }

  // Stops all daemons immediately, without a drain.
  void StopAll() { daemons_.clear(); }

  // Sends a request to a daemon's administration API. Returns the status and the JSON body; status
  // 0 means that there was no response.
  std::pair<unsigned, boost::json::value> SendAdministrationRequest(
      std::size_t i, boost::beast::http::verb method, const std::string& target,
      const std::string& body = "", const std::string& if_match = "") {
    return SendRequest(daemon(i).administration_endpoint(), method, target, body, if_match);
  }

  // Waits for a version and a number of live members at a daemon. Returns the response of its
  // status API.
  std::pair<unsigned, boost::json::value> WaitForStatus(std::size_t i, std::uint64_t version,
                                                        std::size_t members) {
    return SendAdministrationRequest(i, boost::beast::http::verb::get,
                                     "/v1/status?wait_for_version=" + std::to_string(version) +
                                         "&wait_for_members=" + std::to_string(members));
  }

  // Sends a configuration with a single upstream.
  std::pair<unsigned, boost::json::value> PutConfiguration(std::size_t i, std::uint64_t expected,
                                                           const std::string& upstream) {
    return SendAdministrationRequest(i, boost::beast::http::verb::put, "/v1/configuration",
                                     MakeDocument(upstream), std::to_string(expected));
  }

  static std::string MakeDocument(const std::string& upstream) {
    Configuration configuration;
    configuration.services.push_back({.name = ServiceId("assistant")});
    configuration.upstreams.push_back({.name = UpstreamId(upstream),
                                       .service = ServiceId("assistant"),
                                       .address = "127.0.0.1",
                                       .port = 1,
                                       .vm = VmId(upstream),
                                       .failure_domain = FailureDomainId("domain-1")});
    return PrintConfiguration(configuration);
  }

  static std::pair<unsigned, boost::json::value> SendRequest(const Endpoint& endpoint,
                                                             boost::beast::http::verb method,
                                                             const std::string& target,
                                                             const std::string& body,
                                                             const std::string& if_match) {
    HttpRequest request(method, target, 11);
    request.set(boost::beast::http::field::host, endpoint.address);
    if (!if_match.empty()) {
      request.set(boost::beast::http::field::if_match, if_match);
    }
    request.body() = body;
    request.prepare_payload();
    boost::asio::io_context context;
    std::optional<Result<HttpResponse>> response;
    boost::asio::co_spawn(context, FetchDocument(endpoint, std::move(request), 60s),
                          [&response](const std::exception_ptr&, Result<HttpResponse> r) {
                            response = std::move(r);
                          });
    context.run();
    if (!*response) {
      return {0, {}};
    }
    boost::json::error_code error;
    boost::json::value value = boost::json::parse((*response)->body(), error);
    return {(*response)->result_int(), std::move(value)};
  }

 private:
  PlatformService platform_;
  // One worker, because a connection on another worker than the listener's keeps the listener alive
  // after its context is destroyed.
  WorkerPool platform_pool_{1};
  HttpServer platform_server_;
  Endpoint platform_endpoint_;
  StopLimits stop_limits_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace savoryglade
