#include "recovery/stream_version_directory.h"

#include <algorithm>

namespace savoryglade {
namespace {

// Part of its lifetime after which a record that is received again is renewed.
constexpr int kRenewalsPerLifetime = 16;

}  // namespace

TimePoint StreamVersionDirectory::OnUpstream(const UpstreamId& upstream, const ServiceId& service,
                                             std::uint64_t version, TimePoint now) {
  const std::pair<ServiceId, std::uint64_t> registered(service, version);
  const auto [found, is_new] = upstreams_.try_emplace(upstream, registered);
  if (!is_new && found->second != registered) {
    ReleaseUpstream(found->second.first, found->second.second, now);
    found->second = registered;
  } else if (!is_new) {
    return versions_[service][version].held_until;
  }
  Versions& versions = versions_[service];
  std::erase_if(versions, [&](const auto& item) { return !IsPresent(item.second, now); });
  const auto [known, added] = versions.try_emplace(version);
  if (added) {
    known->second.absent_at = view_confirmed_at_;
    // Nothing is inferred from a view without any version.
    if (view_confirmed_at_ && versions.size() > 1) {
      known->second.held_until = now + options_.hold_time;
    }
  }
  ++known->second.upstreams;
  return known->second.held_until;
}

void StreamVersionDirectory::OnUpstreamRemoved(const UpstreamId& upstream, TimePoint now) {
  if (const auto found = upstreams_.find(upstream); found != upstreams_.end()) {
    ReleaseUpstream(found->second.first, found->second.second, now);
    upstreams_.erase(found);
  }
}

void StreamVersionDirectory::ReleaseUpstream(const ServiceId& service, std::uint64_t version,
                                             TimePoint now) {
  KnownVersion& known = versions_[service][version];
  --known.upstreams;
  known.present_at = now;
}

void StreamVersionDirectory::OnViewConfirmed(TimePoint as_of) {
  view_confirmed_at_ = std::max(view_confirmed_at_.value_or(as_of), as_of);
  known_since_ = known_since_.value_or(as_of);
}

void StreamVersionDirectory::OnServiceReplaced(const ServiceId& from, const ServiceId& to,
                                               TimePoint now) {
  replaced_[to][from] = now;
}

bool StreamVersionDirectory::KnowsAllVersions(TimePoint now) const {
  return view_confirmed_at_ && now - *view_confirmed_at_ <= options_.max_view_age && known_since_ &&
         now - *known_since_ >= options_.lifetime;
}

void StreamVersionDirectory::AddVersionsOf(const ServiceId& service, bool begun, TimePoint now,
                                           std::vector<std::uint64_t>& versions) const {
  const auto found = versions_.find(service);
  if (found == versions_.end()) {
    return;
  }
  for (const auto& [version, known] : found->second) {
    const bool on_hold = known.absent_at && now < *known.absent_at + options_.hold_time;
    if (IsPresent(known, now) && !(begun && on_hold) &&
        std::ranges::find(versions, version) == versions.end()) {
      versions.push_back(version);
    }
  }
}

std::vector<std::uint64_t> StreamVersionDirectory::VersionsOf(const ServiceId& service, bool begun,
                                                              TimePoint now) const {
  std::vector<std::uint64_t> versions;
  AddVersionsOf(service, begun, now, versions);
  if (const auto found = replaced_.find(service); found != replaced_.end()) {
    for (const auto& [from, replaced_at] : found->second) {
      if (now - replaced_at <= options_.lifetime) {
        AddVersionsOf(from, begun, now, versions);
      }
    }
  }
  return versions;
}

bool StreamVersionDirectory::NeedsRecords(const ServiceId& service, TimePoint now) const {
  return !KnowsAllVersions(now) || VersionsOf(service, false, now).size() != 1;
}

void StreamVersionDirectory::AddRecord(const StreamVersionRecord& record, TimePoint now) {
  const auto [found, is_new] =
      records_.try_emplace(record.attempt, Record{.version = record.version, .recorded_at = now});
  if (!is_new) {
    if (found->second.version != record.version) {
      found->second.version = kConflict;
    }
    if (now - found->second.recorded_at < options_.lifetime / kRenewalsPerLifetime) {
      return;
    }
    found->second.recorded_at = now;
  }
  record_order_.emplace_back(now, record.attempt);
  RemoveExpiredRecords(now);
}

void StreamVersionDirectory::RemoveExpiredRecords(TimePoint now) {
  while (!record_order_.empty()) {
    const auto& [recorded_at, attempt] = record_order_.front();
    const auto found = records_.find(attempt);
    const bool is_last = found != records_.end() && found->second.recorded_at == recorded_at;
    if (is_last && now - recorded_at <= options_.lifetime &&
        records_.size() <= options_.max_streams) {
      return;
    }
    if (is_last) {
      records_.erase(found);
    }
    record_order_.pop_front();
  }
}

void StreamVersionDirectory::OnStreamBegan(std::string_view attempt, const ServiceId& service,
                                           std::uint64_t version, TimePoint now) {
  const StreamVersionRecord record{.attempt = KeyOf(attempt), .version = version};
  AddRecord(record, now);
  if (NeedsRecords(service, now)) {
    pending_.push_back({.record = record, .reports_left = options_.reports_per_record});
    if (pending_.size() > options_.max_streams) {
      pending_.pop_front();
    }
    return;
  }
  std::deque<OwnStream>& streams = unreported_[service];
  streams.push_back({.record = record, .began_at = now});
  while (now - streams.front().began_at > options_.lifetime ||
         streams.size() > options_.max_streams) {
    streams.pop_front();
  }
}

void StreamVersionDirectory::OnPeerRecords(const std::vector<StreamVersionRecord>& records,
                                           TimePoint now) {
  for (const StreamVersionRecord& record : records) {
    AddRecord(record, now);
  }
}

StreamOrigin StreamVersionDirectory::Find(std::string_view attempt, const ServiceId& service,
                                          TimePoint now) const {
  const auto found = records_.find(KeyOf(attempt));
  if (found != records_.end() && now - found->second.recorded_at <= options_.lifetime) {
    if (found->second.version == kConflict) {
      return {};
    }
    return {.source = StreamOrigin::Source::kRecorded, .version = found->second.version};
  }
  if (KnowsAllVersions(now)) {
    const std::vector<std::uint64_t> versions = VersionsOf(service, true, now);
    if (versions.size() == 1) {
      return {.source = StreamOrigin::Source::kInferred, .version = versions.front()};
    }
  }
  return {};
}

void StreamVersionDirectory::QueueUnreportedStreams(TimePoint now) {
  for (auto& [service, streams] : unreported_) {
    if (streams.empty() || !NeedsRecords(service, now)) {
      continue;
    }
    for (const OwnStream& stream : streams) {
      if (now - stream.began_at <= options_.lifetime) {
        pending_.push_back({.record = stream.record, .reports_left = options_.reports_per_record});
      }
    }
    streams.clear();
  }
}

std::vector<StreamVersionRecord> StreamVersionDirectory::SelectForReport(std::size_t limit,
                                                                         TimePoint now) {
  QueueUnreportedStreams(now);
  std::vector<StreamVersionRecord> selected;
  const std::size_t count = std::min(limit, pending_.size());
  selected.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    PendingRecord pending = pending_.front();
    pending_.pop_front();
    selected.push_back(pending.record);
    if (--pending.reports_left > 0) {
      pending_.push_back(pending);
    }
  }
  return selected;
}

