#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/endpoint.h"

namespace savoryglade {

// Blocking HTTP/1.1 client connection for tests, which sends raw bytes and reads one response.
class CallerConnection {
 public:
  explicit CallerConnection(const Endpoint& endpoint);

  // Writes the text to the socket unchanged. Write errors are ignored.
  void Send(std::string_view text);
  // Shuts down the sending side; the response can still be read.
  void ShutdownSend();
  void Close();

  // Discards the current response, so that the next one on the connection can be read.
  void StartNextResponse();

  // Reads until the body received so far satisfies the condition or the response ends.
  void ReadUntil(const std::function<bool(const std::string&)>& condition);
  // Reads until the body holds at least this number of token events or the response ends.
  void ReadUntilTokenCount(std::size_t count);
  // Reads to the end of the response. Returns false if the connection closed before it.
  bool ReadAll();
  // Discards input until the peer closes the connection.
  void WaitForClose();
  // Returns true if the peer has closed the connection. Does not wait.
  bool ClosedByPeer();

  unsigned status() const { return parser_->get().result_int(); }
  std::string Header(std::string_view name) const;
  const std::string& body() const { return parser_->get().body(); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  bool ended_ = false;
};

}  // namespace savoryglade
