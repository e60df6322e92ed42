#pragma once

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
  // A third of the duration, so that a renewal may fail once and still be repeated in time.
  Duration renew_interval = 5s;
  // Time of an order to an engine that does not check fencing numbers, after which it has either
  // been carried out or is taken for lost.
  Duration order_timeout = 2s;
  // Time between attempts after a failure, and between looks at a lease that another holds.
  Duration retry_interval = 1s;
};

// Content of the lease row. The fencing number rises with each change of the holder.
struct LeaseRow {
  DaemonId holder;
  std::uint64_t incarnation = 0;
  std::uint64_t fencing = 0;
  // Number of the write among those of this incarnation. It makes each write's value unique, so
  // that a holder that reads its row knows which of its writes took effect, and when it began.
  std::uint64_t attempt = 0;
  Duration duration = Duration::zero();

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

std::string PrintLeaseRow(const LeaseRow& row);
Result<LeaseRow> ParseLeaseRow(const std::string& text);

// One daemon's view of a lease with a fencing number, kept in the row lease/<name>. Returns the
// reads and writes that it wants as values and gets their results as later calls. Not safe to use
// from several threads.
//
// No clock is shared. The holder counts its lease from before the write that took or renewed it. A
// candidate counts the time during which the row has not changed on its own clock, from after the
// read that showed it first, so the holder's count always ends earlier; a margin of 20% of the
// duration covers clocks that run at different speeds.
class Lease {
 public:
  struct ReadRow {};
  struct CommitRow {
    provider::Transaction transaction;
  };
  using Order = std::variant<ReadRow, CommitRow>;

  Lease(std::string name, DaemonId holder, std::uint64_t incarnation, LeaseOptions options);

  // Returns the next operation on the table, if one is due. Only one is under way at a time.
  std::optional<Order> Tick(TimePoint now);

  // Result of the operation that Tick returned last.
  void OnRead(const provider::ReadResult& result, TimePoint now);
  void OnCommit(provider::CommitStatus status, TimePoint now);

  // Takes a higher incarnation, after this daemon was declared dead. It gives up what it holds.
  void SetIncarnation(std::uint64_t incarnation);

  // Gives the lease up: nothing is done under it from now on and it is not renewed. If it is held,
  // the next Ticks write a row that others need not wait out.
  void Release(TimePoint now) {
    releasing_ = candidate_ && IsHeld(now);
    candidate_ = false;
    next_ = releasing_ ? now : next_;
  }
  // True until the row that gives the lease up is written.
  bool releasing() const { return releasing_; }

  // True while orders to engines that check fencing numbers may be sent. Must be asked right before
  // each order, because the lease may have lapsed while this daemon was paused.
  bool IsHeld(TimePoint now) const;
  // The same for engines that ignore fencing numbers: a new holder has waited out the old lease and
  // the orders sent under it.
  bool IsSafeWithoutFencing(TimePoint now) const;

  // Number that each order carries. Valid while IsHeld.
  std::uint64_t fencing() const { return row_.fencing; }
  // Row as last read or written.
  const LeaseRow& row() const { return row_; }

 private:
  provider::Transaction MakeTransaction(const LeaseRow& row) const;
  bool Ours(const LeaseRow& row) const;
  CommitRow Write(LeaseRow row, TimePoint now);
  void Hold(TimePoint counted_from);

  std::string key_;
  DaemonId holder_;
  std::uint64_t incarnation_;
  LeaseOptions options_;
  bool candidate_ = true;
  bool releasing_ = false;
  bool busy_ = false;
  bool known_ = false;
  // Instant from which the next operation is due.
  TimePoint next_{};
  LeaseRow row_;
  std::uint64_t row_version_ = 0;
  // Instant at which this version of the row was known to exist.
  TimePoint seen_{};
  // Deadline of our own lease; nothing while we hold none.
  std::optional<TimePoint> deadline_;
  TimePoint unfenced_from_{};
  std::uint64_t attempts_ = 0;
  // Write under way and the instant before it was sent.
  LeaseRow writing_;
  TimePoint write_begun_{};
};

}  // namespace savoryglade::capacity