StreamVersionSnapshot StreamVersionDirectory::KnownVersions(TimePoint now) const {
  StreamVersionSnapshot snapshot;
  if (known_since_ && view_confirmed_at_ && now - *view_confirmed_at_ <= options_.max_view_age) {
    snapshot.known_age = now - *known_since_;
  }
  for (const auto& [service, versions] : versions_) {
    for (const auto& [version, known] : versions) {
      if (!IsPresent(known, now)) {
        continue;
      }
      KnownVersionAge& age = snapshot.versions.emplace_back();
      age.service = service;
      age.version = version;
      age.present_age = known.upstreams > 0 ? Duration::zero() : now - known.present_at;
      if (known.absent_at) {
        age.absent_age = now - *known.absent_at;
      }
    }
  }
  return snapshot;
}

StreamVersionSnapshot StreamVersionDirectory::MakeSnapshot(TimePoint now) const {
  StreamVersionSnapshot snapshot = KnownVersions(now);
  for (const auto& [attempt, record] : records_) {
    if (now - record.recorded_at <= options_.lifetime) {
      snapshot.records.push_back({.attempt = attempt, .version = record.version});
    }
  }
  return snapshot;
}

void StreamVersionDirectory::OnPeerSnapshot(const StreamVersionSnapshot& snapshot, Duration delay,
                                            TimePoint now) {
  OnPeerRecords(snapshot.records, now);
  for (const KnownVersionAge& age : snapshot.versions) {
    std::optional<TimePoint> absent_at;
    if (age.absent_age) {
      // The age is from some instant after the request.
      absent_at = now - *age.absent_age - delay;
    }
    const auto [found, is_new] = versions_[age.service].try_emplace(age.version);
    KnownVersion& known = found->second;
    // Without a view before the version registered, this daemon relies on that of the peer.
    if (is_new || !known.absent_at) {
      known.absent_at = absent_at;
    } else {
      // An empty value is less than any instant.
      known.absent_at = std::min(known.absent_at, absent_at);
    }
    known.present_at = std::max(known.present_at, now - age.present_age);
  }
  if (snapshot.known_age) {
    const TimePoint known_since = now - *snapshot.known_age;
    known_since_ = std::min(known_since_.value_or(known_since), known_since);
  }
}

}  // namespace savoryglade
