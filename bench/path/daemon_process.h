#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "net/endpoint.h"

namespace savoryglade {

// What a daemon process has used so far.
struct DaemonUsage {
  double cpu_seconds = 0;
  std::uint64_t resident_bytes = 0;
  std::uint64_t tokens_relayed = 0;
};

// A daemon with one worker thread in a process of its own, so that engines and callers do not count
// towards its memory and CPU time. Must be created before the process starts threads.
class DaemonProcess {
 public:
  DaemonProcess();
  // Ends the process.
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  // Starts the daemon with these engines for the model service "assistant".
  Endpoint Start(const std::vector<Endpoint>& engines);

  DaemonUsage Usage();

 private:
  pid_t process_ = 0;
  int command_pipe_ = -1;
  int reply_pipe_ = -1;
};

}  // namespace savoryglade
