#include "gateway/crash_record_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <string_view>
#include <utility>
#include <vector>

#include "core/boot_clock.h"
#include "gateway/crash_detector.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Prefixes of the keys of all rows, and of those that name a path or a prompt part.
constexpr std::string_view kRowPrefix = "crash/";
constexpr std::string_view kPathRowPrefix = "crash/path/";
constexpr std::string_view kPartRowPrefix = "crash/part/";
// Precedes the prefixes above in the keys of rows with a single loss.
constexpr std::string_view kSingleLossPrefix = "loss/";
constexpr std::array kSubjects = {CrashSubject::kRequest, CrashSubject::kPath,
                                  CrashSubject::kPromptPart};
// Daemons of a group that watch the stored records; the others learn of them from reports.
constexpr int kWatchersPerGroup = 2;
// Interval at which the others check whether they have become watchers.
constexpr Duration kRoleCheckInterval = 500ms;
// Longest wait of a read for changes. Also bounds the time until a dead connection is detected.
constexpr Duration kWatchTimeout = 10s;
// Interval of reads of all rows, which find those that have expired.
constexpr Duration kFullReadInterval = 600s;
constexpr Duration kMinReadInterval = 20ms;
// Rows that one transaction of the store may write.
constexpr std::size_t kMaxRowsPerTransaction = 100;
// First pause after a failed call; doubled after each further failure, up to the maximum.
constexpr Duration kRetryInterval = 250ms;
constexpr Duration kMaxRetryInterval = 1s;

const Logger kLog("crashes");

std::string_view WithoutSingleLossPrefix(std::string_view key) {
  return key.starts_with(kSingleLossPrefix) ? key.substr(kSingleLossPrefix.size()) : key;
}

std::string_view PrefixOf(CrashSubject subject) {
  switch (subject) {
    case CrashSubject::kPath:
      return kPathRowPrefix;
    case CrashSubject::kPromptPart:
      return kPartRowPrefix;
    case CrashSubject::kRequest:
      break;
  }
  return kRowPrefix;
}

bool ParseHex(std::string_view text, std::uint64_t& value) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, 16);
  return error == std::errc() && stop == end;
}

// Returns true if none of the losses can count any more.
bool HasExpired(const CrashRecord& record) {
  return std::ranges::all_of(record.losses, [](const UpstreamLoss& loss) {
    return loss.age > CrashRegistry::kMaxRefusal + CrashRegistry::kLossLifetime;
  });
}

}  // namespace

std::string CrashRowKey(CrashSubject subject, std::uint64_t request, std::size_t losses) {
  return fmt::format("{}{}{:016x}", losses == 1 ? kSingleLossPrefix : "", PrefixOf(subject),
                     request);
}

CrashSubject CrashSubjectOf(std::string_view key) {
  key = WithoutSingleLossPrefix(key);
  if (key.starts_with(kPartRowPrefix)) {
    return CrashSubject::kPromptPart;
  }
  return key.starts_with(kPathRowPrefix) ? CrashSubject::kPath : CrashSubject::kRequest;
}

std::string EncodeCrashRow(const CrashRecord& record, Duration unix_time) {
  json::object losses;
  for (const UpstreamLoss& loss : record.losses) {
    losses[fmt::format("{:016x}", loss.upstream)] = (unix_time - loss.age) / 1ms;
  }
  return json::serialize(json::object{{"lost_ms", std::move(losses)}});
}

Result<CrashRecord> DecodeCrashRow(const std::string& row_key, const std::string& value,
                                   Duration unix_time) {
  const std::string_view key = WithoutSingleLossPrefix(row_key);
  const auto invalid = [](const char* detail) {
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = detail});
  };
  CrashRecord record;
  if (!key.starts_with(kRowPrefix) ||
      !ParseHex(key.substr(PrefixOf(CrashSubjectOf(key)).size()), record.request)) {
    return invalid("The key names no request, path or prompt part.");
  }
  boost::system::error_code error;
  const json::value document = json::parse(value, error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* losses = object == nullptr ? nullptr : object->if_contains("lost_ms");
  if (losses == nullptr || !losses->is_object()) {
    return invalid("The row has no object lost_ms.");
  }
  for (const auto& [name, lost_ms] : losses->get_object()) {
    UpstreamLoss loss;
    if (!ParseHex({name.data(), name.size()}, loss.upstream) || !lost_ms.is_int64()) {
      return invalid("A loss has no valid upstream or time.");
    }
    // The daemons' clocks differ, so a loss may seem to lie ahead.
    loss.age = std::max(unix_time - lost_ms.get_int64() * Duration(1ms), Duration::zero());
    record.losses.push_back(loss);
  }
  return record;
}

CrashRecordStore::CrashRecordStore(FleetState& fleet, FleetStore& store, asio::io_context& context)
    : fleet_(fleet), store_(store), write_timer_(context) {}

void CrashRecordStore::ApplyRow(const std::string& key, const provider::Row& row, TimePoint now) {
  const Result<CrashRecord> record = DecodeCrashRow(key, row.value, fleet_.clock.Now(now));
  if (!record) {
    kLog.Warning("A stored crash record is invalid.",
                 {{"key", key}, {"error", record.error().message}});
    return;
  }
  CrashRegistry& registry = fleet_.CrashRegistryOf(CrashSubjectOf(key));
  if (registry.OnStoredRecord(*record, now)) {
    fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "read"}}).Add();
    kLog.Info("Merged a crash record of the store.",
              {{"key", key},
               {"version", row.version},
               {"losses", registry.LossCount(record->request)},
               {"refused", registry.IsRefused(record->request, now)}});
  }
}

