#include "tests/untrusted_clients/server_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace savoryglade {

ServerProcess::ServerProcess(std::vector<std::string> arguments, std::string variable,
                             const std::string& log_path) {
  constexpr mode_t kLogMode = 0644;
  std::string program = SAVORYGLADED;
  std::vector<char*> argv = {program.data()};
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  std::vector<char*> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    environment.push_back(*entry);
  }
  environment.push_back(variable.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, kLogMode);
  const int error =
      ::posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environment.data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("can't start " + program);
  }
}

ServerProcess::~ServerProcess() {
  if (IsRunning()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

bool ServerProcess::IsRunning() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

std::size_t ServerProcess::MemoryOf(const std::string& field) const {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(field + ":", 0) == 0) {
      return std::stoul(line.substr(field.size() + 1)) * kBytesPerKilobyte;
    }
  }
  return 0;
}

std::size_t ServerProcess::OpenDescriptors() const {
  const std::filesystem::directory_iterator descriptors(fmt::format("/proc/{}/fd", pid_));
  return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::string OwnLoopbackAddress() {
  constexpr int kHosts = 250;
  static int next = 0;
  return fmt::format("127.77.{}.{}", 1 + ::getpid() % kHosts, 1 + next++ % kHosts);
}

}  // namespace savoryglade
