#pragma once

#include <optional>
#include <string>

namespace savoryglade {

// What a caller asks of a model. The name and all contents are valid UTF-8.
struct ChatRequest {
  std::string model;
  std::string prompt;
  int max_tokens = 256;
  bool stream = false;
};

// Parses the body of a chat completion; nothing if it is malformed.
std::optional<ChatRequest> ParseChatRequest(const std::string& body);

// Returns the model that a malformed body names; empty if it names none.
std::string FindModelName(const std::string& body);

}  // namespace savoryglade
