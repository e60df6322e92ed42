#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/strong_id.h"
#include "core/verdict.h"
#include "daemon/chat_request.h"
#include "net/http_server.h"

namespace savoryglade {

// Writes the tokens of one model response to its caller, as server-sent events or as one JSON
// response. A response that is continued at another upstream or daemon stays equal byte for byte.
class ResponseWriter {
 public:
  // The first position is the one after the last token that the caller already has. It must be zero
  // unless the response is streamed.
  ResponseWriter(HttpExchange& exchange, const RequestKey& key, const ChatRequest& chat,
                 std::int64_t first_position);

  // Returns true if a part of the response has been handed to the socket.
  bool started() const { return started_; }
  // Position of the token that AddToken takes next.
  std::int64_t next_position() const { return next_position_; }
  // Text of the response before the next position, as the content of a JSON string; empty if it is
  // not retained.
  std::string_view known_text() const { return known_text_; }

  // Appends the token of the next position to the pending output. The token is the content of a
  // JSON string.
  void AddToken(std::string_view token);

  // Sends the pending output. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> Flush();

  // Ends a complete response. Returns false if the caller has disconnected.
  boost::asio::awaitable<bool> Finish();

  // Ends a stream early with an event that tells the caller to resume at another daemon.
  boost::asio::awaitable<void> FinishWithResume();

  // Ends a stream that can't be continued with an error event. The event carries the verdict, i.e.
  // the final outcome of the request: whether it ran, why it failed, and when the caller may retry.
  boost::asio::awaitable<void> FinishWithVerdict(const Verdict& verdict);

 private:
  HttpExchange& exchange_;
  const RequestKey& key_;
  const bool stream_;
  // Text of a token's server-sent event before the position, and between the position and the
  // token.
  std::string position_prefix_;
  std::string token_prefix_;
  std::string model_json_;
  std::int64_t next_position_;
  bool text_is_known_;
  std::string known_text_;
  std::string pending_;
  bool started_ = false;
};

}  // namespace savoryglade
