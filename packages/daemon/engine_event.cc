#include "daemon/engine_event.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace savoryglade {
namespace {

namespace json = boost::json;

// Returns true if the content of a JSON string needs no decoding: no quote, escape, control
// character or byte beyond ASCII.
bool IsUnescapedAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c < '\x7f' && c != '"' && c != '\\'; });
}

// Removes the expected prefix from the text. Returns false if the text does not start with it.
bool ConsumePrefix(std::string_view& text, std::string_view expected) {
  if (text.substr(0, expected.size()) != expected) {
    return false;
  }
  text.remove_prefix(expected.size());
  return true;
}

// Parses an event of the form {"generation":"...","position":N,"token":"..."}.
std::optional<EngineEvent> ParseCommonForm(std::string_view data) {
  EngineEvent event;
  if (!ConsumePrefix(data, "{\"generation\":\"")) {
    return std::nullopt;
  }
  const std::size_t end = data.find('"');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  event.generation = data.substr(0, end);
  data.remove_prefix(end);
  if (!ConsumePrefix(data, "\",\"position\":")) {
    return std::nullopt;
  }
  const auto [rest, error] =
      std::from_chars(data.data(), data.data() + data.size(), event.position);
  if (error != std::errc()) {
    return std::nullopt;
  }
  data.remove_prefix(static_cast<std::size_t>(rest - data.data()));
  if (!ConsumePrefix(data, ",\"token\":\"") || data.size() < 2 ||
      data.substr(data.size() - 2) != "\"}") {
    return std::nullopt;
  }
  data.remove_suffix(2);
  if (!IsUnescapedAscii(event.generation) || !IsUnescapedAscii(data)) {
    return std::nullopt;
  }
  event.token = data;
  return event;
}

}  // namespace

std::optional<EngineEvent> EngineEventParser::Parse(std::string_view data) {
  const std::optional<EngineEvent> event = ParseCommonForm(data);
  return event ? event : ParseJson(data);
}

std::optional<EngineEvent> EngineEventParser::ParseJson(std::string_view data) {
  json::error_code error;
  const json::value document = json::parse(json::string_view(data.data(), data.size()), error);
  const json::object* object = error ? nullptr : document.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* generation = object->if_contains("generation");
  const json::value* position = object->if_contains("position");
  const json::value* token = object->if_contains("token");
  const json::value* done = object->if_contains("done");
  if (generation == nullptr || !generation->is_string() || position == nullptr ||
      !position->is_int64()) {
    return std::nullopt;
  }
  EngineEvent event{.position = position->get_int64()};
  event.done = done != nullptr && done->is_bool() && done->get_bool();
  if (!event.done && (token == nullptr || !token->is_string())) {
    return std::nullopt;
  }
  generation_ = std::string_view(generation->get_string());
  event.generation = generation_;
  if (!event.done) {
    token_ = json::serialize(*token);
    event.token = std::string_view(token_).substr(1, token_.size() - 2);
  }
  if (const json::value* cached = object->if_contains("cached_tokens");
      cached != nullptr && cached->is_int64()) {
    event.cached_tokens = cached->get_int64();
  }
  return event;
}

}  // namespace savoryglade
