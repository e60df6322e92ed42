#include "gateway/duty_runner.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>
#include <variant>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using capacity::WindowCounts;
using capacity::WindowNumber;

constexpr Duration kLeaseTickInterval = 200ms;
// Daemons that receive reports of the holder do not read the lease from the store. After this time
// without a report they contend for the lease, one after another.
constexpr Duration kHolderSilenceTimeout = 600ms;
constexpr int kSilenceDigestIntervals = 4;
constexpr Duration kCandidateStagger = 500ms;
// Fencing tokens of one era of the store. The store may lose the row with the latest token, but its
// era rises whenever that happens, so tokens of different eras differ.
constexpr std::uint64_t kFencingTokensPerEra = 1'000'000;
constexpr Duration kUsageCheckInterval = 500ms;
// Time from the end of a window until its counts are committed, if all daemons report. It gives
// their last reports time to arrive.
constexpr Duration kCountCollectionDelay = 1500ms;
// Difference between the clocks of two holders that is allowed for.
constexpr Duration kMaxClockDifference = 500ms;
// Fraction of the time until a usage report is due for which silent daemons are waited for.
constexpr double kMaxCountDelayFraction = 0.5;
// Time that a platform call may take. No call starts with less time than this left on the lease.
constexpr Duration kOrderTimeout = 500ms;
// Windows before the current one that a new holder reports, because their reports may still be due.
constexpr WindowNumber kMaxLateWindows = 2;
// Windows for which the row with the committed counts is kept.
constexpr WindowNumber kRetainedCountRows = 12;

const Logger kLog("duties");

capacity::LeaseOptions MakeLeaseOptions(const FleetBounds& bounds) {
  return {.duration = bounds.lease,
          .renew_interval = bounds.lease / 4,
          .order_timeout = kOrderTimeout,
          .retry_interval = bounds.lease / 3};
}

std::string CountsKey(WindowNumber window) { return fmt::format("usage/{}", window); }

std::string SerializeCounts(const WindowCounts& counts) {
  json::object object;
  for (const auto& [account, count] : counts) {
    object[account.value()] = count;
  }
  return json::serialize(object);
}

Result<WindowCounts> ParseCounts(const std::string& text) {
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid,
              .message = "The counts row of a usage window is not a JSON object."});
  }
  WindowCounts counts;
  for (const auto& entry : value.get_object()) {
    const auto count = entry.value().is_number() ? entry.value().to_number<std::uint64_t>(error)
                                                 : std::uint64_t{0};
    if (error || !entry.value().is_number()) {
      return tl::make_unexpected(
          Error{.code = ErrorCode::kInvalid,
                .message = "The counts row of a usage window holds an invalid count."});
    }
    counts[AccountId(std::string(entry.key()))] = count;
  }
  return counts;
}

}  // namespace

DutyRunner::DutyRunner(FleetState& fleet, FleetStore& store, DutyApi& duties)
    : fleet_(fleet),
      store_(store),
      duties_(duties),
      lease_("duties", fleet.settings.daemon, fleet.incarnation,
             MakeLeaseOptions(fleet.settings.bounds)) {}

bool DutyRunner::holds_lease() const { return lease_.IsSafeWithoutFencing(BootNow()); }

void DutyRunner::Release() { lease_.Release(BootNow()); }

bool DutyRunner::ShouldContendForLease(TimePoint now) const {
  return fleet_.holds_duties || lease_.releasing() ||
         now - fleet_.holder_last_reported >
             std::max(kHolderSilenceTimeout, kSilenceDigestIntervals * fleet_.digest_interval) +
                 kCandidateStagger * fleet_.lower_id_peers;
}

