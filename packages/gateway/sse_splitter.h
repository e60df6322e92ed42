#pragma once

#include <string>
#include <string_view>

namespace savoryglade::gateway {

// Returns true if complete events hold more than comments.
bool HoldsEvent(std::string_view events);

// Splits a stream of server-sent events at event boundaries without changing a byte, so that a
// stream that breaks within an event can be resumed at another upstream.
class SseSplitter {
 public:
  // Appends received bytes and returns all complete events, including their terminating empty
  // lines.
  std::string Append(std::string_view bytes);

  // Returns the bytes of the incomplete last event.
  const std::string& partial_event() const { return rest_; }
  // Discards the incomplete event before the stream resumes at another upstream.
  void Reset() { rest_.clear(); }
  // Returns the last id in the complete events, or an empty string if none had an id.
  const std::string& last_id() const { return last_id_; }

 private:
  void UpdateLastId(std::string_view events);

  std::string rest_;
  std::string last_id_;
};

}  // namespace savoryglade::gateway
