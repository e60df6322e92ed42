#include "capacity/lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace savoryglade::capacity {
namespace {

// Duration in the row of a released lease; the shortest that a row can hold.
constexpr Duration kReleasedDuration = 1ms;

}  // namespace

std::string FormatLeaseRow(const LeaseRow& row) {
  return fmt::format("{} {} {} {} {}", row.incarnation, row.fencing, row.attempt,
                     row.duration / 1ms, row.holder.value());
}

Result<LeaseRow> ParseLeaseRow(const std::string& text) {
  std::istringstream stream(text);
  LeaseRow row;
  std::int64_t duration_ms = 0;
  std::string holder;
  stream >> row.incarnation >> row.fencing >> row.attempt >> duration_ms >> std::ws;
  if (!stream || !std::getline(stream, holder) || holder.empty() || duration_ms <= 0) {
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid,
                                     .message = fmt::format("\"{}\" is not a lease row.", text)});
  }
  row.holder = DaemonId(std::move(holder));
  row.duration = duration_ms * 1ms;
  return row;
}

Lease::Lease(std::string name, DaemonId holder, std::uint64_t incarnation, LeaseOptions options)
    : key_("lease/" + std::move(name)),
      holder_(std::move(holder)),
      incarnation_(incarnation),
      options_(options) {}

bool Lease::IsOwnRow(const LeaseRow& row) const {
  return row.holder == holder_ && row.incarnation == incarnation_;
}

provider::Transaction Lease::MakeTransaction(const LeaseRow& row) const {
  return {.conditions = {{key_, row_version_}}, .writes = {{key_, FormatLeaseRow(row)}}};
}

Lease::CommitRow Lease::StartWrite(LeaseRow row, TimePoint now) {
  row.attempt = ++attempts_;
  row.duration = releasing_ ? kReleasedDuration : options_.duration;
  pending_row_ = std::move(row);
  write_started_ = now;
  operation_pending_ = true;
  return {MakeTransaction(pending_row_)};
}

std::optional<Lease::Operation> Lease::Tick(TimePoint now) {
  if (operation_pending_ || now < next_operation_at_ || !(candidate_ || releasing_)) {
    return std::nullopt;
  }
  if (!row_is_current_) {
    operation_pending_ = true;
    return ReadRow{};
  }
  if (deadline_ && now >= *deadline_) {
    deadline_.reset();
  }
  if (releasing_ && !StatesOwnLease(row_)) {
    // Another daemon holds the lease already.
    releasing_ = false;
    return std::nullopt;
  }
  if (row_version_ != 0 && StatesOwnLease(row_)) {
    // Renews the lease even after it expired: the write's condition fails if another daemon has
    // acquired it since.
    return StartWrite(row_, now);
  }
  const bool row_was_lost = row_version_ == 0 && highest_fencing_ > 0;
  if ((row_version_ != 0 && now - row_first_seen_ < row_.duration) ||
      (row_was_lost && now - row_first_seen_ < options_.duration)) {
    // Another daemon or an earlier incarnation of this one holds the lease, or may hold it under a
    // row that the table has lost; reads the row again to see whether it was renewed.
    row_is_current_ = false;
    operation_pending_ = true;
    return ReadRow{};
  }
  return StartWrite({.holder = holder_,
                     .incarnation = incarnation_,
                     .fencing = std::max({row_.fencing, highest_fencing_, fencing_floor_}) + 1},
                    now);
}

void Lease::OnRead(const provider::ReadResult& result, TimePoint now) {
  operation_pending_ = false;
  next_operation_at_ = now + options_.retry_interval;
  if (!result) {
    return;
  }
  Result<LeaseRow> row = LeaseRow{};
  if (result->exists()) {
    row = ParseLeaseRow(result->value);
    if (!row) {
      return;
    }
  }
  row_is_current_ = true;
  if (result->version != row_version_ || row_first_seen_ == TimePoint{}) {
    row_first_seen_ = now;
  }
  row_version_ = result->version;
  row_ = std::move(*row);
  RaiseFencing(row_.fencing);
  if (result->exists() && row_ == pending_row_ && StatesOwnLease(row_)) {
    // This daemon's write took effect although its response was lost.
    ExtendDeadline(write_started_);
    return;
  }
  if ((!result->exists() && highest_fencing_ == 0) || StatesOwnLease(row_)) {
    next_operation_at_ = now;
  }
  if (!StatesOwnLease(row_)) {
    deadline_.reset();
  }
}

// Counts the deadline from before the write, so that it ends before any candidate considers the
// lease expired.
void Lease::ExtendDeadline(TimePoint counted_from) {
  const Duration margin = options_.duration / 5;
  const bool acquired = !deadline_;
  deadline_ = counted_from + options_.duration - margin;
  next_operation_at_ = counted_from + options_.renew_interval;
  if (acquired) {
    unfenced_safe_from_ = counted_from + options_.order_timeout;
  }
}

void Lease::OnCommit(provider::CommitStatus status, TimePoint now) {
  operation_pending_ = false;
  switch (status) {
    case provider::CommitStatus::kCommitted:
      row_ = pending_row_;
      RaiseFencing(row_.fencing);
      releasing_ = releasing_ && row_.duration != kReleasedDuration;
      if (candidate_ && StatesOwnLease(row_)) {
        ExtendDeadline(write_started_);
      }
      // The new version of the row is not known here until it is read.
      row_is_current_ = false;
      break;
    case provider::CommitStatus::kConflict:
    case provider::CommitStatus::kUnknown:
      row_is_current_ = false;
      next_operation_at_ = now;
      break;
    case provider::CommitStatus::kUnavailable:
      next_operation_at_ = now + options_.retry_interval;
      break;
  }
}

void Lease::SetIncarnation(std::uint64_t incarnation) {
  if (incarnation > incarnation_) {
    incarnation_ = incarnation;
    deadline_.reset();
  }
}

bool Lease::IsHeld(TimePoint now) const { return candidate_ && deadline_ && now < *deadline_; }

bool Lease::IsSafeWithoutFencing(TimePoint now) const {
  return IsHeld(now) && now >= unfenced_safe_from_;
}

}  // namespace savoryglade::capacity
