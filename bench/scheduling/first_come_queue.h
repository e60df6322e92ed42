#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "scheduling/scheduler.h"

namespace savoryglade::bench {

// Baseline of all measures: a first-come, first-served queue bounded by length only.
class FirstComeQueue {
 public:
  // Returns false if the queue or the account's part of it is full.
  bool Enqueue(const QueuedRequest& request) {
    std::size_t& account_size = account_sizes_[request.account];
    if (queue_.size() >= 4096 || account_size >= 1024) {
      return false;
    }
    ++account_size;
    queue_.push_back(request);
    return true;
  }

  // Removes and returns the oldest request whose deadline has not passed; drops the expired ones
  // before it.
  std::optional<QueuedRequest> Dequeue(TimePoint now) {
    while (!queue_.empty()) {
      const QueuedRequest request = queue_.front();
      queue_.pop_front();
      --account_sizes_[request.account];
      if (request.deadline > now) {
        return request;
      }
    }
    return std::nullopt;
  }

 private:
  std::deque<QueuedRequest> queue_;
  std::map<AccountId, std::size_t> account_sizes_;
};

}  // namespace savoryglade::bench
