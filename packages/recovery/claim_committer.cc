#include "recovery/claim_committer.h"

#include <utility>

namespace savoryglade {

std::vector<ClaimWriteResult> ClaimCommitter::Submit(const DaemonId& daemon,
                                                     const std::vector<ClaimWrite>& writes) {
  std::vector<ClaimWriteResult> refused;
  for (const ClaimWrite& write : writes) {
    if (waiting_.size() >= options_.max_waiting) {
      refused.push_back({daemon, write.id, TableStatus::kUnavailable});
    } else {
      waiting_.push_back({daemon, write});
    }
  }
  return refused;
}

std::optional<ClaimTransaction> ClaimCommitter::NextTransaction(TimePoint now) {
  if (waiting_.empty() || now < next_at_) {
    return std::nullopt;
  }
  next_at_ = now + options_.interval;
  const std::uint64_t id = next_id_++;
  InFlight& flight = in_flight_[id];
  flight.until = now + options_.timeout;
  const std::uint64_t part = waiting_.front().part;
  std::set<ClaimKey> rows;
  std::deque<Item> later;
  ClaimTransaction transaction{.id = id};
  for (Item& item : waiting_) {
    // A row that was passed over keeps the order of its writes.
    if (item.part != part || flight.items.size() >= options_.max_writes_per_transaction ||
        !rows.insert(item.write.key).second) {
      rows.insert(item.write.key);
      later.push_back(std::move(item));
    } else {
      transaction.writes.push_back(item.write);
      flight.items.push_back(std::move(item));
    }
  }
  waiting_ = std::move(later);
  return transaction;
}

std::vector<ClaimWriteResult> ClaimCommitter::OnResult(std::uint64_t id, TableStatus status,
                                                       const std::set<ClaimKey>& conflicts) {
  std::vector<ClaimWriteResult> results;
  const auto found = in_flight_.find(id);
  if (found == in_flight_.end()) {
    return results;
  }
  std::vector<Item> items = std::move(found->second.items);
  in_flight_.erase(found);
  const bool split = status == TableStatus::kConflict && conflicts.empty() && items.size() > 1;
  const std::uint64_t first_part = split ? next_part_ : 0;
  next_part_ += split ? 2 : 0;
  std::deque<Item> again;
  for (std::size_t i = 0; i < items.size(); ++i) {
    Item& item = items[i];
    if (split) {
      item.part = first_part + (i < items.size() / 2 ? 0 : 1);
      again.push_back(std::move(item));
    } else if (status == TableStatus::kConflict && items.size() > 1 &&
               !conflicts.contains(item.write.key)) {
      again.push_back(std::move(item));
    } else {
      results.push_back({item.daemon, item.write.id, status});
    }
  }
  waiting_.insert(waiting_.begin(), std::make_move_iterator(again.begin()),
                  std::make_move_iterator(again.end()));
  return results;
}

std::vector<ClaimWriteResult> ClaimCommitter::Expire(TimePoint now) {
  std::vector<ClaimWriteResult> results;
  for (auto flight = in_flight_.begin(); flight != in_flight_.end();) {
    if (now < flight->second.until) {
      ++flight;
      continue;
    }
    for (const Item& item : flight->second.items) {
      results.push_back({item.daemon, item.write.id, TableStatus::kUnknown});
    }
    flight = in_flight_.erase(flight);
  }
  return results;
}

}  // namespace savoryglade
