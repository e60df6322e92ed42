#include "net/worker_pool.h"

namespace savoryglade {
namespace {

thread_local std::size_t current_worker_index = 0;

}  // namespace

WorkerPool::WorkerPool(std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) {
    workers_.push_back(std::make_unique<Worker>());
    Worker& worker = *workers_.back();
    worker.thread = std::thread([&worker, i] {
      current_worker_index = i;
      worker.context.run();
    });
  }
}

WorkerPool::~WorkerPool() { Stop(); }

boost::asio::io_context& WorkerPool::Next() {
  return workers_[next_index_.fetch_add(1, std::memory_order_relaxed) % workers_.size()]->context;
}

std::size_t WorkerPool::CurrentIndex() { return current_worker_index; }

void WorkerPool::Stop() {
  for (const auto& worker : workers_) {
    worker->guard.reset();
    worker->context.stop();
  }
  for (const auto& worker : workers_) {
    if (worker->thread.joinable()) {
      worker->thread.join();
    }
  }
}

}  // namespace savoryglade
