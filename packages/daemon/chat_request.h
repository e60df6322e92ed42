#pragma once

#include <optional>
#include <string>

namespace savoryglade {

// A chat completion request. The model name and the prompt are valid UTF-8.
struct ChatRequest {
  std::string model;
  std::string prompt;
  int max_tokens = 256;
  bool stream = false;
};

// Parses the body of a chat completion request. Returns nothing if it is malformed.
std::optional<ChatRequest> ParseChatRequest(const std::string& body);

// Returns the model name in a body that may be malformed; empty if there is none.
std::string FindModelName(const std::string& body);

}  // namespace savoryglade
