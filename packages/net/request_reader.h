#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "net/http_server.h"
#include "net/memory_budget.h"

namespace savoryglade {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

// Why the reading of a request stopped although its bytes are valid.
enum class ReadRefusal : std::uint8_t { kNone, kTooManyFields, kNoMemory };

// A listener that takes no larger bodies gets memory also when the budget is used up, so that the
// ports for readiness, metrics and peers always work. Its limits on connections, heads and bodies
// bound what it holds.
inline constexpr std::size_t kReservedBodyBytes = 4 * 1024;

// Reads one request from a connection, with a lease for each byte before it is read. Handles
// clients that send heads of very many short fields and bodies that stop short of their end. Used
// by one coroutine.
class RequestReader {
 public:
  // Time for which a request waits for memory before it is refused. Longer than kMinStall, so that
  // connections without progress are closed first.
  static constexpr Duration kMaxMemoryWait = 1s;

  RequestReader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                const HttpLimits& limits, MemoryLease& lease);

  // Reads until the head is complete.
  boost::asio::awaitable<boost::beast::error_code> ReadHead(RequestParser& parser);
  // Reads until the body is complete.
  boost::asio::awaitable<boost::beast::error_code> ReadBody(RequestParser& parser);

  // Bytes that were parsed.
  std::size_t bytes() const { return bytes_; }
  ReadRefusal refusal() const { return refusal_; }

 private:
  // Counts the lines of the head in bytes that have arrived. Returns false if they are too many.
  bool CountLines(std::string_view arrived);
  // Waits until the lease has this size for the purpose. Returns false if it must be refused.
  boost::asio::awaitable<bool> Lease(MemoryPurpose purpose, std::size_t bytes);
  // Waits until a large body may begin.
  boost::asio::awaitable<bool> AwaitLarge();
  // Calls the condition until it is true or the time to wait is over.
  template <typename Condition>
  boost::asio::awaitable<bool> AwaitMemory(Condition condition);
  // Reads up to this number of bytes into the buffer, for which a lease is held.
  boost::asio::awaitable<boost::beast::error_code> ReadSome(RequestParser& parser,
                                                            std::size_t size);
  std::size_t HeadBytes() const;

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buffer_;
  const HttpLimits& limits_;
  MemoryLease& lease_;
  std::size_t bytes_ = 0;
  // Bytes that were read since progress was reported to the lease.
  std::size_t unreported_bytes_ = 0;
  std::size_t lines_ = 0;
  std::size_t line_bytes_ = 0;
  bool head_ended_ = false;
  ReadRefusal refusal_ = ReadRefusal::kNone;
};

}  // namespace savoryglade
