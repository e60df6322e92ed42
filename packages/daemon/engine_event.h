#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savoryglade {

// One event of an engine's stream. The views point into the event or its parser.
struct EngineEvent {
  std::string_view generation;
  std::int64_t position = 0;
  // Content of the JSON string of the token, still escaped.
  std::string_view token;
  bool done = false;
  // Set in the final event only.
  std::int64_t cached_tokens = 0;
};

// Parses events of engines. Those in the usual form are taken apart in place without allocation,
// all others by the JSON library.
class EngineEventParser {
 public:
  // Returns the event, or nothing if it is malformed. Valid until the next call.
  std::optional<EngineEvent> Parse(std::string_view data);

 private:
  std::optional<EngineEvent> ParseJson(std::string_view data);

  std::string generation_;
  std::string token_;
};

}  // namespace savoryglade
