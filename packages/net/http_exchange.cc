#include <fmt/format.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

#include "net/http_server.h"
#include "net/memory_budget.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Holds the hexadecimal size and the line end of a chunk.
constexpr std::size_t kMaxChunkHeaderBytes = 20;
// Reason phrase of a status that the HTTP library does not list; callers ignore reason phrases.
constexpr const char* kUnlistedReason = "Unlisted Status";

// Returns the header of a response with any status from 100 to 999.
http::response_header<> MakeHeader(unsigned status, unsigned version) {
  http::response_header<> header;
  header.version(version);
  header.result(status);
  if (http::int_to_status(status) == http::status::unknown) {
    header.reason(kUnlistedReason);
  }
  return header;
}

}  // namespace

std::string_view HttpExchange::target() const {
  return {request_.target().data(), request_.target().size()};
}

std::string_view HttpExchange::Header(std::string_view name) const {
  const auto found = request_.find(beast::string_view(name.data(), name.size()));
  if (found == request_.end()) {
    return {};
  }
  return {found->value().data(), found->value().size()};
}

std::string_view HttpExchange::BearerToken() const {
  static constexpr std::string_view kPrefix = "Bearer ";
  const std::string_view value = Header("Authorization");
  if (value.size() <= kPrefix.size() || !beast::iequals(value.substr(0, kPrefix.size()), kPrefix)) {
    return {};
  }
  return value.substr(kPrefix.size());
}

asio::awaitable<bool> HttpExchange::WriteBuffers(std::string_view before, std::string_view data,
                                                 std::string_view after) {
  const std::array<asio::const_buffer, 3> parts = {asio::buffer(before.data(), before.size()),
                                                   asio::buffer(data.data(), data.size()),
                                                   asio::buffer(after.data(), after.size())};
  SetLease(MemoryPurpose::kResponse, data.size());
  stream_.expires_after(limits_.write_timeout);
  const auto [error, size] = co_await asio::async_write(stream_, parts, kAwait);
  stream_.expires_never();
  SetLease(MemoryPurpose::kResponse, 0);
  if (error) {
    keep_alive_ = false;
  }
  co_return !error;
}

asio::awaitable<bool> HttpExchange::Respond(unsigned status, HttpHeaders headers,
                                            std::string body) {
  http::response<http::string_body> response(MakeHeader(status, request_.version()));
  for (const auto& [name, value] : headers) {
    response.set(name, value);
  }
  response.keep_alive(request_.keep_alive() && keep_alive_);
  keep_alive_ = response.keep_alive();
  response.body() = std::move(body);
  response.prepare_payload();
  // The request is not needed any more, and its sender may read slowly.
  std::string().swap(request_.body());
  SetLease(MemoryPurpose::kBody, 0);
  SetLease(MemoryPurpose::kResponse, response.body().size());
  stream_.expires_after(limits_.write_timeout);
  const auto [error, size] = co_await http::async_write(stream_, response, kAwait);
  stream_.expires_never();
  SetLease(MemoryPurpose::kResponse, 0);
  if (error) {
    keep_alive_ = false;
  }
  co_return !error;
}

asio::awaitable<bool> HttpExchange::StartStream(unsigned status, HttpHeaders headers,
                                                std::string_view first_chunk) {
  http::response<http::empty_body> response(MakeHeader(status, request_.version()));
  for (const auto& [name, value] : headers) {
    response.set(name, value);
  }
  response.keep_alive(request_.keep_alive() && keep_alive_);
  response.chunked(true);
  keep_alive_ = response.keep_alive();
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(response.reason()));
  for (const auto& field : response) {
    text.append(field.name_string()).append(": ").append(field.value()).append("\r\n");
  }
  text += "\r\n";
  if (first_chunk.empty()) {
    co_return co_await WriteBuffers(text, {}, {});
  }
  fmt::format_to(std::back_inserter(text), "{:x}\r\n", first_chunk.size());
  co_return co_await WriteBuffers(text, first_chunk, "\r\n");
}

asio::awaitable<bool> HttpExchange::WriteChunk(std::string_view data) {
  if (data.empty()) {
    co_return true;
  }
  std::array<char, kMaxChunkHeaderBytes> header;
  const auto end = fmt::format_to_n(header.data(), header.size(), "{:x}\r\n", data.size());
  co_return co_await WriteBuffers({header.data(), end.size}, data, "\r\n");
}

asio::awaitable<bool> HttpExchange::EndStream() {
  co_return co_await WriteBuffers("0\r\n\r\n", {}, {});
}

void HttpExchange::Abort() {
  keep_alive_ = false;
  stream_.close();
}

void HttpExchange::SetLease(MemoryPurpose purpose, std::size_t bytes) {
  if (lease_ != nullptr) {
    lease_->Set(purpose, bytes);
  }
}

bool HttpExchange::TryLease(MemoryPurpose purpose, std::size_t bytes) {
  return lease_ == nullptr || lease_->TrySet(purpose, bytes, std::chrono::steady_clock::now());
}

}  // namespace savoryglade
