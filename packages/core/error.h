#pragma once

#include <string>

#include "tl/expected.hpp"

namespace savoryglade {

// Error class of an operation other than a caller's request.
enum class ErrorCode {
  kInvalid,
  kConflict,
  kUnavailable,
  kUnknownOutcome,
  kNotFound,
  kTimeout,
  kDenied
};

// Error of an operation. The message is a full sentence for operators.
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

// Value of type T or an error.
template <typename T>
using Result = tl::expected<T, Error>;

}  // namespace savoryglade
