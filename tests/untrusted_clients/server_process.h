#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

#include "net/endpoint.h"

namespace savoryglade {

// A program under test, started on a loopback address of its own. Its log goes to a file.
class ServerProcess {
 public:
  // Starts the program with these arguments and one more environment variable (NAME=VALUE).
  ServerProcess(std::vector<std::string> arguments, std::string variable,
                const std::string& log_path);
  // Kills the process if it is still running.
  ~ServerProcess();
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  // Returns true if the process has not ended.
  bool IsRunning();
  // Returns a field of /proc/PID/status such as VmHWM, in bytes.
  std::size_t MemoryOf(const std::string& field) const;
  std::size_t OpenDescriptors() const;

 private:
  pid_t pid_ = -1;
};

// Returns a loopback address that no other test of this machine uses at the same time.
std::string OwnLoopbackAddress();

}  // namespace savoryglade
