#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace savoryglade {

// Incremental parser of a stream of server-sent events that returns the data of each event. Skips
// comments and all fields other than "data:".
class SseReader {
 public:
  // Largest event, in bytes.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  // Buffer to which received text is appended.
  std::string& buffer() { return buffer_; }

  // Returns the data of the next complete event, or nothing if more text is needed. The view is
  // valid until the next call of Next or Compact or a change of the buffer.
  std::optional<std::string_view> Next();

  // Returns true if Next would return an event.
  bool HasNext();

  // Returns true if an incomplete event exceeds kMaxEventBytes.
  bool HasOversizedEvent() const { return buffer_.size() - read_position_ > kMaxEventBytes; }

  // Removes the text of returned events from the buffer. Must be called before appending.
  void Compact();

 private:
  std::string buffer_;
  std::size_t read_position_ = 0;
};

}  // namespace savoryglade
