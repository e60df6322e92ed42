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

// Faults that an emulated plain service shows on command.
enum class PlainFault {
  kNone,
  // Answers after a delay.
  kDelay,
  // Runs the request and answers 500.
  kFail,
  // Answers 503 with the statement that the request did not run.
  kRefuse,
  // Closes the connection without answer and without running the request.
  kCloseBefore,
  // Runs the request and closes the connection without answer.
  kCloseAfter,
  // Runs the request and keeps the connection open without answer.
  kSilent,
};

// Returns the fault of a name such as "close_after"; kNone if there is none of that name.
PlainFault ParsePlainFault(std::string_view name);

// Emulated plain service: answers each request with its method, path, body and the number of runs
// so far, in all and of its Idempotency-Key. Safe to use from all workers.
class PlainService {
 public:
  // Answers one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Shows a fault for the next requests, as many as the count says.
  void SetFault(PlainFault fault, int count, Duration delay = Duration::zero());

  // Number of requests that ran.
  std::uint64_t runs() const;
  // Number of requests with this Idempotency-Key that ran.
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
