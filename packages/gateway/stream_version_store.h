#pragma once

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "core/error.h"
#include "core/time.h"
#include "gateway/adapter.h"
#include "gateway/fleet_state.h"
#include "recovery/stream_version_directory.h"

namespace savoryglade::gateway {

// Counts uses of the row of versions, by event: absent, invalid, too_old, read, written.
inline constexpr const char* kStoredVersionsMetric = "savoryglade_gateway_stored_versions_total";

// Versions known to some daemon at an instant, as the store keeps them. Holds no records of single
// streams.
struct StoredStreamVersions {
  // Time since 1970.
  Duration written_at = Duration::zero();
  StreamVersionSnapshot snapshot;

  friend auto operator<=>(const StoredStreamVersions&, const StoredStreamVersions&) = default;
};

// Encodes the value of the row.
std::string EncodeStreamVersionRow(const StoredStreamVersions& stored);
// Decodes the value of the row. Returns kInvalid if it is malformed.
Result<StoredStreamVersions> DecodeStreamVersionRow(std::string_view value);
// Returns what the row says at a later instant, or nothing if the row is too old or its time lies
// ahead, so that versions may have served that it does not list.
std::optional<StreamVersionSnapshot> StreamVersionsAt(StoredStreamVersions stored,
                                                      Duration unix_time);

// Keeps in the store which software versions have served and since when, so that streams can be
// resumed after all daemons have ended at once. The loop runs until its context stops.
class StreamVersionStore {
 public:
  // Key of the row.
  static constexpr const char* kRowKey = "stream-versions";

  StreamVersionStore(FleetState& fleet, FleetStore& store) : fleet_(fleet), store_(store) {}

  boost::asio::awaitable<void> Loop();

 private:
  using VersionSet = std::set<std::pair<ServiceId, std::uint64_t>>;

  static VersionSet VersionsIn(const StreamVersionSnapshot& snapshot);
  void Count(const char* event);
  // Reads the row and merges it into the directory. Returns false if the store call failed.
  boost::asio::awaitable<bool> Read();
  // Returns true if this daemon has to write the row: the holder of the duties, or the first
  // daemon of each group if there are none, after a version came or went and at intervals.
  bool IsWriteDue(TimePoint now) const;
  // Writes the row if that is due once it has been read again. Returns false if a store call failed
  // or another daemon wrote first.
  boost::asio::awaitable<bool> WriteIfDue();

  FleetState& fleet_;
  FleetStore& store_;
  bool has_read_ = false;
  std::uint64_t row_version_ = 0;
  // What the row lists, and when it was written.
  VersionSet stored_;
  TimePoint written_at_ = TimePoint::min();
};

}  // namespace savoryglade::gateway