asio::awaitable<void> DutyRunner::LeaseLoop() {
  if (!fleet_.settings.reports_usage && !fleet_.settings.orders_capacity &&
      !fleet_.settings.rolls_out) {
    co_return;
  }
  while (true) {
    if (!ShouldContendForLease(BootNow())) {
      co_await Sleep(kLeaseTickInterval);
      continue;
    }
    fleet_.OnStoreEra(store_.era());
    lease_.RaiseFencing(fleet_.highest_fencing);
    lease_.SetFencingFloor(fleet_.store_era.number * kFencingTokensPerEra);
    const auto order = lease_.Tick(BootNow());
    if (order) {
      if (std::holds_alternative<capacity::Lease::ReadRow>(*order)) {
        const auto row = co_await store_.ReadRow("lease/duties");
        lease_.OnRead(row, BootNow());
      } else {
        const auto status =
            co_await store_.Commit(std::get<capacity::Lease::CommitRow>(*order).transaction);
        lease_.OnCommit(status, BootNow());
      }
    }
    if (holds_lease()) {
      fleet_.highest_fencing = std::max(fleet_.highest_fencing, lease_.fencing());
    }
    if (fleet_.holds_duties != holds_lease()) {
      fleet_.holds_duties = !fleet_.holds_duties;
      lease_since_ = BootNow();
      kLog.Info(fleet_.holds_duties ? "This daemon acquired the lease on the duties."
                                    : "This daemon lost or released the lease on the duties.",
                {{"fencing", lease_.fencing()}});
    }
    co_await Sleep(kLeaseTickInterval);
  }
}

asio::awaitable<void> DutyRunner::UsageLoop() {
  const FleetBounds& bounds = fleet_.settings.bounds;
  if (!fleet_.settings.reports_usage || bounds.usage_window == Duration::zero()) {
    co_return;
  }
  while (true) {
    co_await Sleep(kUsageCheckInterval);
    const TimePoint now = BootNow();
    const WindowNumber current = fleet_.WindowAt(now);
    fleet_.usage.Expire(current);
    commits_.Expire(current - kRetainedCountRows);
    co_await RestoreCounts();
    if (!holds_lease()) {
      first_window_.reset();
      continue;
    }
    if (!first_window_) {
      first_window_ = current - kMaxLateWindows;
    }
    for (WindowNumber window = *first_window_; window < current; ++window) {
      const Duration age = fleet_.clock.Now(now) - bounds.usage_window * (window + 1);
      if (age >= CollectionDelay(now) && !closed_.contains(window)) {
        co_await ReportWindow(window);
      }
    }
    first_window_ = std::max(*first_window_, current - kMaxLateWindows);
    closed_.erase(closed_.begin(), closed_.lower_bound(current - kRetainedCountRows));
  }
}

Duration DutyRunner::CollectionDelay(TimePoint now) const {
  if (fleet_.rate_limiter.ReportingDaemons(now) >= fleet_.groups.daemons()) {
    return kCountCollectionDelay;
  }
  const double due = ToSeconds(fleet_.settings.bounds.usage_due);
  return std::max(kCountCollectionDelay, FromSeconds(due * kMaxCountDelayFraction));
}

bool DutyRunner::MayCommitCounts(WindowNumber window) const {
  const TimePoint now = BootNow();
  const Duration age = fleet_.clock.Now(now) - fleet_.settings.bounds.usage_window * (window + 1);
  // The usage loop may see an acquisition before the lease loop has recorded its time.
  const TimePoint lease_since = fleet_.holds_duties ? lease_since_ : TimePoint::max();
  return capacity::AreNeverCommitted(
      {.earliest_commit = now - age + kCountCollectionDelay - kMaxClockDifference,
       .lease_since = lease_since,
       .rows_lost_before = fleet_.store_era.seen_since});
}

asio::awaitable<Result<std::optional<WindowCounts>>> DutyRunner::ReadCounts(WindowNumber window) {
  const provider::ReadResult row = co_await store_.ReadRow(CountsKey(window));
  fleet_.OnStoreEra(store_.era());
  if (!row) {
    co_return tl::make_unexpected(row.error());
  }
  if (!row->exists()) {
    co_return std::nullopt;
  }
  Result<WindowCounts> counts = ParseCounts(row->value);
  if (!counts) {
    co_return tl::make_unexpected(counts.error());
  }
  commits_.Record(window, *counts, fleet_.store_era.number);
  co_return std::move(*counts);
}

