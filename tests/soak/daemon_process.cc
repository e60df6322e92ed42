#include "soak/daemon_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <vector>

namespace savoryglade::soak {
namespace {

constexpr int kExecFailed = 127;
constexpr mode_t kLogMode = 0644;

}  // namespace

DaemonProcess::~DaemonProcess() {
  if (running()) {
    Signal(SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
  }
}

void DaemonProcess::WriteSettings(int revision) const {
  // The daemon may read the file at any moment, so it is replaced whole.
  const std::string path = SettingsPath() + ".new";
  std::ofstream(path) << fmt::format(
      R"(node_name={}
role=daemon
ip={}
zone={}
listen.front_addr={}
listen.ready_addr={}
internal_ports=7600,7615
limits.memory_mb=256
limits.max_fds=4096
bounds.grace_s={}
bounds.drain_ms={}
bounds.lease_ms=1500
bounds.report_window_s=2
bounds.usage_delay_s=2
bounds.retry_window_s={}
bounds.retry_ratio={}
bounds.retry_allowance={}
platform.address={}
cloud_api.address={}
cloud_api.duties=usage_report
)",
      options_.name, options_.address, options_.failure_domain, ToString(callers()),
      ToString(readiness()), ToSeconds(options_.grace), options_.upstream_drain / 1ms,
      ToSeconds(kRetryWindow), kRetryRatio, RetryAllowance(revision), ToString(options_.store),
      ToString(options_.duties));
  std::filesystem::rename(path, SettingsPath());
}

void DaemonProcess::Start() {
  // Everything that allocates is prepared before the fork, because other threads may hold locks.
  std::string variable = "SAVORYGLADE_NODE_FILE=" + SettingsPath();
  std::string flag = "--platform";
  std::vector<char*> arguments = {options_.program.data(), flag.data(), nullptr};
  std::vector<char*> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    environment.push_back(*entry);
  }
  environment.push_back(variable.data());
  environment.push_back(nullptr);
  const std::string log_path = options_.directory + "/" + options_.name + ".log";
  const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) {
    throw std::runtime_error("Can't open " + log_path + ".");
  }
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    // The daemon must not outlive the soak.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(kExecFailed);
    }
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // Sockets of the soak would otherwise stay open in the daemon.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(arguments[0], arguments.data(), environment.data());
    ::_exit(kExecFailed);
  }
  ::close(log);
  if (pid_ < 0) {
    throw std::runtime_error("Can't fork a daemon.");
  }
}

void DaemonProcess::Signal(int signal) const {
  if (running()) {
    ::kill(pid_, signal);
  }
}

bool DaemonProcess::IsListening() const {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address(options_.address), kReadinessPort}, error);
  return running() && !error;
}

std::optional<int> DaemonProcess::Poll() {
  int status = 0;
  if (!running() || ::waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = -1;
  return status;
}

}  // namespace savoryglade::soak
