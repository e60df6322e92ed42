#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "config/configuration.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade::membership {

// Source of the active configuration.
enum class ConfigSource : std::uint8_t { kNone, kTable, kPeer, kOperator };

// Returns "none", "table", "peer" or "operator".
const char* ToString(ConfigSource source);

struct ConfigReplicaOptions {
  // Time that a starting daemon waits for the table before it relies on its peers alone. Without
  // the table it becomes ready only if at least one peer is ready.
  Duration table_timeout = 3s;
  // Time that a starting daemon without the table waits for the listed peers of its failure domain
  // to respond.
  Duration peer_timeout = 5s;
  // Time without progress after which a fetch is retried, with another peer if possible.
  Duration fetch_timeout = 2s;
  // Time after which a fetch is retried in any case.
  Duration max_fetch_time = 10s;
};

// Replica of the configuration in one daemon. Holds the active version, decides when the daemon is
// ready to serve with it, and selects the peer from which to fetch a newer one. Not thread-safe.
class ConfigReplica {
 public:
  using Snapshot = std::shared_ptr<const Configuration>;

  ConfigReplica(ConfigReplicaOptions options, TimePoint now);

  // Activates a configuration if its version is higher than the active one. Returns whether it was
  // activated. The peer is empty unless the source is kPeer.
  bool ApplyIfNewer(Snapshot configuration, ConfigSource source, const DaemonId& peer,
                    TimePoint now);

  // Records the version that the table returned for a query sent at queried_at.
  void OnTableVersion(std::uint64_t version, TimePoint queried_at);
  // Records that the table is unreachable or did not respond in time.
  void OnTableUnavailable() { table_failed_ = true; }

  // Records a peer's active version; 0 means that the peer is not ready.
  void OnPeerVersion(const DaemonId& peer, std::uint64_t version);
  // Discards a peer's version after its connection has closed.
  void OnPeerDisconnected(const DaemonId& peer);
  // Sets the peers of the failure domain that are listed and not dead.
  void SetExpectedPeers(std::set<DaemonId> peers) { expected_peers_ = std::move(peers); }

  // Records when bytes were last received from the peer of the current fetch. A large configuration
  // may take longer than the fetch timeout on a slow link.
  void OnFetchProgress(const DaemonId& peer, TimePoint received_at);

  // Returns the peer from which to fetch a newer version now, or nothing. Records the fetch as
  // started.
  std::optional<DaemonId> StartFetch(TimePoint now);

  // Returns true once the daemon has had the highest version of the table and its peers. A ready
  // daemon stays ready.
  bool UpdateReady(TimePoint now);
  bool ready() const { return ready_; }

  const Snapshot& snapshot() const { return snapshot_; }
  std::uint64_t version() const { return snapshot_->version; }
  // Returns the version to advertise to peers; 0 until ready.
  std::uint64_t advertised_version() const { return ready_ ? version() : 0; }
  ConfigSource source() const { return source_; }
  const DaemonId& source_peer() const { return source_peer_; }
  // Returns the active versions of the connected peers.
  const std::map<DaemonId, std::uint64_t>& peer_versions() const { return peer_versions_; }
  // Returns the time since the table last confirmed that no higher version existed, or nothing if
  // it never did.
  std::optional<Duration> Staleness(TimePoint now) const;

 private:
  std::uint64_t HighestPeerVersion() const;

  ConfigReplicaOptions options_;
  TimePoint started_;
  Snapshot snapshot_ = std::make_shared<const Configuration>();
  ConfigSource source_ = ConfigSource::kNone;
  DaemonId source_peer_;
  bool ready_ = false;
  bool table_failed_ = false;
  std::optional<std::uint64_t> table_version_;
  std::optional<TimePoint> last_confirmed_;
  std::map<DaemonId, std::uint64_t> peer_versions_;
  std::set<DaemonId> expected_peers_;
  std::optional<TimePoint> fetch_started_;
  TimePoint fetch_progress_{};
  DaemonId fetch_peer_;
};

}  // namespace savoryglade::membership
