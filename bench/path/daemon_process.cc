#include "bench/path/daemon_process.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

#include "config/account_keys.h"
#include "daemon/daemon.h"
#include "logging/logger.h"

namespace savoryglade {
namespace {

constexpr int kUpstreamsPerEngine = 8;

std::string ReadLine(int file) {
  std::string line;
  char byte = 0;
  while (::read(file, &byte, 1) == 1 && byte != '\n') {
    line += byte;
  }
  return line;
}

void WriteLine(int file, std::string line) {
  line += '\n';
  if (::write(file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    std::_Exit(1);
  }
}

std::string PrintUsage(Daemon& daemon) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return fmt::format("{} {} {}", seconds(usage.ru_utime) + seconds(usage.ru_stime),
                     resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)),
                     daemon.metrics().GetCounter("savoryglade_tokens_relayed_total").value());
}

std::unique_ptr<Daemon> StartDaemon(const std::string& ports) {
  std::string upstreams;
  // The router starts each upstream at a low concurrency limit. Configuring each engine as several
  // upstreams offsets that.
  for (int name = 0; name < kUpstreamsPerEngine; ++name) {
    std::istringstream stream(ports);
    for (std::string port; stream >> port;) {
      upstreams += fmt::format(
          R"({}{{"name":"engine-{}-{}","service":"assistant","port":{},"failure_domain":"verona",)"
          R"("concurrency":4096}})",
          upstreams.empty() ? "" : ",", port, name, port);
    }
  }
  const std::string path = fmt::format("/tmp/savoryglade_bench_path_{}.json", ::getpid());
  std::ofstream(path) << fmt::format(
      R"({{"version":1,"services":[{{"name":"assistant","deadline":"24h"}}],)"
      R"("client_accounts":[{{"name":"drivers","key_sha256":"{}"}}],"upstreams":[{}]}})",
      Sha256Hex("key"), upstreams);
  Settings settings;
  settings.callers_address = "127.0.0.1:0";
  settings.administration_address = "127.0.0.1:0";
  settings.worker_threads = 1;
  settings.configuration_file = path;
  auto daemon = std::make_unique<Daemon>(settings);
  const Result<void> started = daemon->Start();
  std::remove(path.c_str());
  if (!started) {
    fmt::print(stderr, "{}\n", started.error().message);
    std::_Exit(1);
  }
  return daemon;
}

[[noreturn]] void Serve(int command_pipe, int reply_pipe) {
  Logger::SetLevel(LogLevel::kError);
  const auto daemon = StartDaemon(ReadLine(command_pipe));
  WriteLine(reply_pipe, std::to_string(daemon->callers_endpoint().port));
  while (ReadLine(command_pipe) == "usage") {
    WriteLine(reply_pipe, PrintUsage(*daemon));
  }
  std::_Exit(0);
}

}  // namespace

DaemonProcess::DaemonProcess() {
  std::array<int, 2> command_pipe{};
  std::array<int, 2> reply_pipe{};
  if (::pipe(command_pipe.data()) != 0 || ::pipe(reply_pipe.data()) != 0) {
    std::perror("pipe");
    std::exit(1);
  }
  process_ = ::fork();
  if (process_ == 0) {
    ::close(command_pipe[1]);
    ::close(reply_pipe[0]);
    Serve(command_pipe[0], reply_pipe[1]);
  }
  ::close(command_pipe[0]);
  ::close(reply_pipe[1]);
  command_pipe_ = command_pipe[1];
  reply_pipe_ = reply_pipe[0];
}

DaemonProcess::~DaemonProcess() {
  // The child process ends when its command pipe closes.
  ::close(command_pipe_);
  ::waitpid(process_, nullptr, 0);
  ::close(reply_pipe_);
}

Endpoint DaemonProcess::Start(const std::vector<Endpoint>& engines) {
  std::string ports;
  for (const Endpoint& engine : engines) {
    ports += fmt::format("{} ", engine.port);
  }
  WriteLine(command_pipe_, ports);
  return {.address = "127.0.0.1",
          .port = static_cast<std::uint16_t>(std::atoi(ReadLine(reply_pipe_).c_str()))};
}

DaemonUsage DaemonProcess::Usage() {
  WriteLine(command_pipe_, "usage");
  DaemonUsage usage;
  std::istringstream(ReadLine(reply_pipe_)) >> usage.cpu_seconds >> usage.resident_bytes >>
      usage.tokens_relayed;
  return usage;
}

}  // namespace savoryglade
