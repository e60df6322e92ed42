#include "gateway/stream_version_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kCheckInterval = 250ms;
constexpr Duration kRetryInterval = 1s;
// Interval at which the holder of the duties confirms the row.
constexpr Duration kConfirmInterval = 5s;
// Age from which a row says nothing. Daemons of an earlier build do not write it, and may have
// begun streams since.
constexpr Duration kMaxRowAge = 10s;
// Time by which the clocks of daemons may differ.
constexpr Duration kMaxClockSkew = 1s;

const Logger kLog("streams");

std::optional<Duration> AgeIn(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  const std::int64_t* ms = value == nullptr ? nullptr : value->if_int64();
  return ms == nullptr || *ms < 0 ? std::nullopt : std::optional<Duration>(*ms * 1ms);
}

std::optional<KnownVersionAge> DecodeVersion(const json::value& value) {
  const json::object* object = value.if_object();
  const json::value* service = object == nullptr ? nullptr : object->if_contains("service");
  const json::value* version = object == nullptr ? nullptr : object->if_contains("version");
  if (service == nullptr || !service->is_string() || version == nullptr || !version->is_string()) {
    return std::nullopt;
  }
  KnownVersionAge age{.service = ServiceId(std::string(service->get_string()))};
  const std::string_view text = version->get_string();
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), age.version, 16);
  const std::optional<Duration> present_age = AgeIn(*object, "present_age_ms");
  const bool has_absent_age = object->contains("absent_age_ms");
  age.absent_age = AgeIn(*object, "absent_age_ms");
  if (error != std::errc() || end != text.data() + text.size() || !present_age ||
      has_absent_age != age.absent_age.has_value()) {
    return std::nullopt;
  }
  age.present_age = *present_age;
  return age;
}

}  // namespace

std::string EncodeStreamVersionRow(const StoredStreamVersions& stored) {
  json::array versions;
  for (const KnownVersionAge& age : stored.snapshot.versions) {
    json::object version{{"service", age.service.value()},
                         {"version", fmt::format("{:016x}", age.version)},
                         {"present_age_ms", age.present_age / 1ms}};
    if (age.absent_age) {
      // Rounded up, so that the version is not taken for newer than it is.
      version["absent_age_ms"] = *age.absent_age / 1ms + 1;
    }
    versions.push_back(std::move(version));
  }
  json::object row{{"written_ms", stored.written_at / 1ms}, {"versions", std::move(versions)}};
  if (stored.snapshot.known_age) {
    row["known_age_ms"] = *stored.snapshot.known_age / 1ms;
  }
  return json::serialize(row);
}

Result<StoredStreamVersions> DecodeStreamVersionRow(std::string_view value) {
  const auto invalid = [](const char* detail) {
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = detail});
  };
  boost::system::error_code error;
  const json::value document = json::parse({value.data(), value.size()}, error);
  const json::object* row = error ? nullptr : document.if_object();
  if (row == nullptr) {
    return invalid("The row is no object.");
  }
  const std::optional<Duration> written_at = AgeIn(*row, "written_ms");
  const json::value* versions = row->if_contains("versions");
  if (!written_at || versions == nullptr || !versions->is_array()) {
    return invalid("The row has no time or no versions.");
  }
  StoredStreamVersions stored{.written_at = *written_at};
  stored.snapshot.known_age = AgeIn(*row, "known_age_ms");
  for (const json::value& item : versions->get_array()) {
    const std::optional<KnownVersionAge> version = DecodeVersion(item);
    if (!version) {
      return invalid("A version has no service, name or age.");
    }
    stored.snapshot.versions.push_back(*version);
  }
  return stored;
}

std::optional<StreamVersionSnapshot> StreamVersionsAt(StoredStreamVersions stored,
                                                      Duration unix_time) {
  const Duration age = unix_time - stored.written_at;
  if (age > kMaxRowAge || age < -kMaxClockSkew) {
    return std::nullopt;
  }
  const Duration elapsed = std::max(age, Duration::zero());
  StreamVersionSnapshot& snapshot = stored.snapshot;
  if (snapshot.known_age) {
    *snapshot.known_age += elapsed;
  }
  for (KnownVersionAge& version : snapshot.versions) {
    version.present_age += elapsed;
    if (version.absent_age) {
      *version.absent_age += elapsed;
    }
  }
  return snapshot;
}

