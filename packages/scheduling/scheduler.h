#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "core/verdict.h"
#include "tl/expected.hpp"

namespace savoryglade {

// Number of one request inside one daemon, unique while the daemon runs.
using Ticket = std::uint64_t;

// One request that waits for an upstream. The cost is in seconds of one slot of an upstream.
struct QueuedRequest {
  Ticket ticket = 0;
  AccountId account;
  ServiceId service;
  double predicted_cost = 0;
  TimePoint enqueued;
  TimePoint deadline;

  friend auto operator<=>(const QueuedRequest&, const QueuedRequest&) = default;
};

// A request that left the queue without running, with its final verdict.
struct ExpiredRequest {
  Ticket ticket = 0;
  Verdict verdict;
};

// Limits of the queue, in requests.
struct SchedulerOptions {
  std::size_t queue_limit = 4096;
  std::size_t account_queue_limit = 1024;
};

// Decides which waiting request runs next. Not safe to use from several threads: the daemon holds
// its lock.
class Scheduler {
 public:
  using CanStart = std::function<bool(const ServiceId&)>;

  explicit Scheduler(SchedulerOptions options) : options_(options) {}

  // Takes a request into the queue, or refuses it with a verdict that always says "not run".
  tl::expected<void, Verdict> Enqueue(const QueuedRequest& request, TimePoint now);

  // Removes and returns the next request whose service can start one now; nothing if there is none.
  std::optional<QueuedRequest> Next(const CanStart& can_start, TimePoint now);

  // Removes a waiting request. Returns false if it is not in the queue.
  bool Cancel(Ticket ticket);

  // Corrects the charge of a request that ran. The cost is in seconds of one slot of an upstream.
  void Finish(Ticket ticket, double actual_cost, TimePoint now);

  // Removes and returns the requests whose deadline has passed.
  std::vector<ExpiredRequest> Expire(TimePoint now);

  std::size_t size() const { return queue_.size(); }

 private:
  SchedulerOptions options_;
  std::list<QueuedRequest> queue_;
  std::map<AccountId, std::size_t> account_sizes_;
};

}  // namespace savoryglade
