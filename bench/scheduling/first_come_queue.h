#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "scheduling/scheduler.h"

namespace savoryglade::bench {

// Baseline of all measures: one queue in order of arrival, bounded by length only.
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

  // Returns the oldest request. Those whose deadline has passed are dropped.
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
