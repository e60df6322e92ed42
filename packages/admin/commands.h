#pragma once

#include <functional>
#include <string>
#include <vector>

#include "admin/operator_client.h"
#include "core/error.h"

namespace savoryglade {

// Arguments of a savoryctl command.
struct CommandArguments {
  // Configuration file of "apply" and "diff".
  std::string operand;
  bool json = false;
};

// Exit codes of savoryctl; part of its interface.
enum ExitCode {
  kExitSuccess = 0,
  kExitFailure = 1,
  kExitInvalid = 2,
  kExitConflict = 3,
  kExitUnreachable = 4,
  kExitUnknownOutcome = 5,
};

// Command of savoryctl. Prints its result with the given function and returns an exit code or an
// error.
struct Command {
  using Print = std::function<void(const std::string&)>;

  const char* name;
  Result<int> (*run)(const OperatorClient& client, const CommandArguments& arguments,
                     const Print& print);
};

// Returns all commands that talk to a daemon.
const std::vector<Command>& Commands();

// Returns the exit code of savoryctl for an error.
ExitCode ExitCodeOf(ErrorCode code);

// Returns an error as a line of text, or as a JSON object.
std::string FormatError(const Error& error, bool as_json);

}  // namespace savoryglade
