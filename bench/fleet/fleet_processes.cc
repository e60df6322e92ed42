#include "bench/fleet/fleet_processes.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "config/configuration.h"

namespace savoryglade::bench {
namespace {

namespace http = boost::beast::http;

constexpr int kMaxDaemons = 64;

std::string ExecutableDirectory() {
  std::string path(4096, '\0');
  const ssize_t size = readlink("/proc/self/exe", path.data(), path.size());
  path.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return path.substr(0, path.rfind('/'));
}

std::string LogField(const std::string& text, const std::string& name) {
  const std::size_t begin = text.find(name + "=");
  if (begin == std::string::npos) {
    return {};
  }
  const std::size_t value = begin + name.size() + 1;
  return text.substr(value, text.find_first_of(" \n", value) - value);
}

HttpRequest MakeRequest(const Endpoint& endpoint, http::verb method, const std::string& target) {
  HttpRequest request(method, target, 11);
  request.set(http::field::host, endpoint.address);
  return request;
}

Result<HttpResponse> SendRequest(const Endpoint& endpoint, HttpRequest request) {
  boost::asio::io_context context;
  std::optional<Result<HttpResponse>> response;
  boost::asio::co_spawn(
      context, FetchOnce(endpoint, std::move(request), 40s),
      [&response](const std::exception_ptr&, Result<HttpResponse> r) { response = std::move(r); });
  context.run();
  return *response;
}

double MetricValue(const std::string& text, const std::string& name) {
  const std::size_t begin = text.find("\n" + name + " ");
  return begin == std::string::npos ? 0 : std::atof(text.c_str() + begin + name.size() + 2);
}

}  // namespace

FleetProcesses::FleetProcesses(int daemons, int domains)
    : platform_server_(platform_pool_, HttpLimits{},
                       [this](HttpExchange& e) { return platform_.Handle(e); }) {
  if (daemons > kMaxDaemons) {
    throw std::runtime_error("The benchmark supports at most 64 daemons.");
  }
  std::string pattern = "/tmp/savoryglade-fleet-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("Cannot create a directory for the settings of the daemons.");
  }
  directory_ = pattern;
  std::ofstream(directory_ + "/fleet.key") << "key of the bench\n";
  platform_endpoint_ = *platform_server_.Listen({.address = "127.0.0.1", .port = 0});
  // The outage keeps daemons from reading the VM list before it is complete.
  platform_.SetFaults({.outage = true});
  for (int i = 0; i < daemons; ++i) {
    StartChild(i, domains);
  }
  platform_.SetFaults({});
}

FleetProcesses::~FleetProcesses() {
  for (const Child& child : children_) {
    kill(child.pid, SIGKILL);
    waitpid(child.pid, nullptr, 0);
    close(child.log);
  }
  platform_pool_.Stop();
  for (int i = 0; i < size(); ++i) {
    unlink(fmt::format("{}/{}.json", directory_, i).c_str());
  }
  unlink((directory_ + "/fleet.key").c_str());
  rmdir(directory_.c_str());
}

void FleetProcesses::StartChild(int index, int domains) {
  const std::string settings = fmt::format("{}/{}.json", directory_, index);
  const std::string daemon = fmt::format("daemon-{:03}", index);
  const std::string domain = fmt::format("domain-{:02}", index % domains);
  std::ofstream(settings) << fmt::format(
      R"({{"daemon": "{}", "failure_domain": "{}", "callers_address": "127.0.0.1:0",
"administration_address": "127.0.0.1:0", "peers_address": "127.0.0.1:0", "worker_threads": 2,
"fleet_key_file": "{}/fleet.key", "platform": {{"kind": "http", "address": "{}"}}}})",
      daemon, domain, directory_, ToString(platform_endpoint_));
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("Cannot create a pipe for the log of a daemon.");
  }
  const std::string program = ExecutableDirectory() + "/../packages/savorygladed";
  const std::string argument = "--settings=" + settings;
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(pipe_ends[1], STDERR_FILENO);
    execl(program.c_str(), program.c_str(), argument.c_str(), nullptr);
    _exit(127);
  }
  close(pipe_ends[1]);
  children_.push_back({.pid = pid, .log = pipe_ends[0]});
  std::string text;
  while (text.find("Listening.") == std::string::npos || text.back() != '\n') {
    char buffer[1024];
    const ssize_t size = read(pipe_ends[0], buffer, sizeof(buffer));
    if (size <= 0) {
      throw std::runtime_error("A daemon failed to start: " + text);
    }
    text.append(buffer, static_cast<std::size_t>(size));
  }
  // The rest of the log is not read. The larger buffer holds it, as it is short; a full pipe would
  // block the daemon.
  fcntl(pipe_ends[0], F_SETPIPE_SZ, 1024 * 1024);
  const std::string line = text.substr(text.find("Listening."));
  children_.back().administration = *ParseEndpoint(LogField(line, "administration"));
  platform_.state().PutVm({.vm = VmId(daemon),
                           .failure_domain = FailureDomainId(domain),
                           .daemon = DaemonId(daemon),
                           .peers_address = LogField(line, "peers")});
}

