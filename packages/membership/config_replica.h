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

// Where the configuration in force came from.
enum class ConfigSource : std::uint8_t { kNone, kTable, kPeer, kOperator };

// Returns "none", "table", "peer" or "operator".
const char* ToString(ConfigSource source);

struct ConfigReplicaOptions {
  // A starting daemon waits this long for the table before it relies on its peers alone. It then
  // still needs a ready peer: alone and without the table it never becomes ready.
  Duration table_patience = 3s;
  // Time after which listed peers of the failure domain that did not answer no longer hold back a
  // starting daemon that has no table.
  Duration peer_patience = 5s;
  // A fetch from a peer that is not answered is tried elsewhere after this time.
  Duration fetch_timeout = 2s;
};

// Configuration of one daemon: the version in force, whether the daemon may serve with it, and from
// which peer to fetch a newer one. Not safe to use from several threads.
class ConfigReplica {
 public:
  using Snapshot = std::shared_ptr<const Configuration>;

  ConfigReplica(ConfigReplicaOptions options, TimePoint now);

  // Takes a configuration if its version is higher than the one in force. Returns whether it was
  // taken. The peer is empty unless the source is kPeer.
  bool ApplyIfNewer(Snapshot configuration, ConfigSource source, const DaemonId& peer,
                    TimePoint now);

  // The table answered with this version at the instant at which it was asked.
  void OnTableVersion(std::uint64_t version, TimePoint asked);
  // The table can't be reached or did not answer in time.
  void OnTableUnavailable() { table_failed_ = true; }

  // A peer has this version in force; 0 means that it is not ready itself.
  void OnPeerVersion(const DaemonId& peer, std::uint64_t version);
  // The peer's connection is gone.
  void OnPeerDisconnected(const DaemonId& peer);
  // Peers of the failure domain that are listed and not dead.
  void SetExpectedPeers(std::set<DaemonId> peers) { expected_peers_ = std::move(peers); }

  // Returns the peer to ask for a newer version now, if any, and counts it as asked.
  std::optional<DaemonId> StartFetch(TimePoint now);

  // True once the daemon has the highest version of table and peers. Stays true.
  bool UpdateReady(TimePoint now);
  bool ready() const { return ready_; }

  const Snapshot& snapshot() const { return snapshot_; }
  std::uint64_t version() const { return snapshot_->version; }
  // Version to tell peers: 0 until ready.
  std::uint64_t advertised_version() const { return ready_ ? version() : 0; }
  ConfigSource source() const { return source_; }
  const DaemonId& source_peer() const { return source_peer_; }
  // Versions that connected peers have in force.
  const std::map<DaemonId, std::uint64_t>& peer_versions() const { return peer_versions_; }
  // Time since the table last confirmed that no higher version existed; nothing if it never did.
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
  std::optional<TimePoint> confirmed_;
  std::map<DaemonId, std::uint64_t> peer_versions_;
  std::set<DaemonId> expected_peers_;
  std::optional<TimePoint> fetch_started_;
  DaemonId fetch_peer_;
};

}  // namespace savoryglade::membership
