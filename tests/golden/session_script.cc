#include "tests/golden/session_script.h"

#include <sstream>

namespace savoryglade {
namespace {

constexpr std::string_view kStepPrefix = "> ";
constexpr std::string_view kBodyPrefix = "| ";
constexpr std::string_view kCommentPrefix = "#";

bool StartsWith(const std::string& line, std::string_view prefix) {
  return line.compare(0, prefix.size(), prefix) == 0;
}

void ParseWords(const std::string& line, SessionStep& step) {
  std::istringstream stream(line);
  std::string word;
  while (stream >> word) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      step.words.push_back(word);
    } else {
      step.options[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
}

}  // namespace

std::string SessionStep::Option(const std::string& name, const std::string& fallback) const {
  const auto found = options.find(name);
  return found == options.end() ? fallback : found->second;
}

std::string SessionStep::Word(std::size_t index) const {
  return index < words.size() ? words[index] : "";
}

std::vector<SessionStep> ParseSession(std::string_view text) {
  std::vector<SessionStep> steps;
  std::string comments;
  std::istringstream stream{std::string(text)};
  std::string line;
  while (std::getline(stream, line)) {
    if (StartsWith(line, kCommentPrefix)) {
      comments += line + "\n";
    } else if (StartsWith(line, kStepPrefix)) {
      SessionStep step;
      step.source = comments + line + "\n";
      comments.clear();
      ParseWords(line.substr(kStepPrefix.size()), step);
      steps.push_back(std::move(step));
    } else if (StartsWith(line, kBodyPrefix) && !steps.empty()) {
      steps.back().source += line + "\n";
      steps.back().body += line.substr(kBodyPrefix.size()) + "\n";
    }
  }
  return steps;
}

std::string RunSession(std::string_view text, const SessionStepRunner& run) {
  std::string result;
  for (const SessionStep& step : ParseSession(text)) {
    result += result.empty() ? "" : "\n";
    result += step.source;
    std::istringstream output(run(step));
    std::string line;
    while (std::getline(output, line)) {
      // The indentation keeps output lines from being parsed as a step, a body or a comment.
      result += line.empty() ? "\n" : "  " + line + "\n";
    }
  }
  return result;
}

}  // namespace savoryglade
