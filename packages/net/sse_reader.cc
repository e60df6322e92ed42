#include "net/sse_reader.h"

namespace savoryglade {
namespace {

constexpr std::string_view kDataPrefix = "data:";

// Returns the first data line of an event, whose lines end with '\n'. Engines send one data line
// per event.
std::optional<std::string_view> ExtractData(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.substr(0, kDataPrefix.size()) == kDataPrefix) {
      line.remove_prefix(kDataPrefix.size());
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      return line;
    }
    if (end == std::string_view::npos) {
      break;
    }
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string_view> SseReader::Next() {
  while (true) {
    const std::size_t end = buffer_.find("\n\n", read_position_);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string_view event =
        std::string_view(buffer_).substr(read_position_, end - read_position_);
    read_position_ = end + 2;
    if (const auto data = ExtractData(event)) {
      return data;
    }
  }
}

bool SseReader::HasNext() {
  const std::size_t position = read_position_;
  if (!Next()) {
    return false;
  }
  read_position_ = position;
  return true;
}

void SseReader::Compact() {
  buffer_.erase(0, read_position_);
  read_position_ = 0;
}

}  // namespace savoryglade
