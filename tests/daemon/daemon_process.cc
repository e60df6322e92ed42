#include "tests/daemon/daemon_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {

DaemonProcess::DaemonProcess(const std::string& settings) {
  static std::atomic<int> next_number{1};
  settings_path_ = fmt::format("{}savoryglade_process_{}_{}.json", testing::TempDir(), ::getpid(),
                               next_number.fetch_add(1));
  std::ofstream(settings_path_) << settings;
  std::array<int, 2> log_pipe{};
  if (::pipe2(log_pipe.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("can't create a pipe");
  }
  log_pipe_ = log_pipe[0];
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_adddup2(&actions, log_pipe[1], STDERR_FILENO);
  posix_spawnattr_t attributes;
  ::posix_spawnattr_init(&attributes);
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGTERM);
  ::posix_spawnattr_setsigmask(&attributes, &blocked);
  ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::string program = SAVORYGLADED;
  std::string argument = "--settings=" + settings_path_;
  std::array<char*, 3> arguments = {program.data(), argument.data(), nullptr};
  const int error =
      ::posix_spawn(&pid_, program.c_str(), &actions, &attributes, arguments.data(), environ);
  ::posix_spawnattr_destroy(&attributes);
  ::posix_spawn_file_actions_destroy(&actions);
  ::close(log_pipe[1]);
  if (error != 0) {
    pid_ = 0;
    throw std::runtime_error("can't start " + program);
  }
}

DaemonProcess::~DaemonProcess() {
  if (pid_ != 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  ::close(log_pipe_);
  std::remove(settings_path_.c_str());
}

void DaemonProcess::SendSignal(int signal) const { ::kill(pid_, signal); }

void DaemonProcess::WaitForSignalsTaken() const {
  WaitFor([this] {
    std::ifstream status(fmt::format("/proc/{}/status", pid_));
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("ShdPnd:", 0) == 0) {
        return line.find_first_not_of("0 \t", std::string_view("ShdPnd:").size()) ==
               std::string::npos;
      }
    }
    return true;
  });
}

bool DaemonProcess::ReadLog() {
  std::array<char, 4096> buffer{};
  const ssize_t size = ::read(log_pipe_, buffer.data(), buffer.size());
  log_.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return size > 0;
}

std::string DaemonProcess::WaitForLogLine(std::string_view text) {
  do {
    const std::size_t found = log_.find(text);
    const std::size_t end = found == std::string::npos ? found : log_.find('\n', found);
    if (end != std::string::npos) {
      const std::size_t begin = log_.rfind('\n', found) + 1;
      return log_.substr(begin, end - begin);
    }
  } while (ReadLog());
  return "";
}

int DaemonProcess::WaitForExit() {
  while (ReadLog()) {
  }
  int status = 0;
  ::waitpid(std::exchange(pid_, 0), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

Endpoint DaemonProcess::FindEndpoint(const std::string& line, std::string_view field) {
  const std::string prefix = fmt::format(" {}=", field);
  const std::size_t begin = line.find(prefix) + prefix.size();
  return ParseEndpoint(line.substr(begin, line.find(' ', begin) - begin)).value();
}

}  // namespace savoryglade
