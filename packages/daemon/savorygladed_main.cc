#include <docopt/docopt.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iterator>
#include <string>

#include "config/settings.h"
#include "daemon/daemon.h"
#include "logging/logger.h"
#include "net/memory_budget.h"
#include "platform/platform_daemon.h"

namespace {

using savoryglade::Daemon;
using savoryglade::Logger;
using savoryglade::Result;
using savoryglade::Settings;

constexpr char kUsage[] = R"(savorygladed: daemon of one entry VM.

Usage:
  savorygladed [--settings=FILE]
  savorygladed --platform
  savorygladed [--platform] --check-settings=FILE
  savorygladed --help
  savorygladed --version

Options:
  --settings=FILE        JSON file with the settings; without it the embedded defaults apply.
  --platform             Run on the operators' platform, with the settings file it provides.
  --check-settings=FILE  Check a settings file, print all faults, and exit. With --platform, the
                         file is one of the platform's.
  --help                 Show this text.
  --version              Show the version.
)";

constexpr int kExitInvalidSettings = 2;
// Time that requests in flight have left after a second signal. Section 10 of the design page.
constexpr savoryglade::Duration kDrainTimeout = std::chrono::seconds(30);
// Interval at which the main thread looks whether the daemon has drained.
constexpr timespec kPollInterval{.tv_sec = 0, .tv_nsec = 20'000'000};

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return tl::make_unexpected(
        savoryglade::Error{.code = savoryglade::ErrorCode::kNotFound,
                           .message = fmt::format("Can't read the settings file {}.", path)});
  }
  return savoryglade::ParseSettings(std::string(std::istreambuf_iterator<char>(file), {}));
}

// Prints the faults of a settings file, or that it is valid. Returns the exit status.
template <typename T>
int PrintCheckResult(const std::string& path, const Result<T>& parsed) {
  if (!parsed) {
    fmt::print(stderr, "{}\n{}\n", path, parsed.error().message);
    return kExitInvalidSettings;
  }
  fmt::print("{}: valid\n", path);
  return 0;
}

// Blocks the signals that a supervisor sends, before any thread starts, until the daemon waits for
// them. A signal that is not blocked ends the process.
void BlockSupervisorSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Run(const Settings& settings) {
  const Logger log("main");
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // SIGHUP has no meaning here, and ends the process as usual.
  pthread_sigmask(SIG_SETMASK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Daemon daemon(settings);
  const Result<void> started = daemon.Start();
  if (!started) {
    log.Error(started.error().message);
    return 1;
  }
  // An operator's drain request is no signal: the first signal after it interrupts nothing.
  int stop_signals = 0;
  while (!daemon.drained()) {
    if (sigtimedwait(&signals, nullptr, &kPollInterval) <= 0) {
      continue;
    }
    if (++stop_signals == 1) {
      daemon.BeginDrain();
    } else {
      daemon.StartDrainTimeout(kDrainTimeout);
    }
  }
  daemon.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  BlockSupervisorSignals();
  savoryglade::ConfigureAllocator();
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "savorygladed " SAVORYGLADE_VERSION);
  const bool on_platform = arguments.at("--platform").asBool();
  if (const auto& check = arguments.at("--check-settings")) {
    const std::string path = check.asString();
    return on_platform ? PrintCheckResult(path, savoryglade::platform::LoadNodeSettings(path))
                       : PrintCheckResult(path, LoadSettings(path));
  }
  if (on_platform) {
    const int status = savoryglade::platform::RunOnPlatform();
    Logger::FlushAtExit();
    return status;
  }
  Settings settings;
  if (const auto& load = arguments.at("--settings")) {
    const Result<Settings> parsed = LoadSettings(load.asString());
    if (!parsed) {
      return PrintCheckResult(load.asString(), parsed);
    }
    settings = *parsed;
  }
  const int status = Run(settings);
  Logger::FlushAtExit();
  return status;
}
