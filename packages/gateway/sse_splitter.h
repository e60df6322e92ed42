#pragma once

#include <string>
#include <string_view>

namespace savoryglade::gateway {

// Cuts a stream of server-sent events into whole events without changing a byte, so that a stream
// that breaks off in the middle of an event can go on at another upstream.
class SseSplitter {
 public:
  // Takes received bytes and returns those of whole events, up to and with their empty lines.
  std::string Append(std::string_view bytes);

  // Bytes of an event that is not whole yet.
  const std::string& partial_event() const { return rest_; }
  // Forgets the rest, for a new upstream.
  void Reset() { rest_.clear(); }
  // Id of the last whole event, empty if none had one.
  const std::string& last_id() const { return last_id_; }

 private:
  void UpdateLastId(std::string_view events);

  std::string rest_;
  std::string last_id_;
};

}  // namespace savoryglade::gateway
