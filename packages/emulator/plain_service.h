#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "net/http_server.h"

namespace savoryglade {

// Emulated plain service: answers each request with its method, path, body and the number of runs
// so far.
class PlainService {
 public:
  // Answers one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Number of requests that ran.
  std::uint64_t runs() const { return runs_.load(); }

 private:
  std::atomic<std::uint64_t> runs_{0};
};

}  // namespace savoryglade
