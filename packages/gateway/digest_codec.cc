#include "gateway/digest_codec.h"

#include <fleet_generated.h>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <tuple>
#include <utility>

#include "core/number.h"

namespace savoryglade::gateway {
namespace {

// Encodes the end of a rate limit.
constexpr double kNoRateLimit = -1;
constexpr int kMaxRunning = std::numeric_limits<std::uint16_t>::max();
constexpr int kMaxDaemons = std::numeric_limits<std::uint16_t>::max();

// Bounds of decoded values, so that sums of malformed ones do not overflow.
constexpr std::int64_t kMaxAgeMs = 365LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxTimeOfDayMs = 100 * kMaxAgeMs;

Duration DecodeAge(std::int64_t ms) { return std::clamp<std::int64_t>(ms, 0, kMaxAgeMs) * 1ms; }

Duration DecodeTimeOfDay(std::int64_t ms) {
  return std::clamp(ms, -kMaxTimeOfDayMs, kMaxTimeOfDayMs) * 1ms;
}

std::uint32_t Milliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(duration / 1ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::unique_ptr<wire::FeedNewsT> EncodeFeedUpdate(const FeedUpdate& feed_update, Duration age) {
  auto encoded = std::make_unique<wire::FeedNewsT>();
  encoded->after = feed_update.after;
  encoded->position = feed_update.position;
  encoded->age_ms = Milliseconds(age);
  for (const RegistrationChange& change : feed_update.changes) {
    auto item = std::make_unique<wire::RegistrationItemT>();
    item->upstream = change.id.value();
    item->version = change.version;
    item->gone = !change.record;
    if (change.record) {
      item->service = change.record->service.value();
      item->address = change.record->address;
      item->failure_domain = change.record->failure_domain.value();
      item->slots = change.record->slots;
      item->leaving = change.record->leaving;
      item->reclaimable = change.record->reclaimable;
      item->doubtful = change.record->doubtful;
      item->started_ms = change.record->started_ms;
      item->software_version = change.record->software_version;
    }
    encoded->changes.push_back(std::move(item));
  }
  return encoded;
}

FeedUpdate DecodeFeedUpdate(const wire::FeedNewsT& encoded) {
  FeedUpdate feed_update{.after = encoded.after, .position = encoded.position};
  for (const auto& item : encoded.changes) {
    RegistrationChange change{.id = UpstreamId(item->upstream), .version = item->version};
    if (!item->gone) {
      change.record = UpstreamRecord{.id = change.id,
                                     .service = ServiceId(item->service),
                                     .address = item->address,
                                     .failure_domain = FailureDomainId(item->failure_domain),
                                     .slots = std::max(item->slots, 1),
                                     .leaving = item->leaving,
                                     .reclaimable = item->reclaimable,
                                     .doubtful = item->doubtful,
                                     .started_ms = item->started_ms,
                                     .software_version = item->software_version};
    }
    feed_update.changes.push_back(std::move(change));
  }
  return feed_update;
}

std::vector<std::unique_ptr<wire::CrashItemT>> EncodeCrashRecords(
    const std::vector<CrashRecord>& records) {
  std::vector<std::unique_ptr<wire::CrashItemT>> items;
  for (const CrashRecord& record : records) {
    auto item = std::make_unique<wire::CrashItemT>();
    item->request = record.request;
    for (const UpstreamLoss& loss : record.losses) {
      item->losses.emplace_back(loss.upstream, Milliseconds(loss.age));
    }
    if (record.answer_age) {
      item->answer_age_ms = *record.answer_age / 1ms;
    }
    items.push_back(std::move(item));
  }
  return items;
}

std::vector<CrashRecord> DecodeCrashRecords(
    const std::vector<std::unique_ptr<wire::CrashItemT>>& items) {
  std::vector<CrashRecord> records;
  for (const auto& item : items) {
    CrashRecord record{.request = item->request};
    for (const wire::LossItem& loss : item->losses) {
      record.losses.push_back({.upstream = loss.upstream(), .age = DecodeAge(loss.age_ms())});
    }
    if (item->answer_age_ms >= 0) {
      record.answer_age = DecodeAge(item->answer_age_ms);
    }
    records.push_back(std::move(record));
  }
  return records;
}

// Groups the records by version, so that each takes the bytes of its attempt only.
std::vector<std::unique_ptr<wire::StreamVersionItemT>> EncodeStreamVersions(
    const std::vector<StreamVersionRecord>& records) {
  std::map<std::uint64_t, std::unique_ptr<wire::StreamVersionItemT>> by_version;
  for (const StreamVersionRecord& record : records) {
    auto& item = by_version[record.version];
    if (item == nullptr) {
      item = std::make_unique<wire::StreamVersionItemT>();
      item->version = record.version;
    }
    item->attempts.push_back(record.attempt);
  }
  std::vector<std::unique_ptr<wire::StreamVersionItemT>> items;
  items.reserve(by_version.size());
  for (auto& [version, item] : by_version) {
    items.push_back(std::move(item));
  }
  return items;
}

std::vector<StreamVersionRecord> DecodeStreamVersions(
    const std::vector<std::unique_ptr<wire::StreamVersionItemT>>& items) {
  std::vector<StreamVersionRecord> records;
  for (const auto& item : items) {
    for (const std::uint64_t attempt : item->attempts) {
      records.push_back({.attempt = attempt, .version = item->version});
    }
  }
  return records;
}

std::unique_ptr<wire::RolloutItemT> EncodeRollout(const rollout::ReportedRollout& rollout) {
  auto item = std::make_unique<wire::RolloutItemT>();
  item->service = rollout.order.service.value();
  item->to = rollout.order.to;
  item->duration_ms = static_cast<std::uint64_t>(rollout.order.duration / 1ms);
  item->order_version = rollout.order.version;
  item->order_era = rollout.order.era;
  item->order_age_ms = Milliseconds(rollout.order_age);
  item->abandoned = rollout.abandoned;
  item->fencing = rollout.step.fencing;
  item->number = rollout.step.number;
  item->confirmation = rollout.confirmation;
  item->step_age_ms = rollout.step_age ? *rollout.step_age / 1ms : -1;
  item->stage = static_cast<std::uint8_t>(rollout.step.stage);
  item->share = static_cast<float>(rollout.step.share);
  item->upstreams = rollout.step.upstreams;
  for (const auto& [route, share] : rollout.step.route_shares) {
    item->route_shares.emplace_back(route, static_cast<float>(share));
  }
  for (const auto& [route, counts] : rollout.counts) {
    const auto& [old_version, new_version] = std::tie(counts.old_version, counts.new_version);
    item->counts.emplace_back(route, counts.requests, counts.sent_to_new, old_version.good,
                              old_version.failed, old_version.slow, new_version.good,
                              new_version.failed, new_version.slow);
  }
  return item;
}

double DecodeShare(float share) {
  // Also drops values that are not numbers.
  return share > 0 ? std::min(static_cast<double>(share), 1.0) : 0;
}

rollout::ReportedRollout DecodeRollout(const wire::RolloutItemT& item) {
  rollout::ReportedRollout rollout{
      .order = {.service = ServiceId(item.service),
                .to = item.to,
                .duration =
                    DecodeAge(SaturatingCast<std::int64_t>(static_cast<double>(item.duration_ms))),
                .version = item.order_version,
                .era = item.order_era},
      .order_age = DecodeAge(item.order_age_ms),
      .abandoned = item.abandoned,
      .confirmation = item.confirmation};
  // A stage that this build does not know sends nothing to the new version.
  const bool is_known = item.stage <= static_cast<std::uint8_t>(rollout::RolloutStage::kRolledBack);
  if (item.step_age_ms >= 0 && is_known) {
    rollout.step_age = DecodeAge(item.step_age_ms);
    rollout.step = {.fencing = item.fencing,
                    .number = item.number,
                    .stage = static_cast<rollout::RolloutStage>(item.stage),
                    .share = DecodeShare(item.share),
                    .upstreams = std::max(item.upstreams, 0)};
    for (const wire::RouteShareItem& share : item.route_shares) {
      rollout.step.route_shares[share.route()] = DecodeShare(share.share());
    }
  }
  for (const wire::RolloutCountItem& count : item.counts) {
    rollout.counts[count.route()] = {
        .requests = count.requests(),
        .sent_to_new = count.sent_to_new(),
        .old_version = {.good = count.old_good(),
                        .failed = count.old_failed(),
                        .slow = count.old_slow()},
        .new_version = {
            .good = count.new_good(), .failed = count.new_failed(), .slow = count.new_slow()}};
  }
  return rollout;
}

template <typename Table>
std::string Serialize(const typename Table::NativeTableType& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Table::Pack(builder, &message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

template <typename Table>
bool IsValid(std::string_view text) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  return verifier.VerifyBuffer<Table>(nullptr);
}

}  // namespace

std::string EncodeDigest(const FleetReport& report) {
  wire::FleetDigestT digest;
  digest.daemon = report.sender.id.value();
  digest.incarnation = report.incarnation;
  digest.failure_domain = report.sender.failure_domain.value();
  digest.memory_bytes = report.sender.memory_bytes;
  digest.scope = static_cast<wire::DigestScope>(report.scope);
  digest.daemons = static_cast<std::uint16_t>(std::clamp(report.daemons, 0, kMaxDaemons));
  digest.time_of_day_ms = report.time_of_day / 1ms;
  digest.leaving = report.leaving;
  if (report.holder_age) {
    digest.holder_age_ms = *report.holder_age / 1ms;
    digest.holder_incarnation = report.holder_announcement.incarnation;
    digest.holder_time_ms = report.holder_announcement.time / 1ms;
  }
  digest.highest_fencing = report.highest_fencing;
  digest.store_era = report.store_era;
  digest.store_era_age_ms = Milliseconds(report.store_era_age);
  digest.requests_port = report.requests_port;
  digest.routes_version = report.routes_version;
  digest.routes_age_ms = Milliseconds(report.routes_age);
  for (const ReportedLoad& item : report.loads) {
    digest.loads.emplace_back(
        item.upstream, static_cast<float>(item.load.waiting_tokens),
        static_cast<std::uint16_t>(std::clamp(item.load.running, 0, kMaxRunning)),
        item.load.suspect);
  }
  for (const ReportedPace& pace : report.paces) {
    digest.paces.emplace_back(pace.process, static_cast<float>(pace.interval_s),
                              static_cast<float>(pace.late_fraction),
                              static_cast<std::uint16_t>(pace.streams));
  }
  for (const auto& [account, use] : report.allowances) {
    digest.allowances.emplace_back(account, use.asked, use.taken, use.level);
  }
  for (const BegunCount& item : report.begun) {
    digest.begun.emplace_back(item.window, item.account, item.count);
  }
  for (const auto& [service, seconds] : report.work) {
    digest.work.emplace_back(service, seconds);
  }
  digest.crash_records_known = report.crash_records_known;
  digest.crashes = EncodeCrashRecords(report.crashes);
  digest.path_crashes = EncodeCrashRecords(report.path_crashes);
  digest.part_crashes = EncodeCrashRecords(report.part_crashes);
  for (const ReportedRateLimit& limit : report.rate_limits) {
    digest.rate_limits.emplace_back(limit.upstream, limit.rate.value_or(kNoRateLimit),
                                    Milliseconds(limit.age));
  }
  for (const ReportedNotice& notice : report.notices) {
    digest.notices.emplace_back(notice.upstream, Milliseconds(notice.age));
  }
  for (const ReportedNotice& rejection : report.rejections) {
    digest.rejections.emplace_back(rejection.upstream, Milliseconds(rejection.age));
  }
  if (report.feed_update) {
    digest.feed = EncodeFeedUpdate(*report.feed_update, report.feed_update_age);
  }
  digest.streams = EncodeStreamVersions(report.streams);
  for (const rollout::ReportedRollout& rollout : report.rollouts) {
    digest.rollouts.push_back(EncodeRollout(rollout));
  }
  if (report.rollout_orders_age) {
    digest.rollout_orders_age_ms = *report.rollout_orders_age / 1ms;
  }
  return Serialize<wire::FleetDigest>(digest);
}

Result<FleetReport> DecodeDigest(std::string_view datagram) {
  if (!IsValid<wire::FleetDigest>(datagram)) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid, .message = "The datagram is not a valid digest."});
  }
  wire::FleetDigestT digest;
  wire::GetFleetDigest(datagram.data())->UnPackTo(&digest);
  if (digest.scope > wire::DigestScope_MAX) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid, .message = "The digest has an unknown scope."});
  }
  FleetReport report{.sender = {.id = DaemonId(digest.daemon),
                                .failure_domain = FailureDomainId(digest.failure_domain),
                                .memory_bytes = digest.memory_bytes},
                     .incarnation = digest.incarnation,
                     .scope = static_cast<ReportScope>(digest.scope),
                     .daemons = digest.daemons,
                     .time_of_day = DecodeTimeOfDay(digest.time_of_day_ms),
                     .leaving = digest.leaving,
                     .highest_fencing = digest.highest_fencing,
                     .store_era = digest.store_era,
                     .store_era_age = DecodeAge(digest.store_era_age_ms),
                     .requests_port = digest.requests_port,
                     .routes_version = digest.routes_version,
                     .routes_age = DecodeAge(digest.routes_age_ms),
                     .crash_records_known = digest.crash_records_known};
  if (digest.holder_age_ms >= 0) {
    report.holder_age = DecodeAge(digest.holder_age_ms);
    report.holder_announcement = {.incarnation = digest.holder_incarnation,
                                  .time = DecodeTimeOfDay(digest.holder_time_ms)};
  }
  for (const wire::UpstreamLoadItem& item : digest.loads) {
    report.loads.push_back({.upstream = item.upstream(),
                            .load = {.running = item.running(),
                                     .waiting_tokens = item.waiting_tokens(),
                                     .suspect = item.suspect()}});
  }
  for (const wire::PaceItem& item : digest.paces) {
    report.paces.push_back({.process = item.process(),
                            .interval_s = item.interval_s(),
                            .late_fraction = item.late_fraction(),
                            .streams = item.streams()});
  }
  for (const wire::AllowanceItem& item : digest.allowances) {
    report.allowances.emplace(
        item.account(),
        AllowanceUsage{.asked = item.asked(), .taken = item.taken(), .level = item.level()});
  }
  for (const wire::BegunItem& item : digest.begun) {
    report.begun.push_back(
        {.window = item.window(), .account = item.account(), .count = item.count()});
  }
  for (const wire::WorkItem& item : digest.work) {
    report.work.emplace(item.service(), item.seconds());
  }
  report.crashes = DecodeCrashRecords(digest.crashes);
  report.path_crashes = DecodeCrashRecords(digest.path_crashes);
  report.part_crashes = DecodeCrashRecords(digest.part_crashes);
  for (const wire::RateLimitItem& item : digest.rate_limits) {
    ReportedRateLimit& limit = report.rate_limits.emplace_back();
    limit.upstream = item.upstream();
    limit.age = DecodeAge(item.age_ms());
    // Also drops values that are not numbers.
    if (item.rate_per_s() >= 0) {
      limit.rate =
          std::clamp(item.rate_per_s(), UpstreamRateLimits::kMinRate, UpstreamRateLimits::kMaxRate);
    }
  }
  for (const wire::NoticeItem& item : digest.notices) {
    report.notices.push_back({.upstream = item.upstream(), .age = DecodeAge(item.age_ms())});
  }
  for (const wire::NoticeItem& item : digest.rejections) {
    report.rejections.push_back({.upstream = item.upstream(), .age = DecodeAge(item.age_ms())});
  }
  if (digest.feed) {
    report.feed_update = DecodeFeedUpdate(*digest.feed);
    report.feed_update_age = DecodeAge(digest.feed->age_ms);
  }
  report.streams = DecodeStreamVersions(digest.streams);
  for (const auto& item : digest.rollouts) {
    report.rollouts.push_back(DecodeRollout(*item));
  }
  if (digest.rollout_orders_age_ms >= 0) {
    report.rollout_orders_age = DecodeAge(digest.rollout_orders_age_ms);
  }
  return report;
}

