#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admin/operator_client.h"
#include "core/error.h"

namespace savoryglade {

// Arguments of one call of savoryctl.
struct CommandArguments {
  // File of "apply" and "diff".
  std::string operand;
  bool json = false;
};

// Exit codes of savoryctl; part of its interface.
enum ExitCode {
  kExitDone = 0,
  kExitFailed = 1,
  kExitInvalid = 2,
  kExitConflict = 3,
  kExitUnreachable = 4,
  kExitUnknownOutcome = 5,
};

// One command of savoryctl: prints its result through the function and returns an exit code or an
// error.
struct Command {
  using Print = std::function<void(const std::string&)>;

  const char* name;
  Result<int> (*run)(const OperatorClient& client, const CommandArguments& arguments,
                     const Print& print);
};

// Returns all commands that talk to a daemon.
const std::vector<Command>& Commands();

// Returns the exit code for an error.
ExitCode ExitCodeOf(ErrorCode code);

// Prints an error for people, or as a JSON object.
std::string PrintError(const Error& error, bool as_json);

}  // namespace savoryglade