std::vector<double> FleetProcesses::WaitForVersion(std::uint64_t version, int members) {
  const auto begin = std::chrono::steady_clock::now();
  std::vector<double> seconds(children_.size(), -1);
  boost::asio::io_context context;
  for (std::size_t i = 0; i < children_.size(); ++i) {
    HttpRequest request = MakeRequest(
        children_[i].administration, http::verb::get,
        fmt::format("/v1/status?wait_for_version={}&wait_for_members={}", version, members));
    boost::asio::co_spawn(context, FetchOnce(children_[i].administration, std::move(request), 40s),
                          [&seconds, begin, i](const std::exception_ptr&, Result<HttpResponse> r) {
                            if (r && r->result_int() == 200) {
                              seconds[i] = ToSeconds(std::chrono::steady_clock::now() - begin);
                            }
                          });
  }
  context.run();
  return seconds;
}

unsigned FleetProcesses::PutConfiguration(int daemon, std::uint64_t expected, int upstreams) {
  Configuration configuration;
  configuration.services.push_back({.name = ServiceId("assistant")});
  for (int i = 0; i < upstreams; ++i) {
    const std::string name = fmt::format("assistant-{}", i);
    configuration.upstreams.push_back(
        {.name = UpstreamId(name),
         .service = ServiceId("assistant"),
         .address = "127.0.0.1",
         .port = static_cast<std::uint16_t>(10000 + i % 50000),
         .vm = VmId(name),
         .failure_domain = FailureDomainId("domain-00"),
         // The first upstream differs between versions.
         .concurrency = i == 0 ? static_cast<int>(1 + expected % 100) : 8});
  }
  const Endpoint& endpoint = children_[static_cast<std::size_t>(daemon)].administration;
  HttpRequest request = MakeRequest(endpoint, http::verb::put, "/v1/configuration");
  request.set(http::field::if_match, std::to_string(expected));
  request.body() = PrintConfiguration(configuration);
  request.prepare_payload();
  const Result<HttpResponse> response = SendRequest(endpoint, std::move(request));
  return response ? response->result_int() : 0;
}

ProcessSample FleetProcesses::SampleProcess(int daemon) {
  const Child& child = children_[static_cast<std::size_t>(daemon)];
  ProcessSample sample;
  std::ifstream stat(fmt::format("/proc/{}/stat", child.pid));
  std::string line;
  std::getline(stat, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string field;
  for (int i = 3; i <= 15 && fields >> field; ++i) {
    // Fields 14 and 15 of /proc/PID/stat are user and system time in clock ticks.
    if (i >= 14) {
      sample.cpu_seconds += std::atof(field.c_str()) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
  }
  std::ifstream statm(fmt::format("/proc/{}/statm", child.pid));
  double pages = 0;
  double resident = 0;
  statm >> pages >> resident;
  sample.resident_megabytes = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  const Result<HttpResponse> response = SendRequest(
      child.administration, MakeRequest(child.administration, http::verb::get, "/metrics"));
  if (response) {
    const std::string text = "\n" + response->body();
    sample.peer_bytes_sent = MetricValue(text, "savoryglade_peer_bytes_sent_total");
    sample.peer_bytes_received = MetricValue(text, "savoryglade_peer_bytes_received_total");
    sample.peer_messages_sent = MetricValue(text, "savoryglade_peer_messages_sent_total");
    sample.peer_messages_received = MetricValue(text, "savoryglade_peer_messages_received_total");
  }
  return sample;
}

std::string FleetProcesses::Status(int daemon) {
  const Endpoint& endpoint = children_[static_cast<std::size_t>(daemon)].administration;
  const Result<HttpResponse> response =
      SendRequest(endpoint, MakeRequest(endpoint, http::verb::get, "/v1/status"));
  return response ? response->body() : response.error().message;
}

}  // namespace savoryglade::bench
