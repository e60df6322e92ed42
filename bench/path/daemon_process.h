#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "net/endpoint.h"

namespace savoryglade {

// Cumulative resource use of a daemon process.
struct DaemonUsage {
  double cpu_seconds = 0;
  std::uint64_t resident_bytes = 0;
  std::uint64_t tokens_relayed = 0;
};

// Daemon with one worker thread in a child process, so that its memory and CPU time exclude engines
// and callers. Must be created before this process starts threads, because it forks.
class DaemonProcess {
 public:
  DaemonProcess();
  // Ends the child process and waits for it.
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  // Starts the daemon with these engines for the model service "assistant". Returns its endpoint
  // for callers.
  Endpoint Start(const std::vector<Endpoint>& engines);

  // Returns the resource use of the child process so far.
  DaemonUsage Usage();

 private:
  pid_t process_ = 0;
  int command_pipe_ = -1;
  int reply_pipe_ = -1;
};

}  // namespace savoryglade
