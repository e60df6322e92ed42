#include <docopt/docopt.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "admin/commands.h"
#include "admin/explain.h"
#include "admin/operator_client.h"

namespace {

using savoryglade::Command;
using savoryglade::CommandArguments;
using savoryglade::OperatorClient;
using savoryglade::OperatorClientOptions;
using savoryglade::Result;

constexpr char kUsage[] = R"(savoryctl: command-line client for operators of savoryglade.

Usage:
  savoryctl [options] get
  savoryctl [options] diff <operand>
  savoryctl [options] apply <operand>
  savoryctl [options] status
  savoryctl [options] watch [--count=N]
  savoryctl [options] metrics
  savoryctl [options] drain
  savoryctl explain <request> --log=FILE
  savoryctl version
  savoryctl --help

Commands:
  get             Print the configuration in force at the daemon.
  diff FILE       Print how a configuration file differs from the one in force; exit code 1 if it does.
  apply FILE      Replace the configuration, if the file's version is in force or the file has none.
  status          Print the daemons and the versions in force there.
  watch           Print the status every two seconds.
  metrics         Print the counters and timings.
  explain REQUEST Print the outcome of a request from the logs of the daemons that handled it.
  drain           Let the daemon finish the requests in flight and exit.

Options:
  --daemon=ADDRESS  Administration address of a daemon [default: 127.0.0.1:8081].
  --json            Print status, errors and differences as JSON.
  --count=N         Number of times to print the status; 0 for no limit [default: 0].
  --log=FILE        Log of one or more daemons.
  --help            Show this text.

The operator key is taken from the environment variable SAVORYGLADE_OPERATOR_KEY.

Exit codes:
  0 done, 1 failed, 2 invalid, 3 conflict, 4 unreachable, 5 outcome unknown

Examples:
  savoryctl --daemon=10.0.1.5:8081 get > configuration.json
  savoryctl --daemon=10.0.1.5:8081 diff configuration.json
  savoryctl --daemon=10.0.1.5:8081 apply configuration.json
)";

constexpr std::chrono::seconds kWatchInterval(2);

Result<OperatorClientOptions> ReadOptions(const std::string& address) {
  const auto endpoint = savoryglade::ParseEndpoint(address);
  if (!endpoint) {
    return tl::make_unexpected(endpoint.error());
  }
  const char* key = std::getenv("SAVORYGLADE_OPERATOR_KEY");
  return OperatorClientOptions{.daemon = *endpoint, .key = key == nullptr ? "" : key};
}

int RunCommand(const Command& command, const OperatorClient& client,
               const CommandArguments& arguments) {
  const Result<int> code = command.run(client, arguments, [](const std::string& text) {
    fmt::print("{}", text);
    std::fflush(stdout);
  });
  if (code) {
    return *code;
  }
  fmt::print(stderr, "{}", savoryglade::FormatError(code.error(), arguments.json));
  return savoryglade::ExitCodeOf(code.error().code);
}

int RunExplain(const std::string& path, const std::string& request) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    fmt::print(stderr, "Can't read the log {}.\n", path);
    return savoryglade::kExitInvalid;
  }
  const std::string log{std::istreambuf_iterator<char>(file), {}};
  const Result<std::string> text = savoryglade::ExplainRequest(log, request);
  if (!text) {
    fmt::print(stderr, "{}\n", text.error().message);
    return savoryglade::kExitFailure;
  }
  fmt::print("{}", *text);
  return savoryglade::kExitSuccess;
}

int WatchStatus(const Command& status, const OperatorClient& client,
                const CommandArguments& arguments, std::int64_t count) {
  int code = 0;
  for (std::int64_t i = 0; count == 0 || i < count; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(kWatchInterval);
    }
    code = RunCommand(status, client, arguments);
  }
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  if (arguments.at("version").asBool()) {
    fmt::print("savoryctl {}\n", SAVORYGLADE_VERSION);
    return savoryglade::kExitSuccess;
  }
  if (arguments.at("explain").asBool()) {
    return RunExplain(arguments.at("--log").asString(), arguments.at("<request>").asString());
  }
  const Result<OperatorClientOptions> options = ReadOptions(arguments.at("--daemon").asString());
  if (!options) {
    fmt::print(stderr, "--daemon: {}\n", options.error().message);
    return savoryglade::kExitInvalid;
  }
  const OperatorClient client(*options);
  const auto& operand = arguments.at("<operand>");
  const CommandArguments command_arguments{.operand = operand ? operand.asString() : "",
                                           .json = arguments.at("--json").asBool()};
  const bool watch = arguments.at("watch").asBool();
  for (const Command& command : savoryglade::Commands()) {
    const std::string name = command.name;
    if (watch && name == "status") {
      return WatchStatus(command, client, command_arguments, arguments.at("--count").asLong());
    }
    if (!watch && arguments.at(name).asBool()) {
      return RunCommand(command, client, command_arguments);
    }
  }
  return savoryglade::kExitInvalid;
}
