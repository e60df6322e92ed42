#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryglade {

// One event of an engine's stream. The views point into the parsed text or into the parser.
struct EngineEvent {
  std::string_view generation;
  std::int64_t position = 0;
  // Token as the content of a JSON string, still escaped.
  std::string_view token;
  bool done = false;
  // Set in the final event only.
  std::int64_t cached_tokens = 0;
};

// Parses events of engines. Events in the most common form are parsed in place without allocation,
// all others with the JSON library.
class EngineEventParser {
 public:
  // Returns the event, which is valid until the next call, or nothing if it is malformed.
  std::optional<EngineEvent> Parse(std::string_view data);

 private:
  std::optional<EngineEvent> ParseJson(std::string_view data);

  std::string generation_;
  std::string token_;
};

}  // namespace savoryglade