asio::awaitable<Result<WindowCounts>> DutyRunner::CommitCounts(WindowNumber window) {
  static const Error kMayBeReported{
      .code = ErrorCode::kDenied,
      .message = "The store has returned from an older copy, which may lack reported counts."};
  if (const WindowCounts* const committed = commits_.Find(window); committed != nullptr) {
    co_return *committed;
  }
  Result<std::optional<WindowCounts>> stored = co_await ReadCounts(window);
  if (stored && !*stored) {
    if (!MayCommitCounts(window)) {
      co_return tl::make_unexpected(kMayBeReported);
    }
    const std::uint64_t era = fleet_.store_era.number;
    const provider::Transaction transaction = {
        .conditions = {{.key = CountsKey(window), .version = 0}},
        .writes = {{.key = CountsKey(window), .value = SerializeCounts(fleet_.usage.Total(window))},
                   {.key = CountsKey(window - kRetainedCountRows), .value = std::nullopt}}};
    const provider::CommitStatus status = co_await store_.Commit(transaction);
    if (status == provider::CommitStatus::kUnavailable) {
      co_return tl::make_unexpected(
          Error{.code = ErrorCode::kUnavailable,
                .message = "Committing the counts of a usage window failed."});
    }
    // The row shows whether this write or that of another holder took effect.
    stored = co_await ReadCounts(window);
    if (fleet_.store_era.number != era) {
      commits_.Forget(window);
      co_return tl::make_unexpected(kMayBeReported);
    }
  }
  if (!stored) {
    co_return tl::make_unexpected(stored.error());
  }
  if (!*stored) {
    co_return tl::make_unexpected(
        Error{.code = ErrorCode::kUnavailable,
              .message = "The store does not hold the counts of a usage window yet."});
  }
  co_return **stored;
}

asio::awaitable<void> DutyRunner::RestoreCounts() {
  fleet_.OnStoreEra(store_.era());
  const std::uint64_t era = fleet_.store_era.number;
  for (const WindowNumber window : commits_.RecordedBefore(era)) {
    const WindowCounts counts = *commits_.Find(window);
    const provider::Transaction transaction = {
        .conditions = {{.key = CountsKey(window), .version = 0}},
        .writes = {{.key = CountsKey(window), .value = SerializeCounts(counts)}}};
    const provider::CommitStatus status = co_await store_.Commit(transaction);
    if (status != provider::CommitStatus::kCommitted &&
        status != provider::CommitStatus::kConflict) {
      kLog.Warning("Restoring the counts of a usage window failed; retrying.",
                   {{"window", window}, {"era", era}});
      co_return;
    }
    commits_.Record(window, counts, era);
    kLog.Info("The counts of a usage window are in the store that returned from an older copy.",
              {{"window", window},
               {"era", era},
               {"written", status == provider::CommitStatus::kCommitted}});
  }
}

asio::awaitable<void> DutyRunner::ReportWindow(WindowNumber window) {
  const Result<WindowCounts> counts = co_await CommitCounts(window);
  if (!counts && counts.error().code == ErrorCode::kDenied) {
    closed_.insert(window);
    kLog.Warning("A usage window is not reported.",
                 {{"window", window},
                  {"error", counts.error().message},
                  {"era", fleet_.store_era.number},
                  {"era_age_ms", (BootNow() - fleet_.store_era.seen_since) / 1ms},
                  {"lease_age_ms", (BootNow() - lease_since_) / 1ms}});
    co_return;
  }
  if (!counts) {
    kLog.Warning("The counts of a usage window are unavailable; retrying.",
                 {{"window", window}, {"error", counts.error().message}});
    co_return;
  }
  // The lease may have expired during the store calls.
  if (!holds_lease()) {
    co_return;
  }
  const DutyHolder acting = holder();
  const Result<void> sent = co_await duties_.ReportUsage(acting, window, *counts);
  if (!sent) {
    kLog.Warning("The platform did not accept a usage report; retrying.",
                 {{"window", window}, {"error", sent.error().message}});
    co_return;
  }
  closed_.insert(window);
  kLog.Info("The platform accepted a usage report.",
            {{"window", window}, {"fencing", acting.fencing_token}});
}

}  // namespace savoryglade::gateway