asio::awaitable<bool> CrashRecordStore::ReadSingleLosses() {
  const auto rows = co_await store_.ReadRows(std::string(kSingleLossPrefix));
  if (!rows) {
    kLog.Warning("Reading the single losses from the store failed.",
                 {{"error", rows.error().message}});
    co_return false;
  }
  for (const auto& [key, row] : *rows) {
    ApplyRow(key, row, BootNow());
  }
  co_await RemoveExpiredRows(*rows);
  co_return true;
}

asio::awaitable<void> CrashRecordStore::RemoveExpiredRows(
    const std::map<std::string, provider::Row>& rows) {
  for (const auto& [key, row] : rows) {
    const Result<CrashRecord> record = DecodeCrashRow(key, row.value, fleet_.clock.Now(BootNow()));
    if (!fleet_.holds_duties || (record && !HasExpired(*record))) {
      continue;
    }
    const provider::Transaction removal = {.conditions = {{.key = key, .version = row.version}},
                                           .writes = {{.key = key, .value = std::nullopt}}};
    const provider::CommitStatus status = co_await store_.Commit(removal);
    kLog.Info("Removed an expired crash record from the store.",
              {{"key", key}, {"status", static_cast<int>(status)}});
  }
}

asio::awaitable<void> CrashRecordStore::ReadLoop() {
  Duration pause = kRetryInterval;
  while (true) {
    if (loaded_ && fleet_.groups.Rank(BootNow()) >= kWatchersPerGroup) {
      co_await Sleep(kRoleCheckInterval);
      continue;
    }
    if (BootNow() - full_read_at_ >= kFullReadInterval) {
      position_ = 0;
    }
    const bool full_read = position_ == 0;
    const Result<RowUpdate> update = co_await store_.WatchCrashRows(position_, kWatchTimeout);
    if (!update) {
      kLog.Warning("Reading the crash records from the store failed.",
                   {{"position", position_}, {"error", update.error().message}});
      if (update.error().code == ErrorCode::kConflict) {
        position_ = 0;
      }
      co_await Sleep(pause);
      pause = std::min(2 * pause, kMaxRetryInterval);
      continue;
    }
    pause = kRetryInterval;
    position_ = update->position;
    const TimePoint now = BootNow();
    if (full_read) {
      // The store may have returned from a copy that lacks records.
      for (const CrashSubject subject : kSubjects) {
        fleet_.CrashRegistryOf(subject).ForgetStored();
      }
    }
    // First, so that the records with more losses decide which losses count as stored.
    if (full_read && !co_await ReadSingleLosses()) {
      position_ = 0;
      co_await Sleep(kRetryInterval);
      continue;
    }
    for (const auto& [key, row] : update->rows) {
      ApplyRow(key, row, now);
    }
    loaded_ = true;
    fleet_.crash_records_known = true;
    if (full_read) {
      full_read_at_ = now;
      co_await RemoveExpiredRows(update->rows);
    }
    OnRegistryChanged();
    co_await Sleep(position_ == 0 ? kRetryInterval : kMinReadInterval);
  }
}

asio::awaitable<std::optional<std::size_t>> CrashRecordStore::StoreRecords() {
  const TimePoint now = BootNow();
  std::vector<std::pair<CrashSubject, CrashRecord>> stored;
  provider::Transaction transaction;
  for (const CrashSubject subject : kSubjects) {
    for (CrashRecord& record : fleet_.CrashRegistryOf(subject).SelectForStorage(now)) {
      if (stored.size() == kMaxRowsPerTransaction) {
        break;
      }
      provider::RowWrite write{.key = CrashRowKey(subject, record.request, record.losses.size())};
      if (!record.losses.empty()) {
        write.value = EncodeCrashRow(record, fleet_.clock.Now(now));
      }
      transaction.writes.push_back(std::move(write));
      stored.emplace_back(subject, std::move(record));
    }
  }
  if (stored.empty()) {
    co_return 0;
  }
  // Unconditional, because a daemon whose losses were overwritten reads the row and stores them
  // again.
  const provider::CommitStatus status = co_await store_.Commit(transaction);
  if (status != provider::CommitStatus::kCommitted) {
    kLog.Info("Storing crash records failed.",
              {{"records", stored.size()}, {"status", static_cast<int>(status)}});
    co_return std::nullopt;
  }
  for (const auto& [subject, record] : stored) {
    fleet_.CrashRegistryOf(subject).OnStored(record);
    fleet_.metrics.GetCounter(kCrashRecordsMetric, {{"event", "stored"}}).Add();
    kLog.Info("Stored a crash record for all daemons.",
              {{"key", CrashRowKey(subject, record.request, record.losses.size())},
               {"losses", record.losses.size()}});
  }
  co_return stored.size();
}

asio::awaitable<void> CrashRecordStore::WriteLoop() {
  Duration pause = kRetryInterval;
  while (true) {
    const std::optional<std::size_t> stored = co_await StoreRecords();
    if (!stored) {
      co_await Sleep(pause);
      pause = std::min(2 * pause, kMaxRetryInterval);
      continue;
    }
    pause = kRetryInterval;
    if (*stored == 0) {
      const TimePoint now = BootNow();
      TimePoint due = TimePoint::max();
      for (const CrashSubject subject : kSubjects) {
        due = std::min(due, fleet_.CrashRegistryOf(subject).NextStorageAt());
      }
      if (due == TimePoint::max()) {
        write_timer_.expires_at(asio::steady_timer::time_point::max());
      } else {
        write_timer_.expires_after(due - now);
      }
      co_await write_timer_.async_wait(kAwait);
    }
  }
}

}  // namespace savoryglade::gateway