std::string EncodeStreamSnapshot(const StreamVersionSnapshot& snapshot) {
  wire::StreamSnapshotT encoded;
  if (snapshot.known_age) {
    encoded.known_age_ms = *snapshot.known_age / 1ms;
  }
  for (const KnownVersionAge& age : snapshot.versions) {
    auto item = std::make_unique<wire::KnownVersionItemT>();
    item->service = age.service.value();
    item->version = age.version;
    if (age.absent_age) {
      // Rounded up, so that the version is not taken for newer than it is.
      item->absent_age_ms = *age.absent_age / 1ms + 1;
    }
    item->present_age_ms = age.present_age / 1ms;
    encoded.versions.push_back(std::move(item));
  }
  encoded.streams = EncodeStreamVersions(snapshot.records);
  return Serialize<wire::StreamSnapshot>(encoded);
}

Result<StreamVersionSnapshot> DecodeStreamSnapshot(std::string_view text) {
  if (!IsValid<wire::StreamSnapshot>(text)) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid, .message = "The text is not a valid snapshot."});
  }
  wire::StreamSnapshotT encoded;
  flatbuffers::GetRoot<wire::StreamSnapshot>(text.data())->UnPackTo(&encoded);
  StreamVersionSnapshot snapshot;
  if (encoded.known_age_ms >= 0) {
    snapshot.known_age = DecodeAge(encoded.known_age_ms);
  }
  for (const auto& item : encoded.versions) {
    KnownVersionAge& age = snapshot.versions.emplace_back();
    age.service = ServiceId(item->service);
    age.version = item->version;
    if (item->absent_age_ms >= 0) {
      age.absent_age = DecodeAge(item->absent_age_ms);
    }
    age.present_age = DecodeAge(item->present_age_ms);
  }
  snapshot.records = DecodeStreamVersions(encoded.streams);
  return snapshot;
}

}  // namespace savoryglade::gateway
