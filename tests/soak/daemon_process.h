#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "core/time.h"
#include "net/endpoint.h"

namespace savoryglade::soak {

// Settings of one daemon of a play.
struct DaemonOptions {
  std::string program;
  std::string name;
  std::string failure_domain;
  // Loopback address of its own; the ports are the same for all daemons.
  std::string address;
  Endpoint store;
  Endpoint duties;
  Duration grace = 8s;
  Duration upstream_drain = 1s;
  double retry_allowance = 200;
  // Directory of the settings file and the log.
  std::string directory;
};

// A daemon on the operators' platform as a process. Used by one thread, which must outlive it.
class DaemonProcess {
 public:
  explicit DaemonProcess(DaemonOptions options) : options_(std::move(options)) {}
  // Kills the process if it is still running.
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  DaemonProcess(DaemonProcess&&) = delete;

  static constexpr Duration kRetryWindow = 10s;
  static constexpr double kRetryRatio = 0.2;

  // Returns the retry allowance that a revision of the settings names.
  double RetryAllowance(int revision) const {
    constexpr double kRevisionStep = 1.0 / 200;
    return options_.retry_allowance * (1 + revision * kRevisionStep);
  }
  // Writes the settings file, with bounds that differ by the revision.
  void WriteSettings(int revision) const;
  // Starts the process; its output is appended to the log.
  void Start();
  // Sends a signal to the process if it is running.
  void Signal(int signal) const;
  // Returns the wait status once after the process has ended, and nothing while it runs.
  std::optional<int> Poll();
  bool running() const { return pid_ > 0; }
  // Returns true if the process accepts connections. Before that a signal may end it at once,
  // because no program can handle signals from its first moment.
  bool IsListening() const;

  Endpoint callers() const { return {.address = options_.address, .port = kCallersPort}; }
  Endpoint readiness() const { return {.address = options_.address, .port = kReadinessPort}; }
  const std::string& name() const { return options_.name; }
  const std::string& failure_domain() const { return options_.failure_domain; }

 private:
  static constexpr std::uint16_t kCallersPort = 8107;
  static constexpr std::uint16_t kReadinessPort = 8110;

  std::string SettingsPath() const {
    return options_.directory + "/" + options_.name + ".settings";
  }

  DaemonOptions options_;
  pid_t pid_ = -1;
};

}  // namespace savoryglade::soak
