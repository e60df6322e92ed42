#pragma once

#include <exception>
#include <string_view>

namespace savoryglade {

// Completion handler of a coroutine that nothing waits for. Logs the exception that ends the
// coroutine, which asio::detached would discard. The name must outlive the coroutine, usually a
// string literal.
class LogException {
 public:
  explicit LogException(std::string_view coroutine) : coroutine_(coroutine) {}

  void operator()(const std::exception_ptr& exception) const;

 private:
  std::string_view coroutine_;
};

}  // namespace savoryglade
