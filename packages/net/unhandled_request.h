#pragma once

#include <boost/beast/core/error.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/time.h"
#include "net/http_server.h"
#include "net/request_reader.h"

namespace savoryglade {

// Most bytes of a body that are kept unparsed: the header of a chunk, or the trailer.
inline constexpr std::size_t kMaxUnparsedBodyBytes = 16 * 1024;

// Request that ends before its handler is called.
struct UnhandledRequest {
  std::uint64_t connection_id = 0;
  boost::beast::error_code error;
  bool has_unsupported_coding = false;
  // Whether the check of its head has responded to it.
  bool is_answered = false;
  // Bytes received, including those that are not parsed.
  std::size_t bytes = 0;
  // Value of the Content-Length header, or empty.
  std::string content_length;
  // Why the server stopped reading, if the request was not at fault otherwise.
  ReadRefusal refusal = ReadRefusal::kNone;
  // Time since the first byte.
  Duration time{};
};

// Why a request ends before its handler is called.
struct UnhandledReason {
  const char* name;
  // Status of the response, or zero if none is sent.
  unsigned status = 0;
  // Reason in the response.
  const char* response_reason = "";
  // Limit that was exceeded, or empty.
  std::string limit;
  // Time after which the caller may try again, or zero.
  int retry_after_s = 0;
};

// Returns why the request ends and with which response.
UnhandledReason FindReason(const UnhandledRequest& request, const HttpLimits& limits);

}  // namespace savoryglade
