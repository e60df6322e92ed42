#include "recovery/claim_committer.h"

#include <utility>

namespace savoryglade {

std::vector<ClaimWriteResult> ClaimCommitter::Submit(const DaemonId& daemon,
                                                     const std::vector<ClaimWrite>& writes) {
  std::vector<ClaimWriteResult> refused;
  for (const ClaimWrite& write : writes) {
    if (queue_.size() >= options_.max_queued_writes) {
      refused.push_back({daemon, write.id, TableStatus::kUnavailable});
    } else {
      queue_.push_back({daemon, write});
    }
  }
  return refused;
}

std::optional<ClaimTransaction> ClaimCommitter::NextTransaction(TimePoint now) {
  if (queue_.empty() || now < next_commit_at_) {
    return std::nullopt;
  }
  next_commit_at_ = now + options_.interval;
  const std::uint64_t id = next_id_++;
  InFlightTransaction& in_flight = in_flight_[id];
  in_flight.deadline = now + options_.timeout;
  const std::uint64_t split_group = queue_.front().split_group;
  std::set<ClaimKey> rows;
  std::deque<QueuedWrite> deferred;
  ClaimTransaction transaction{.id = id};
  for (QueuedWrite& queued : queue_) {
    // Further writes of a deferred row are deferred too, so that the writes of a row stay in order.
    if (queued.split_group != split_group ||
        in_flight.writes.size() >= options_.max_writes_per_transaction ||
        !rows.insert(queued.write.key).second) {
      rows.insert(queued.write.key);
      deferred.push_back(std::move(queued));
    } else {
      transaction.writes.push_back(queued.write);
      in_flight.writes.push_back(std::move(queued));
    }
  }
  queue_ = std::move(deferred);
  return transaction;
}

std::vector<ClaimWriteResult> ClaimCommitter::OnResult(std::uint64_t id, TableStatus status,
                                                       const std::set<ClaimKey>& conflicts) {
  std::vector<ClaimWriteResult> results;
  const auto found = in_flight_.find(id);
  if (found == in_flight_.end()) {
    return results;
  }
  std::vector<QueuedWrite> writes = std::move(found->second.writes);
  in_flight_.erase(found);
  const bool split = status == TableStatus::kConflict && conflicts.empty() && writes.size() > 1;
  const std::uint64_t first_split_group = split ? next_split_group_ : 0;
  next_split_group_ += split ? 2 : 0;
  std::deque<QueuedWrite> requeued;
  for (std::size_t i = 0; i < writes.size(); ++i) {
    QueuedWrite& queued = writes[i];
    if (split) {
      queued.split_group = first_split_group + (i < writes.size() / 2 ? 0 : 1);
      requeued.push_back(std::move(queued));
    } else if (status == TableStatus::kConflict && writes.size() > 1 &&
               !conflicts.contains(queued.write.key)) {
      requeued.push_back(std::move(queued));
    } else {
      results.push_back({queued.daemon, queued.write.id, status});
    }
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(requeued.begin()),
                std::make_move_iterator(requeued.end()));
  return results;
}

std::vector<ClaimWriteResult> ClaimCommitter::Expire(TimePoint now) {
  std::vector<ClaimWriteResult> results;
  for (auto in_flight = in_flight_.begin(); in_flight != in_flight_.end();) {
    if (now < in_flight->second.deadline) {
      ++in_flight;
      continue;
    }
    for (const QueuedWrite& queued : in_flight->second.writes) {
      results.push_back({queued.daemon, queued.write.id, TableStatus::kUnknown});
    }
    in_flight = in_flight_.erase(in_flight);
  }
  return results;
}

}  // namespace savoryglade
