#include "capacity/lease.h"

#include <fmt/format.h>

#include <sstream>
#include <utility>

namespace savoryglade::capacity {
namespace {

// Duration in the row of a lease that was given up; the shortest that a row can hold.
constexpr Duration kReleasedDuration = 1ms;

}  // namespace

std::string PrintLeaseRow(const LeaseRow& row) {
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

bool Lease::Ours(const LeaseRow& row) const {
  return row.holder == holder_ && row.incarnation == incarnation_;
}

provider::Transaction Lease::MakeTransaction(const LeaseRow& row) const {
  return {.conditions = {{key_, row_version_}}, .writes = {{key_, PrintLeaseRow(row)}}};
}

Lease::CommitRow Lease::Write(LeaseRow row, TimePoint now) {
  row.attempt = ++attempts_;
  row.duration = releasing_ ? kReleasedDuration : options_.duration;
  writing_ = std::move(row);
  write_begun_ = now;
  busy_ = true;
  return {MakeTransaction(writing_)};
}

std::optional<Lease::Order> Lease::Tick(TimePoint now) {
  if (busy_ || now < next_ || !(candidate_ || releasing_)) {
    return std::nullopt;
  }
  if (!known_) {
    busy_ = true;
    return ReadRow{};
  }
  if (deadline_ && now >= *deadline_) {
    deadline_.reset();
  }
  if (releasing_ && !Ours(row_)) {
    // Another holds it already.
    releasing_ = false;
    return std::nullopt;
  }
  if (row_version_ != 0 && Ours(row_)) {
    // Also after it lapsed: the write's condition fails if another has taken the lease since.
    return Write(row_, now);
  }
  if (row_version_ != 0 && now - seen_ < row_.duration) {
    // Another holds it, or an earlier incarnation of ours: look again whether it is renewed.
    known_ = false;
    busy_ = true;
    return ReadRow{};
  }
  return Write({.holder = holder_, .incarnation = incarnation_, .fencing = row_.fencing + 1}, now);
}

void Lease::OnRead(const provider::ReadResult& result, TimePoint now) {
  busy_ = false;
  next_ = now + options_.retry_interval;
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
  known_ = true;
  if (result->version != row_version_ || !result->exists()) {
    seen_ = now;
  }
  row_version_ = result->version;
  row_ = std::move(*row);
  if (result->exists() && row_ == writing_ && Ours(row_)) {
    // Our own write took effect although its answer was lost.
    Hold(write_begun_);
    return;
  }
  if (!result->exists() || Ours(row_)) {
    next_ = now;
  }
  if (!Ours(row_)) {
    deadline_.reset();
  }
}

// The deadline counts from before the write, so it ends before any candidate's count does.
void Lease::Hold(TimePoint counted_from) {
  const Duration margin = options_.duration / 5;
  const bool taken = !deadline_;
  deadline_ = counted_from + options_.duration - margin;
  next_ = counted_from + options_.renew_interval;
  if (taken) {
    unfenced_from_ = counted_from + options_.order_timeout;
  }
}

void Lease::OnCommit(provider::CommitStatus status, TimePoint now) {
  busy_ = false;
  switch (status) {
    case provider::CommitStatus::kCommitted:
      row_ = writing_;
      releasing_ = releasing_ && row_.duration != kReleasedDuration;
      if (candidate_ && Ours(row_)) {
        Hold(write_begun_);
      }
      // The new version of the row is known to the table only.
      known_ = false;
      break;
    case provider::CommitStatus::kConflict:
    case provider::CommitStatus::kUnknown:
      known_ = false;
      next_ = now;
      break;
    case provider::CommitStatus::kUnavailable:
      next_ = now + options_.retry_interval;
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
  return IsHeld(now) && now >= unfenced_from_;
}

}  // namespace savoryglade::capacity
