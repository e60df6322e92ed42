#include "scheduling/scheduler.h"

#include <algorithm>

namespace savoryglade {
namespace {

constexpr Duration kQueueFullRetryAfter = 1s;

Verdict Refuse(Reason reason) {
  return {.run_state = RunState::kNotRun, .reason = reason, .retry_after = kQueueFullRetryAfter};
}

}  // namespace

tl::expected<void, Verdict> Scheduler::Enqueue(const QueuedRequest& request, TimePoint now) {
  if (request.deadline <= now) {
    return tl::make_unexpected(Refuse(Reason::kDeadlineUnreachable));
  }
  if (queue_.size() >= options_.queue_limit) {
    return tl::make_unexpected(Refuse(Reason::kQueueFull));
  }
  std::size_t& account_size = account_sizes_[request.account];
  if (account_size >= options_.account_queue_limit) {
    return tl::make_unexpected(Refuse(Reason::kAccountQueueFull));
  }
  ++account_size;
  queue_.push_back(request);
  return {};
}

std::optional<QueuedRequest> Scheduler::Next(const CanStart& can_start, TimePoint /*now*/) {
  const auto found = std::find_if(queue_.begin(), queue_.end(), [&](const QueuedRequest& request) {
    return can_start(request.service);
  });
  if (found == queue_.end()) {
    return std::nullopt;
  }
  QueuedRequest request = *found;
  --account_sizes_[request.account];
  queue_.erase(found);
  return request;
}

bool Scheduler::Cancel(Ticket ticket) {
  const auto found =
      std::find_if(queue_.begin(), queue_.end(),
                   [ticket](const QueuedRequest& request) { return request.ticket == ticket; });
  if (found == queue_.end()) {
    return false;
  }
  --account_sizes_[found->account];
  queue_.erase(found);
  return true;
}

void Scheduler::Finish(Ticket /*ticket*/, double /*actual_cost*/, TimePoint /*now*/) {}

std::vector<ExpiredRequest> Scheduler::Expire(TimePoint now) {
  std::vector<ExpiredRequest> expired;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->deadline > now) {
      ++it;
      continue;
    }
    expired.push_back({.ticket = it->ticket, .verdict = Refuse(Reason::kDeadlineExceeded)});
    --account_sizes_[it->account];
    it = queue_.erase(it);
  }
  return expired;
}

}  // namespace savoryglade
