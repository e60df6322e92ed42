#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/prefix_hash.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Limits of a StreamVersionDirectory.
struct StreamVersionOptions {
  std::size_t max_streams = 131'072;
  // Time after its first event for which a stream may be resumed: the longest timeout of a route,
  // and a margin for daemons that send work to upstreams that are no longer registered.
  Duration lifetime = 70s;
  // Time for which upstreams of a version that is new to a daemon get no work from it.
  Duration hold_time = 1200ms;
  // Oldest view of the registrations from which versions are inferred. Shorter than the hold time,
  // so that a version that the view lacks has not begun a stream yet.
  Duration max_view_age = 1s;
  // Reports that carry a record, because datagrams can be lost.
  int reports_per_record = 3;
};

// Software version of the upstream that began a stream. The stream is identified by the hash of the
// caller's attempt that received its first event.
struct StreamVersionRecord {
  std::uint64_t attempt = 0;
  std::uint64_t version = 0;

  friend auto operator<=>(const StreamVersionRecord&, const StreamVersionRecord&) = default;
};

// What is known of the version that began a stream.
struct StreamOrigin {
  enum class Source : std::uint8_t {
    // A stream of unknown version must not go on.
    kUnknown,
    kRecorded,
    // Only one version can have begun streams of the service.
    kInferred,
  };

  Source source = Source::kUnknown;
  std::uint64_t version = 0;

  bool known() const { return source != Source::kUnknown; }

  friend auto operator<=>(const StreamOrigin&, const StreamOrigin&) = default;
};

// When a version of a service was registered, as ages, because the clocks of daemons differ.
struct KnownVersionAge {
  ServiceId service;
  std::uint64_t version = 0;
  // Time since the last view without the version before it registered; empty if there was none.
  std::optional<Duration> absent_age;
  // Time since the version was last registered.
  Duration present_age = Duration::zero();

  friend auto operator<=>(const KnownVersionAge&, const KnownVersionAge&) = default;
};

// What a daemon passes on to one that has just started.
struct StreamVersionSnapshot {
  // Time for which the sender has known all registered versions; empty if its view is too old.
  std::optional<Duration> known_age;
  std::vector<KnownVersionAge> versions;
  std::vector<StreamVersionRecord> records;

  friend auto operator<=>(const StreamVersionSnapshot&, const StreamVersionSnapshot&) = default;
};

// Knows which software version of a service began a stream, so that it can be resumed at any daemon
// of a group. Versions are identified by the hashes of their names. Daemons report the streams that
// they begin, unless the version can be inferred: that is while only one version of the service has
// been registered for the lifetime of a stream. Two different versions for one attempt leave its
// version unknown. Not thread-safe.
class StreamVersionDirectory {
 public:
  explicit StreamVersionDirectory(StreamVersionOptions options) : options_(options) {}

  // Returns the key of an attempt in records.
  static std::uint64_t KeyOf(std::string_view attempt) { return Fnv1aHash(attempt); }

  void SetLifetime(Duration lifetime) { options_.lifetime = lifetime; }
  // Sets the hold time, and the age of the view that belongs to it.
  void SetHoldTime(Duration hold_time, Duration max_view_age) {
    options_.hold_time = hold_time;
    options_.max_view_age = max_view_age;
  }

  // Records a registration. Returns the instant until which the upstream must get no work.
  TimePoint OnUpstream(const UpstreamId& upstream, const ServiceId& service, std::uint64_t version,
                       TimePoint now);
  void OnUpstreamRemoved(const UpstreamId& upstream, TimePoint now);
  // Records that the registrations passed in so far are those of this instant.
  void OnViewConfirmed(TimePoint as_of);
  // Records that a route leads to another service, so that streams which one service began may be
  // resumed at the other.
  void OnServiceReplaced(const ServiceId& from, const ServiceId& to, TimePoint now);

  // Records that this daemon is about to relay the first event of a stream.
  void OnStreamBegan(std::string_view attempt, const ServiceId& service, std::uint64_t version,
                     TimePoint now);
  void OnPeerRecords(const std::vector<StreamVersionRecord>& records, TimePoint now);

  // Returns the version of the stream that this attempt began.
  StreamOrigin Find(std::string_view attempt, const ServiceId& service, TimePoint now) const;

  // Returns at most `limit` records for the next report to the group.
  std::vector<StreamVersionRecord> SelectForReport(std::size_t limit, TimePoint now);

  // Returns the versions that were registered during the lifetime of a stream, without records.
  StreamVersionSnapshot KnownVersions(TimePoint now) const;
  StreamVersionSnapshot MakeSnapshot(TimePoint now) const;
  // Merges the snapshot of a peer, which arrived this long after it was requested.
  void OnPeerSnapshot(const StreamVersionSnapshot& snapshot, Duration delay, TimePoint now);

  // Number of streams with a record.
  std::size_t size() const { return records_.size(); }

 private:
  // Version of a stream whose records contradict each other.
  static constexpr std::uint64_t kConflict = 0;

  struct KnownVersion {
    // Last view without the version before it registered, if there was one.
    std::optional<TimePoint> absent_at;
    // Latest instant at which it was registered, unless upstreams have it now.
    TimePoint present_at{};
    TimePoint held_until{};
    int upstreams = 0;
  };
  using Versions = std::map<std::uint64_t, KnownVersion>;

  struct Record {
    std::uint64_t version = 0;
    TimePoint recorded_at{};
  };
  struct OwnStream {
    StreamVersionRecord record;
    TimePoint began_at{};
  };
  struct PendingRecord {
    StreamVersionRecord record;
    int reports_left = 0;
  };

  void AddRecord(const StreamVersionRecord& record, TimePoint now);
  void RemoveExpiredRecords(TimePoint now);
  void ReleaseUpstream(const ServiceId& service, std::uint64_t version, TimePoint now);
  bool IsPresent(const KnownVersion& known, TimePoint now) const {
    return known.upstreams > 0 || now - known.present_at <= options_.lifetime;
  }
  // Returns true if this daemon knows all versions that were registered for the lifetime of a
  // stream, up to now.
  bool KnowsAllVersions(TimePoint now) const;
  // Returns the versions that were registered during the lifetime of a stream. Leaves out those
  // that have not begun any if `begun` is true.
  std::vector<std::uint64_t> VersionsOf(const ServiceId& service, bool begun, TimePoint now) const;
  void AddVersionsOf(const ServiceId& service, bool begun, TimePoint now,
                     std::vector<std::uint64_t>& versions) const;
  // Returns true if daemons of the group may be unable to infer the version of a stream.
  bool NeedsRecords(const ServiceId& service, TimePoint now) const;
  // Moves the streams whose versions can no longer be inferred to those to report.
  void QueueUnreportedStreams(TimePoint now);

  StreamVersionOptions options_;
  std::map<UpstreamId, std::pair<ServiceId, std::uint64_t>> upstreams_;
  std::map<ServiceId, Versions> versions_;
  // For each service the services that it has replaced on a route, and when.
  std::map<ServiceId, std::map<ServiceId, TimePoint>> replaced_;
  std::optional<TimePoint> view_confirmed_at_;
  // Instant since which all registered versions are known.
  std::optional<TimePoint> known_since_;
  std::unordered_map<std::uint64_t, Record> records_;
  // Recorded streams, oldest first. A stream that was recorded again has several entries.
  std::deque<std::pair<TimePoint, std::uint64_t>> record_order_;
  // This daemon's streams that were not reported, oldest first.
  std::map<ServiceId, std::deque<OwnStream>> unreported_;
  std::deque<PendingRecord> pending_;
};

}  // namespace savoryglade
