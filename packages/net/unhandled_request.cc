#include "net/unhandled_request.h"

#include <fmt/format.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace savoryglade {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// By then, connections without progress have been closed.
constexpr int kMemoryRetrySeconds = 1;

}  // namespace

UnhandledReason FindReason(const UnhandledRequest& request, const HttpLimits& limits) {
  const beast::error_code& error = request.error;
  if (request.refusal == ReadRefusal::kNoMemory) {
    return {.name = "memory_full",
            .status = 503,
            .response_reason = "memory_full",
            .retry_after_s = kMemoryRetrySeconds};
  }
  if (request.refusal == ReadRefusal::kTooManyFields) {
    return {.name = "too_many_header_fields",
            .status = 431,
            .response_reason = "request_too_large",
            .limit = fmt::format("{} fields", limits.header_fields)};
  }
  if (error == beast::error::timeout) {
    return {.name = "read_timeout", .limit = fmt::format("{} ms", limits.read_timeout / 1ms)};
  }
  if (error.category() != make_error_code(http::error::bad_method).category()) {
    return {.name = "connection_lost"};
  }
  if (request.has_unsupported_coding) {
    return {.name = "unsupported_coding", .status = 501, .response_reason = "malformed_request"};
  }
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    const std::size_t limit = error == http::error::header_limit
                                  ? limits.header_size
                                  : limits.header_size + kMaxUnparsedBodyBytes;
    return {.name = "header_too_large",
            .status = 431,
            .response_reason = "request_too_large",
            .limit = fmt::format("{} bytes", limit)};
  }
  if (error == http::error::body_limit) {
    return {.name = "body_too_large",
            .status = 413,
            .response_reason = "request_too_large",
            .limit = fmt::format("{} bytes", limits.body_size)};
  }
  return {.name = error == http::error::partial_message ? "truncated" : "malformed",
          .status = 400,
          .response_reason = "malformed_request"};
}

}  // namespace savoryglade
