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
  // Time between two transactions. A daemon that writes by itself multiplies it by the number of
  // daemons of its failure domain.
  Duration interval = 50ms;
  std::size_t max_writes_per_transaction = 1024;
  // Writes that wait; further ones are answered with kUnavailable.
  std::size_t max_waiting = 16384;
  // A transaction without a result ends with kUnknown after this time.
  Duration timeout = 1s;
};

// One transaction for the table. Either all its writes take effect or none.
struct ClaimTransaction {
  std::uint64_t id = 0;
  std::vector<ClaimWrite> writes;
};

// Result of one write, for the daemon that asked for it.
struct ClaimWriteResult {
  DaemonId daemon;
  std::uint64_t id = 0;
  TableStatus status = TableStatus::kUnknown;

  friend auto operator<=>(const ClaimWriteResult&, const ClaimWriteResult&) = default;
};

// Merges the writes of several daemons into one transaction for each commit interval. It has no
// authority: the condition on each row decides, so any number of committers may work at once. A
// lost result is passed on as kUnknown and never repeated here, because only the owner of a write
// can read the row to resolve it.
class ClaimCommitter {
 public:
  explicit ClaimCommitter(ClaimCommitterOptions options) : options_(options) {}

  // Takes the writes of one daemon. Returns the results of those that found no room.
  std::vector<ClaimWriteResult> Submit(const DaemonId& daemon,
                                       const std::vector<ClaimWrite>& writes);

  // Returns the next transaction if one is due. At most one write of a row is in a transaction:
  // conditions are checked against the rows before it, so two inserts of one row would both
  // succeed.
  std::optional<ClaimTransaction> NextTransaction(TimePoint now);

  // Takes the result of a transaction. After a conflict, `conflicts` names the rows whose condition
  // failed; the other writes go into the next transaction. If none is named, each half is tried by
  // itself.
  std::vector<ClaimWriteResult> OnResult(std::uint64_t id, TableStatus status,
                                         const std::set<ClaimKey>& conflicts);

  // Ends the transactions whose result is overdue.
  std::vector<ClaimWriteResult> Expire(TimePoint now);

  void SetInterval(Duration interval) { options_.interval = interval; }

  // Returns true if no write waits for a transaction or for its result.
  bool idle() const { return waiting_.empty() && in_flight_.empty(); }

 private:
  struct Item {
    DaemonId daemon;
    ClaimWrite write;
    // Writes with different numbers must not share a transaction; zero for any.
    std::uint64_t part = 0;
  };

  struct InFlight {
    std::vector<Item> items;
    TimePoint until;
  };

  ClaimCommitterOptions options_;
  std::deque<Item> waiting_;
  std::map<std::uint64_t, InFlight> in_flight_;
  TimePoint next_at_;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_part_ = 1;
};

}  // namespace savoryglade
