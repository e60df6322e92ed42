#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <type_traits>
#include <utility>

#include "net/worker_pool.h"

namespace savoryglade {

// Thread for computations that would hold up an event loop for long.
class BackgroundWorker {
 public:
  // Runs a function that goes through this number of bytes, and resumes the caller on its own
  // thread with the result. Functions run one after the other; one on few bytes runs on the thread
  // of the caller. The function must not use what other threads change.
  template <typename Function>
  boost::asio::awaitable<std::invoke_result_t<Function&>> Run(std::size_t bytes,
                                                              Function function) {
    using Result = std::invoke_result_t<Function&>;
    if (bytes < kMinBytes) {
      co_return function();
    }
    // Named, because g++ 12 destroys the captures of a lambda inside a co_await expression twice.
    auto task = [function = std::move(function)]() mutable -> boost::asio::awaitable<Result> {
      co_return function();
    };
    co_return co_await boost::asio::co_spawn(pool_.context(0), std::move(task),
                                             boost::asio::use_awaitable);
  }

  // Waits for the function that runs, and runs no more.
  void Stop() { pool_.Stop(); }

 private:
  // A change of threads takes longer than work on fewer bytes.
  static constexpr std::size_t kMinBytes = 32 * 1024;

  WorkerPool pool_{1};
};

}  // namespace savoryglade
