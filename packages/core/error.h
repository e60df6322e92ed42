#pragma once

#include <string>

#include "tl/expected.hpp"

namespace savoryglade {

// Kind of failure of an operation that is not a caller's request.
enum class ErrorCode {
  kInvalid,
  kConflict,
  kUnavailable,
  kUnknownOutcome,
  kNotFound,
  kTimeout,
  kDenied
};

// Failure of an operation, with a full sentence for the person who reads it.
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

// Value or failure.
template <typename T>
using Result = tl::expected<T, Error>;

}  // namespace savoryglade
