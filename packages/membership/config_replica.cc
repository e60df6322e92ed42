#include "membership/config_replica.h"

#include <algorithm>
#include <array>
#include <utility>

namespace savoryglade::membership {

const char* ToString(ConfigSource source) {
  static constexpr std::array<const char*, 4> kNames = {"none", "table", "peer", "operator"};
  return kNames.at(static_cast<std::size_t>(source));
}

ConfigReplica::ConfigReplica(ConfigReplicaOptions options, TimePoint now)
    : options_(options), started_(now) {}

bool ConfigReplica::ApplyIfNewer(Snapshot configuration, ConfigSource source, const DaemonId& peer,
                                 TimePoint now) {
  if (fetch_started_ && source == ConfigSource::kPeer && peer == fetch_peer_) {
    fetch_started_.reset();
  }
  if (configuration->version <= snapshot_->version) {
    return false;
  }
  snapshot_ = std::move(configuration);
  source_ = source;
  source_peer_ = peer;
  if (source != ConfigSource::kPeer) {
    OnTableVersion(snapshot_->version, now);
  }
  return true;
}

void ConfigReplica::OnTableVersion(std::uint64_t version, TimePoint queried_at) {
  table_version_ = std::max(version, table_version_.value_or(0));
  if (snapshot_->version >= *table_version_) {
    last_confirmed_ = std::max(queried_at, last_confirmed_.value_or(queried_at));
  }
}

void ConfigReplica::OnPeerVersion(const DaemonId& peer, std::uint64_t version) {
  peer_versions_[peer] = version;
}

void ConfigReplica::OnPeerDisconnected(const DaemonId& peer) {
  peer_versions_.erase(peer);
  if (fetch_started_ && fetch_peer_ == peer) {
    fetch_started_.reset();
  }
}

std::uint64_t ConfigReplica::HighestPeerVersion() const {
  std::uint64_t highest = 0;
  for (const auto& [peer, version] : peer_versions_) {
    highest = std::max(highest, version);
  }
  return highest;
}

void ConfigReplica::OnFetchProgress(const DaemonId& peer, TimePoint received_at) {
  if (fetch_started_ && peer == fetch_peer_) {
    fetch_progress_ = std::max(fetch_progress_, received_at);
  }
}

std::optional<DaemonId> ConfigReplica::StartFetch(TimePoint now) {
  if (fetch_started_ && now - *fetch_started_ < options_.max_fetch_time &&
      now - std::max(*fetch_started_, fetch_progress_) < options_.fetch_timeout) {
    return std::nullopt;
  }
  const std::uint64_t highest = HighestPeerVersion();
  if (highest <= version()) {
    fetch_started_.reset();
    return std::nullopt;
  }
  // After an unanswered fetch, another peer with the same version is preferred.
  const DaemonId* chosen = nullptr;
  for (const auto& [peer, peer_version] : peer_versions_) {
    const bool asked_before = fetch_started_ && peer == fetch_peer_;
    if (peer_version == highest && (chosen == nullptr || !asked_before)) {
      chosen = &peer;
    }
  }
  fetch_started_ = now;
  fetch_peer_ = *chosen;
  return fetch_peer_;
}

bool ConfigReplica::UpdateReady(TimePoint now) {
  if (ready_) {
    return true;
  }
  const std::uint64_t highest_peer_version = HighestPeerVersion();
  if (version() < highest_peer_version || (table_version_ && version() < *table_version_)) {
    return false;
  }
  if (table_version_) {
    ready_ = true;
    return true;
  }
  const bool table_unavailable = table_failed_ || now - started_ >= options_.table_timeout;
  const bool all_answered =
      std::all_of(expected_peers_.begin(), expected_peers_.end(),
                  [this](const DaemonId& peer) { return peer_versions_.count(peer) != 0; });
  const bool peers_known = all_answered || now - started_ >= options_.peer_timeout;
  ready_ = table_unavailable && peers_known && highest_peer_version > 0;
  return ready_;
}

std::optional<Duration> ConfigReplica::Staleness(TimePoint now) const {
  return last_confirmed_ ? std::optional<Duration>(now - *last_confirmed_) : std::nullopt;
}

}  // namespace savoryglade::membership
