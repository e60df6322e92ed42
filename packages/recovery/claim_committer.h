#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "recovery/claim_types.h"

namespace savoryglade {

struct ClaimCommitterOptions {
  // Interval between transactions. A daemon that commits on its own multiplies it by the number of
  // daemons in its failure domain.
  Duration interval = 50ms;
  std::size_t max_writes_per_transaction = 1024;
  // Maximum number of queued writes. Further writes are rejected with kUnavailable.
  std::size_t max_queued_writes = 16384;
  // A transaction without a result after this time ends with kUnknown.
  Duration timeout = 1s;
};

// One table transaction. Either all of its writes take effect or none.
struct ClaimTransaction {
  std::uint64_t id = 0;
  std::vector<ClaimWrite> writes;
};

// Result of one write, addressed to the daemon that submitted it.
struct ClaimWriteResult {
  DaemonId daemon;
  std::uint64_t id = 0;
  TableStatus status = TableStatus::kUnknown;

  friend auto operator<=>(const ClaimWriteResult&, const ClaimWriteResult&) = default;
};

// Batches the writes of several daemons into one transaction per commit interval. The condition on
// each row decides whether a write succeeds, so any number of committers may be active at once. A
// lost result is reported as kUnknown and not retried here, because only the owner of a write can
// read the row to resolve it.
class ClaimCommitter {
 public:
  explicit ClaimCommitter(ClaimCommitterOptions options) : options_(options) {}

  // Queues the writes of one daemon. Returns kUnavailable results for the writes that did not fit
  // into the queue.
  std::vector<ClaimWriteResult> Submit(const DaemonId& daemon,
                                       const std::vector<ClaimWrite>& writes);

  // Returns the next transaction if one is due. A transaction contains at most one write per row:
  // all conditions are checked against the rows before the transaction, so two inserts of the same
  // row would both succeed.
  std::optional<ClaimTransaction> NextTransaction(TimePoint now);

  // Handles the result of a transaction. After a conflict, `conflicts` lists the rows whose
  // condition failed; the other writes are queued for the next transaction. If it is empty, the
  // transaction is split into halves, which are retried separately.
  std::vector<ClaimWriteResult> OnResult(std::uint64_t id, TableStatus status,
                                         const std::set<ClaimKey>& conflicts);

  // Ends the transactions that have timed out.
  std::vector<ClaimWriteResult> Expire(TimePoint now);

  void SetInterval(Duration interval) { options_.interval = interval; }

  // Makes the next transaction due at once and sets the interval to zero.
  void Flush() {
    SetInterval(Duration::zero());
    next_commit_at_ = TimePoint();
  }

  // Returns true if no write is queued or in flight.
  bool idle() const { return queue_.empty() && in_flight_.empty(); }

 private:
  struct QueuedWrite {
    DaemonId daemon;
    ClaimWrite write;
    // Writes of different groups must not share a transaction. Zero if the write was not split off.
    std::uint64_t split_group = 0;
  };

  struct InFlightTransaction {
    std::vector<QueuedWrite> writes;
    TimePoint deadline;
  };

  ClaimCommitterOptions options_;
  std::deque<QueuedWrite> queue_;
  std::map<std::uint64_t, InFlightTransaction> in_flight_;
  TimePoint next_commit_at_;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_split_group_ = 1;
};

}  // namespace savoryglade
