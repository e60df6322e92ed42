#pragma once

#include <sys/types.h>

#include <string>
#include <string_view>

#include "net/endpoint.h"

namespace savoryglade {

// Process of the daemon program. SIGTERM is blocked from its start, so that a signal which is sent
// at once is not lost.
class DaemonProcess {
 public:
  // Starts the program with this text as its settings file.
  explicit DaemonProcess(const std::string& settings);
  // Kills the process if it still runs.
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void SendSignal(int signal) const;
  // Waits until the process has taken all signals that were sent to it.
  void WaitForSignalsTaken() const;

  // Reads the log until a line contains the text. Returns the line, or an empty one at the end of
  // the log.
  std::string WaitForLogLine(std::string_view text);
  // Waits for the end of the process. Returns its exit status, or the negative number of the signal
  // that ended it.
  int WaitForExit();
  // Returns the log that was read so far; complete after WaitForExit.
  const std::string& log() const { return log_; }

  // Returns the endpoint in a field of the log line that reports the endpoints.
  static Endpoint FindEndpoint(const std::string& line, std::string_view field);

 private:
  // Reads more of the log. Returns false at its end.
  bool ReadLog();

  std::string settings_path_;
  pid_t pid_ = 0;
  int log_pipe_ = -1;
  std::string log_;
};

}  // namespace savoryglade
