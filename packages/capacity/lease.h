#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/error.h"
#include "core/strong_id.h"
#include "core/time.h"
#include "provider/table.h"

namespace savoryglade::capacity {

struct LeaseOptions {
  Duration duration = 15s;
  // A third of the duration, so that a failed renewal can be retried in time.
  Duration renew_interval = 5s;
  // Time after which an order that the holder of the lease sent to an engine that does not check
  // fencing tokens has either been executed or counts as lost.
  Duration order_timeout = 2s;
  // Time until the lease row is accessed again after a read failed or a write found the table
  // unavailable, and between reads of the row while another daemon holds the lease.
  Duration retry_interval = 1s;
};

// Content of the table row that stores a lease. `holder` is the daemon that holds the lease. The
// fencing token increases with each change of the holder.
struct LeaseRow {
  DaemonId holder;
  std::uint64_t incarnation = 0;
  std::uint64_t fencing = 0;
  // Number of the write that stored this row, counted within one incarnation of the daemon. It
  // makes the value of each write unique, so that a daemon that reads the row can tell which of its
  // own writes took effect, and when it sent that write.
  std::uint64_t attempt = 0;
  Duration duration = Duration::zero();

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

std::string FormatLeaseRow(const LeaseRow& row);
Result<LeaseRow> ParseLeaseRow(const std::string& text);

// One daemon's view of a lease with a fencing token, stored in the row lease/<name>. Performs no
// I/O: Tick returns the reads and writes, and OnRead and OnCommit receive their results. Not
// thread-safe.
//
// Daemons share no clock. The holder measures its lease from before the write that acquired or
// renewed it. A candidate measures on its own clock how long the row has not changed, starting
// after the read that first returned it, so the holder's lease always ends earlier; a margin of 20%
// of the duration covers clocks that run at different speeds.
class Lease {
 public:
  struct ReadRow {};
  struct CommitRow {
    provider::Transaction transaction;
  };
  using Operation = std::variant<ReadRow, CommitRow>;

  Lease(std::string name, DaemonId holder, std::uint64_t incarnation, LeaseOptions options);

  // Returns the next operation on the table, if one is due. Only one is pending at a time.
  std::optional<Operation> Tick(TimePoint now);

  // Records the result of the operation that Tick returned last.
  void OnRead(const provider::ReadResult& result, TimePoint now);
  void OnCommit(provider::CommitStatus status, TimePoint now);

  // Makes later fencing tokens of this daemon greater than this one, which a peer has used. The row
  // may lack it if the table has returned from an older copy.
  void RaiseFencing(std::uint64_t fencing) {
    highest_fencing_ = std::max(highest_fencing_, fencing);
  }

  // Makes the tokens of later acquisitions greater than this one. Does not affect a lease that is
  // held.
  void SetFencingFloor(std::uint64_t fencing) {
    fencing_floor_ = std::max(fencing_floor_, fencing);
  }

  // Sets a higher incarnation after this daemon was declared dead. A held lease ends.
  void SetIncarnation(std::uint64_t incarnation);

  // Releases the lease: it is neither used nor renewed from now on. If it is held, the next Ticks
  // write a row that other candidates need not wait for.
  void Release(TimePoint now) {
    releasing_ = candidate_ && IsHeld(now);
    candidate_ = false;
    next_operation_at_ = releasing_ ? now : next_operation_at_;
  }
  // Returns true until the row that releases the lease is written.
  bool releasing() const { return releasing_; }

  // Returns true while this daemon holds the lease, so that orders may be sent to engines that
  // check fencing tokens. Must be called right before each order, because the lease may have
  // expired while this daemon was paused.
  bool IsHeld(TimePoint now) const;
  // Returns true while orders may also be sent to engines that ignore fencing tokens: the lease of
  // the previous holder and the orders sent under it have expired.
  bool IsSafeWithoutFencing(TimePoint now) const;

  // Returns the fencing token that each order carries. Valid while IsHeld.
  std::uint64_t fencing() const { return row_.fencing; }
  // Returns the row as last read or written.
  const LeaseRow& row() const { return row_; }

 private:
  provider::Transaction MakeTransaction(const LeaseRow& row) const;
  bool IsOwnRow(const LeaseRow& row) const;
  // Returns true if the row states that this daemon holds the lease, and no later holder is known.
  bool StatesOwnLease(const LeaseRow& row) const {
    return IsOwnRow(row) && row.fencing >= highest_fencing_;
  }
  CommitRow StartWrite(LeaseRow row, TimePoint now);
  void ExtendDeadline(TimePoint counted_from);

  std::string key_;
  DaemonId holder_;
  std::uint64_t incarnation_;
  LeaseOptions options_;
  bool candidate_ = true;
  bool releasing_ = false;
  bool operation_pending_ = false;
  bool row_is_current_ = false;
  // Instant from which the next operation is due.
  TimePoint next_operation_at_{};
  LeaseRow row_;
  std::uint64_t row_version_ = 0;
  // Greatest fencing token known to have been used.
  std::uint64_t highest_fencing_ = 0;
  // Token that the tokens of acquisitions exceed.
  std::uint64_t fencing_floor_ = 0;
  // Instant at which this version of the row was first seen.
  TimePoint row_first_seen_{};
  // Deadline of this daemon's own lease; empty while it holds none.
  std::optional<TimePoint> deadline_;
  TimePoint unfenced_safe_from_{};
  std::uint64_t attempts_ = 0;
  // Pending write of the lease row, and the instant before it was sent.
  LeaseRow pending_row_;
  TimePoint write_started_{};
};

}  // namespace savoryglade::capacity
