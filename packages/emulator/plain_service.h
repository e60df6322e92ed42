#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "core/time.h"
#include "net/http_server.h"

namespace savoryglade {

// Faults that can be injected into an emulated plain service.
enum class PlainFault {
  kNone,
  // Runs the request and responds after a delay.
  kDelay,
  // Runs the request and responds with 500.
  kFail,
  // Responds with 503 and the verdict not_run without running the request.
  kRefuse,
  // Closes the connection without running the request.
  kCloseBefore,
  // Runs the request and closes the connection without a response.
  kCloseAfter,
  // Runs the request and keeps the connection open without a response.
  kSilent,
};

// Returns the fault with a name such as "close_after", or kNone if the name is unknown.
PlainFault ParsePlainFault(std::string_view name);

// Emulated plain service: responds to each request with its method, its path, its body and the
// number of runs so far, and counts the runs of each Idempotency-Key. Thread-safe.
class PlainService {
 public:
  // Responds to one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Injects a fault into the next count requests. The delay applies to kDelay only.
  void SetFault(PlainFault fault, int count, Duration delay = Duration::zero());

  // Returns the number of requests that ran.
  std::uint64_t runs() const;
  // Returns the number of requests with this Idempotency-Key that ran.
  std::uint64_t RunCount(const std::string& key) const;

 private:
  boost::asio::awaitable<void> HandleFault(HttpExchange& exchange);
  boost::asio::awaitable<void> Run(HttpExchange& exchange, PlainFault fault, Duration delay);
  static boost::asio::awaitable<void> WaitUntilOrDisconnect(HttpExchange& exchange,
                                                            TimePoint until);

  mutable std::mutex mutex_;
  std::uint64_t runs_ = 0;
  std::map<std::string, std::uint64_t> runs_by_key_;
  PlainFault fault_ = PlainFault::kNone;
  int remaining_fault_count_ = 0;
  Duration delay_ = Duration::zero();
};

}  // namespace savoryglade
