#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace savoryglade {

// Pool of worker threads, each with its own io_context. A connection stays on the worker that
// accepted it, so its state needs no lock.
class WorkerPool {
 public:
  // Starts the threads. The size must be positive.
  explicit WorkerPool(std::size_t size);
  // Stops and joins the threads.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  std::size_t size() const { return workers_.size(); }

  // Returns the context of a worker.
  boost::asio::io_context& context(std::size_t index) { return workers_[index]->context; }

  // Returns the contexts in round-robin order.
  boost::asio::io_context& Next();

  // Returns the index of the current thread's worker. Must be called on a worker thread.
  static std::size_t CurrentIndex();

  // Stops all workers and waits for their threads. May be called more than once.
  void Stop();

 private:
  struct Worker {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
        context.get_executor()};
    std::thread thread;
  };

  std::vector<std::unique_ptr<Worker>> workers_;
  std::atomic<std::size_t> next_index_{0};
};

}  // namespace savoryglade
