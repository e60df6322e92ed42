#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace savoryglade {

// Splits a stream of server-sent events into the data of each event. Only "data:" lines are kept;
// comments and other fields are skipped.
class SseReader {
 public:
  // Buffer to which received text is appended.
  std::string& buffer() { return buffer_; }

  // Returns the data of the next whole event; nothing until more text arrives. The view is valid
  // until the next call of Next, Compact or a change of the buffer.
  std::optional<std::string_view> Next();

  // Drops the text of events that were returned. Call before appending.
  void Compact();

 private:
  std::string buffer_;
  std::size_t position_ = 0;
};

}  // namespace savoryglade
