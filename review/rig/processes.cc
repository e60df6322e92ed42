#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

#include "rig.h"

namespace rig {
namespace {

namespace json = boost::json;

}  // namespace

Worker::Worker(Store& store, const std::string& ip, std::string id, std::string service,
               std::string zone, int slots, Handler handler)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      slots_(slots),
      born_(UnixMs()),
      handler_(std::move(handler)) {
  listener_ = std::make_unique<Listener>(ip, [this](Connection& connection) {
    Message request;
    while (connection.ReadRequest(request, 60)) {
      const std::string expected = request.Header("Expect-Instance");
      if (request.target == "/healthz") {
        connection.Write("HTTP/1.1 200 OK\r\nInstance-Id: " + id_ +
                         "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!expected.empty() && expected != id_) {
        connection.Write(
            "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + request.Header("Attempt-Id") +
            "\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      ++active_;
      handler_(*this, connection, request);
      --active_;
    }
  });
  Register();
  beat_ = std::thread([this] {
    constexpr double kHeartbeat = 1.2;
    while (!stopped_) {
      SleepFor(kHeartbeat);
      if (!stopped_) {
        Register();
      }
    }
  });
}

Worker::~Worker() {
  stopped_ = true;
  beat_.detach();
}

void Worker::Register() {
  store_.Put("servers", id_,
             json::serialize(json::object{{"service", service_},
                                          {"address", address()},
                                          {"zone", zone_},
                                          {"version", "v1"},
                                          {"slots", slots_},
                                          {"state", draining_ ? "draining" : "ready"},
                                          {"cold_left_ms", 0},
                                          {"seq_no", sequence_.fetch_add(1)},
                                          {"born", born_}}));
}

void Worker::Drain() {
  draining_ = true;
  Register();
}

std::string Worker::AnswerHead(const Message& request, int status) const {
  return "HTTP/1.1 " + std::to_string(status) +
         " OK\r\nAttempt-Id: " + request.Header("Attempt-Id") + "\r\nResponse-Seal: seal-" + id_ +
         "\r\nServer-Load: " + std::to_string(active_.load()) + ",0," + std::to_string(slots_) +
         ",100\r\nKeep-Alive: timeout=5\r\n";
}

Daemon::Daemon(const Store& store, const Cloud& cloud, std::string name, std::string zone, int host,
               std::string folder, Record& record)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      ip_(LoopbackAddress(host)),
      folder_(std::move(folder)),
      record_(record) {
  for (const char* port : {":8221", ":8224", ":8229", ":7600", ":9464"}) {
    if (!CanBind(ip_ + port)) {
      std::fprintf(stderr, "The port %s%s is taken.\n", ip_.c_str(), port);
      std::_Exit(2);
    }
  }
  std::ofstream settings(folder_ + "/" + name_ + ".conf");
  settings
      << "node_name=" << name_ << "\nrole=daemon\nmachine_class=edge\nserves=edge\nip=" << ip_
      << "\nzone=" << zone_
      << "\nregion=lombardia-veneto\nzones.brescia=lombardia-veneto\nzones.bergamo=lombardia-"
         "veneto\n"
         "zones.verona=lombardia-veneto\nzones.mantova=lombardia-veneto\nlisten.front_addr="
      << ip_ << ":8221\nlisten.ready_addr=" << ip_ << ":8224\nlisten.control_addr=" << ip_
      << ":8229\ninternal_ports=7600,7615\nseed_nodes=\nis_bootstrap=true\nis_counted=false\n"
         "limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb="
      << kMemoryMb
      << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
         "entry_kind=vip\nheartbeat_ms=1200\n"
         "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader,"
         "platform\n"
         "fault_tolerance.machine_faults=2\nfault_tolerance.zones=1\nfault_tolerance.region_faults="
         "0\n"
         "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n"
         "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
         "bounds.config_apply_ms=2000\nbounds.revert_slack_ms=250\nbounds.max_stretch_ms=5000\n"
         "bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.retry_ratio=0.2\n"
         "bounds.retry_window_s=10\nbounds.retry_allowance=56\nbounds.quota_window_s=8\n"
         "bounds.quota_overshoot=0.1\nbounds.quota_allowance=140000\nbounds.fencing_enforced="
         "false\n"
         "bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.report_window_s=5\n"
         "bounds.usage_tolerance=0.05\nbounds.usage_delay_s=10\nbounds.recovery_s=12\n"
         "bounds.delivery_ms=120\nbounds.retry_after_s=10\nplatform.address="
      << store.address()
      << "\nplatform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
         "platform.tx_ms=5.0\nplatform.part_writes_s=200\nplatform.row_bytes=65536\n"
         "platform.cross_partition=false\nplatform.history_s=20\ncloud_api.address="
      << cloud.address()
      << "\ncloud_api.rate_per_s=50.0\ncloud_api.duties=usage_report,autoscale\ncloud_api.duty_per_"
         "s=50.0\n";
}

Daemon::~Daemon() {
  if (Running()) {
    Signal(SIGKILL);
    WaitForEnd(5);
  }
}

void Daemon::Start() {
  const std::string settings = "SAVORYGLADE_NODE_FILE=" + folder_ + "/" + name_ + ".conf";
  const std::string log = folder_ + "/" + name_ + "." + std::to_string(++starts_) + ".log";
  std::string path =
      std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin");
  std::string home = std::string("HOME=") + folder_;
  std::string lang = "LANG=C.UTF-8";
  std::string variable = settings;
  char* environment[] = {path.data(), home.data(), lang.data(), variable.data(), nullptr};
  std::string program = "target/packages/savorygladed";
  std::string option = "--platform";
  char* arguments[] = {program.data(), option.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  if (posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, environment) != 0) {
    std::fprintf(stderr, "Can't start %s; run the build of the deploy file first.\n",
                 program.c_str());
    std::_Exit(2);
  }
  posix_spawn_file_actions_destroy(&actions);
  pid_ = pid;
  record_.Line("platform: started " + name_);
}

void Daemon::Signal(int signal) {
  if (pid_ > 0) {
    record_.Line("platform: " + std::string(strsignal(signal)) + " to " + name_);
    kill(pid_, signal);
  }
}

bool Daemon::Running() {
  const pid_t pid = pid_;
  if (pid <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(pid, &status, WNOHANG) == pid) {
    pid_ = 0;
    record_.Line("platform: " + name_ + " has ended, " +
                 (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                      : "exit code " + std::to_string(WEXITSTATUS(status))));
    return false;
  }
  return true;
}

bool Daemon::WaitForEnd(double timeout_s) {
  const double until = Now() + timeout_s;
  while (Now() < until) {
    if (!Running()) {
      return true;
    }
    SleepFor(0.02);
  }
  return false;
}

bool Daemon::WaitUntilReady(double timeout_s) {
  const double until = Now() + timeout_s;
  while (Now() < until) {
    if (const auto connection = Connection::Connect(ready(), 1)) {
      Message answer;
      if (connection->Write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
          connection->ReadHead(answer, false, 1) && answer.status == 200) {
        return true;
      }
    }
    SleepFor(0.1);
  }
  return false;
}

double Daemon::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_.load()) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atof(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

std::string TemporaryFolder() {
  static const std::string path = [] {
    std::string text = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return std::string(mkdtemp(text.data()));
  }();
  return path;
}

void Finish(int code) {
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  } else {
    std::fprintf(stderr, "The logs are in %s.\n", TemporaryFolder().c_str());
  }
  std::fflush(stdout);
  // Threads that serve connections use objects that a normal end would destroy.
  std::_Exit(code);
}

std::string RequestText(const std::string& method, const std::string& path, const std::string& id,
                        int deadline_ms, const std::string& headers, const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost + "\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " + kKey +
         "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Manifest(int version) {
  json::object brief{{"name", "route-brief"}, {"host", kHost},
                     {"prefix", "/brief/"},   {"route_kind", "streaming"},
                     {"timeout_ms", 15000},   {"goal_ms", 1200},
                     {"priority", 1},         {"service", "assistente"},
                     {"max_attempts", 1},     {"public", false},
                     {"sticky", true},        {"resumable", false},
                     {"itl_target_ms", 500}};
  json::object recap = brief;
  recap["name"] = "customer-recap";
  recap["prefix"] = "/recap/";
  recap["timeout_ms"] = 12000;
  recap["goal_ms"] = 500;
  recap["priority"] = 0;
  recap["max_attempts"] = 2;
  recap["resumable"] = true;
  json::object confirm{{"name", "delivery-confirm"},
                       {"host", kHost},
                       {"prefix", "/confirm/"},
                       {"route_kind", "non_idempotent"},
                       {"timeout_ms", 1200},
                       {"goal_ms", 150},
                       {"priority", 2},
                       {"service", "ordini"},
                       {"max_attempts", 1},
                       {"public", false},
                       {"sticky", false},
                       {"resumable", false}};
  json::object engine{{"slots", 64},         {"kv_capacity", 550405},
                      {"kv_bytes", 18432},   {"link_mbps", 280000.0},
                      {"moves", true},       {"backups", true},
                      {"stride", 6},         {"most", 12},
                      {"pin_ms", 4000.0},    {"hold_ms", 2000.0},
                      {"handle_ttl_s", 5.0}, {"models", json::array{json::object{{"name", "m"}}}}};
  json::array services{json::object{{"name", "assistente"},
                                    {"health_path", "/healthz"},
                                    {"max_conns", 370},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"engine", std::move(engine)}},
                       json::object{{"name", "ordini"},
                                    {"health_path", "/healthz"},
                                    {"max_conns", 110},
                                    {"protocol", "h1"},
                                    {"tls", false}}};
  json::array tenants{
      json::object{{"name", kTenant}, {"api_keys", json::array{kKey}}, {"priority", 1}}};
  return json::serialize(
      json::object{{"version", version},
                   {"routes", json::array{std::move(brief), std::move(recap), std::move(confirm)}},
                   {"services", std::move(services)},
                   {"limits", json::object{{"max_header_bytes", 16384},
                                           {"max_body_bytes", 4194304},
                                           {"header_timeout_ms", 3000},
                                           {"idle_timeout_ms", 15000}}},
                   {"tenants", std::move(tenants)}});
}

}  // namespace rig
