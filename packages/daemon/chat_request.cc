#include "daemon/chat_request.h"

#include <boost/json.hpp>
#include <string_view>

namespace savoryglade {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxTokens = 1'000'000;

}  // namespace

std::optional<ChatRequest> ParseChatRequest(const std::string& body) {
  json::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_object()) {
    return std::nullopt;
  }
  const json::object& object = document.get_object();
  const json::value* model = object.if_contains("model");
  const json::value* messages = object.if_contains("messages");
  if (model == nullptr || !model->is_string() || messages == nullptr || !messages->is_array()) {
    return std::nullopt;
  }
  ChatRequest request{.model = std::string(model->get_string())};
  for (const json::value& message : messages->get_array()) {
    const json::object* fields = message.if_object();
    const json::value* content = fields == nullptr ? nullptr : fields->if_contains("content");
    if (content == nullptr || !content->is_string()) {
      return std::nullopt;
    }
    request.prompt += std::string_view(content->get_string());
    request.prompt += '\n';
  }
  if (const json::value* limit = object.if_contains("max_tokens")) {
    if (!limit->is_int64() || limit->get_int64() < 1 || limit->get_int64() > kMaxTokens) {
      return std::nullopt;
    }
    request.max_tokens = static_cast<int>(limit->get_int64());
  }
  if (const json::value* stream = object.if_contains("stream")) {
    if (!stream->is_bool()) {
      return std::nullopt;
    }
    request.stream = stream->get_bool();
  }
  return request;
}

std::string FindModelName(const std::string& body) {
  json::error_code error;
  const json::value document = json::parse(body, error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* model = object == nullptr ? nullptr : object->if_contains("model");
  return model != nullptr && model->is_string() ? std::string(model->get_string()) : "";
}

}  // namespace savoryglade
