#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savoryglade {

// One step of a session: its words, options of the form name=value, and the lines of its body.
struct SessionStep {
  // The step as written, with its body, for the golden file.
  std::string source;
  std::vector<std::string> words;
  std::map<std::string, std::string> options;
  std::string body;

  // Returns an option or the fallback.
  std::string Option(const std::string& name, const std::string& fallback = "") const;
  // Returns the word at a position, or an empty string.
  std::string Word(std::size_t index) const;
};

// Parses a golden file. Lines that start with "> " are steps, "| " lines after them their body, "#"
// lines comments before a step; all other lines are output of the step before them and are skipped.
std::vector<SessionStep> ParseSession(std::string_view text);

// Runs one step and returns its output.
using SessionStepRunner = std::function<std::string(const SessionStep&)>;

// Runs all steps and returns the text of the golden file that the run gives.
std::string RunSession(std::string_view text, const SessionStepRunner& run);

}  // namespace savoryglade
