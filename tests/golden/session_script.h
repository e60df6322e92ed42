#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savoryglade {

// One step of a session: a command with its arguments, options and body.
struct SessionStep {
  // Comments, command and body as written in the golden file.
  std::string source;
  // The command and its positional arguments.
  std::vector<std::string> words;
  // Arguments of the form name=value.
  std::map<std::string, std::string> options;
  std::string body;

  // Returns the value of an option, or the fallback if it is missing.
  std::string Option(const std::string& name, const std::string& fallback = "") const;
  // Returns the word at an index, or an empty string if there is none.
  std::string Word(std::size_t index) const;
};

// Parses a golden file. A line that starts with "> " is a step, "| " lines after it are its body,
// and
// "#" lines before it are its comments. All other lines are recorded output and are skipped.
std::vector<SessionStep> ParseSession(std::string_view text);

// Function that runs one step and returns its output.
using SessionStepRunner = std::function<std::string(const SessionStep&)>;

// Runs all steps and returns the golden file text with the actual output.
std::string RunSession(std::string_view text, const SessionStepRunner& run);

}  // namespace savoryglade
