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

// Delivers the tokens of one answer to its caller, as server-sent events or as one JSON answer. An
// answer that is continued at another upstream or daemon is equal byte for byte.
class ResponseWriter {
 public:
  // The first position is the one after those that the caller already has; it must be zero unless
  // the answer is streamed.
  ResponseWriter(HttpExchange& exchange, const RequestKey& key, const ChatRequest& chat,
                 std::int64_t first_position);

  // Returns true if a part of the answer has been handed to the socket.
  bool started() const { return started_; }
  // Position that Add takes next.
  std::int64_t next_position() const { return next_position_; }
  // Content of the JSON string of all tokens before the next position; empty if it is not known.
  std::string_view known_text() const { return known_text_; }

  // Adds the token of the next position to the pending output. The token is the content of a JSON
  // string.
  void Add(std::string_view token);

  // Sends what is pending. Returns false if the caller is gone.
  boost::asio::awaitable<bool> Flush();

  // Ends a whole answer. Returns false if the caller is gone.
  boost::asio::awaitable<bool> Finish();

  // Ends a streamed answer early with an event that tells the caller to resume at another daemon.
  boost::asio::awaitable<void> FinishWithResume();

  // Ends a streamed answer that can't be continued with an event that carries the verdict.
  boost::asio::awaitable<void> FinishWithVerdict(const Verdict& verdict);

 private:
  HttpExchange& exchange_;
  const RequestKey& key_;
  const bool stream_;
  // Parts of an event around its position and around its token.
  std::string before_position_;
  std::string before_token_;
  std::string model_;
  std::int64_t next_position_;
  bool text_is_known_;
  std::string known_text_;
  std::string pending_;
  bool started_ = false;
};

}  // namespace savoryglade