StreamVersionStore::VersionSet StreamVersionStore::VersionsIn(
    const StreamVersionSnapshot& snapshot) {
  VersionSet versions;
  for (const KnownVersionAge& age : snapshot.versions) {
    versions.emplace(age.service, age.version);
  }
  return versions;
}

void StreamVersionStore::Count(const char* event) {
  fleet_.metrics.GetCounter(kStoredVersionsMetric, {{"event", event}}).Add();
}

asio::awaitable<bool> StreamVersionStore::Read() {
  const provider::ReadResult row = co_await store_.ReadRow(kRowKey);
  if (!row) {
    kLog.Warning("Reading the stored versions of streams failed.",
                 {{"error", row.error().message}});
    co_return false;
  }
  const bool is_first_read = !has_read_;
  has_read_ = true;
  row_version_ = row->version;
  stored_.clear();
  if (row->version == 0) {
    Count("absent");
    co_return true;
  }
  const Result<StoredStreamVersions> stored = DecodeStreamVersionRow(row->value);
  if (!stored) {
    Count("invalid");
    kLog.Warning("The stored versions of streams are invalid.",
                 {{"error", stored.error().message}});
    co_return true;
  }
  const TimePoint now = BootNow();
  const Duration age = fleet_.clock.Now(now) - stored->written_at;
  const std::optional<StreamVersionSnapshot> snapshot =
      StreamVersionsAt(*stored, fleet_.clock.Now(now));
  stored_ = VersionsIn(stored->snapshot);
  written_at_ = now - std::clamp(age, Duration::zero(), kMaxRowAge);
  if (snapshot) {
    fleet_.stream_versions.OnPeerSnapshot(*snapshot, Duration::zero(), now);
  }
  Count(snapshot ? "read" : "too_old");
  if (is_first_read) {
    kLog.Info("Read the stored versions of streams.",
              {{"age_ms", age / 1ms},
               {"used", snapshot.has_value()},
               {"versions", stored_.size()},
               {"known_ms", snapshot && snapshot->known_age ? *snapshot->known_age / 1ms : -1}});
  }
  co_return true;
}

bool StreamVersionStore::IsWriteDue(TimePoint now) const {
  // Without duties there is no single daemon to write.
  const bool has_duties = fleet_.settings.reports_usage || fleet_.settings.orders_capacity;
  if (has_duties ? !fleet_.holds_duties : fleet_.groups.Rank(now) != 0) {
    return false;
  }
  const StreamVersionSnapshot known = fleet_.stream_versions.KnownVersions(now);
  return known.known_age && (VersionsIn(known) != stored_ || now - written_at_ >= kConfirmInterval);
}

asio::awaitable<bool> StreamVersionStore::WriteIfDue() {
  if (!IsWriteDue(BootNow())) {
    co_return true;
  }
  // What another daemon has written must not be lost.
  const bool has_read = co_await Read();
  if (!has_read) {
    co_return false;
  }
  const TimePoint now = BootNow();
  if (!IsWriteDue(now)) {
    co_return true;
  }
  const StoredStreamVersions row{.written_at = fleet_.clock.Now(now),
                                 .snapshot = fleet_.stream_versions.KnownVersions(now)};
  const provider::Transaction transaction = {
      .conditions = {{.key = kRowKey, .version = row_version_}},
      .writes = {{.key = kRowKey, .value = EncodeStreamVersionRow(row)}}};
  const provider::CommitStatus status = co_await store_.Commit(transaction);
  if (status != provider::CommitStatus::kCommitted) {
    kLog.Info("Storing the versions of streams failed.", {{"status", static_cast<int>(status)}});
    co_return false;
  }
  Count("written");
  VersionSet versions = VersionsIn(row.snapshot);
  if (versions != stored_) {
    kLog.Info("Stored the versions of streams.",
              {{"versions", versions.size()}, {"known_ms", *row.snapshot.known_age / 1ms}});
  }
  stored_ = std::move(versions);
  written_at_ = now;
  co_return true;
}

asio::awaitable<void> StreamVersionStore::Loop() {
  bool has_read = co_await Read();
  while (!has_read) {
    co_await Sleep(kRetryInterval);
    has_read = co_await Read();
  }
  while (true) {
    co_await Sleep(kCheckInterval);
    const bool succeeded = co_await WriteIfDue();
    if (!succeeded) {
      co_await Sleep(kRetryInterval);
    }
  }
}

}  // namespace savoryglade::gateway
