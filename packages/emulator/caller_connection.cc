#include "emulator/caller_connection.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

std::size_t CountTokens(const std::string& body) {
  std::size_t count = 0;
  for (std::size_t at = body.find("\"content\""); at != std::string::npos;
       at = body.find("\"content\"", at + 1)) {
    // A partial event is not counted, because clients process only complete events.
    count += body.find("\n\n", at) != std::string::npos ? 1 : 0;
  }
  return count;
}

}  // namespace

CallerConnection::CallerConnection(const Endpoint& endpoint) : socket_(context_) {
  StartNextResponse();
  socket_.connect(tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port));
}

void CallerConnection::Send(std::string_view text) {
  beast::error_code ignored;
  asio::write(socket_, asio::buffer(text.data(), text.size()), ignored);
}

void CallerConnection::ShutdownSend() { socket_.shutdown(tcp::socket::shutdown_send); }

void CallerConnection::Close() { socket_.close(); }

void CallerConnection::StartNextResponse() {
  parser_ = std::make_unique<Parser>();
  parser_->body_limit(boost::none);
}

bool CallerConnection::ClosedByPeer() {
  socket_.non_blocking(true);
  char byte = 0;
  beast::error_code error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  socket_.non_blocking(false);
  return error.failed() && error != asio::error::would_block;
}

void CallerConnection::ReadUntil(const std::function<bool(const std::string&)>& condition) {
  while (!ended_ && !parser_->is_done() && !condition(parser_->get().body())) {
    beast::error_code error;
    http::read_some(socket_, buffer_, *parser_, error);
    ended_ = error.failed();
  }
}

void CallerConnection::ReadUntilTokenCount(std::size_t count) {
  ReadUntil([count](const std::string& body) { return CountTokens(body) >= count; });
}

bool CallerConnection::ReadAll() {
  ReadUntil([](const std::string&) { return false; });
  return parser_->is_done();
}

void CallerConnection::WaitForClose() {
  std::array<char, 1024> discarded{};
  beast::error_code error;
  while (!error) {
    socket_.read_some(asio::buffer(discarded), error);
  }
  ended_ = true;
}

std::string CallerConnection::Header(std::string_view name) const {
  return std::string(parser_->get()[beast::string_view(name.data(), name.size())]);
}

}  // namespace savoryglade
