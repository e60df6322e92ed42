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

void ConfigReplica::OnTableVersion(std::uint64_t version, TimePoint asked) {
  table_version_ = std::max(version, table_version_.value_or(0));
  if (snapshot_->version >= *table_version_) {
    confirmed_ = std::max(asked, confirmed_.value_or(asked));
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

std::optional<DaemonId> ConfigReplica::StartFetch(TimePoint now) {
  if (fetch_started_ && now - *fetch_started_ < options_.fetch_timeout) {
    return std::nullopt;
  }
  const std::uint64_t highest = HighestPeerVersion();
  if (highest <= version()) {
    fetch_started_.reset();
    return std::nullopt;
  }
  // After a fetch that was not answered, another peer with as high a version goes first.
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
  const std::uint64_t peers = HighestPeerVersion();
  if (version() < peers || (table_version_ && version() < *table_version_)) {
    return false;
  }
  if (table_version_) {
    ready_ = true;
    return true;
  }
  const bool table_given_up = table_failed_ || now - started_ >= options_.table_patience;
  const bool all_answered =
      std::all_of(expected_peers_.begin(), expected_peers_.end(),
                  [this](const DaemonId& peer) { return peer_versions_.count(peer) != 0; });
  const bool peers_known = all_answered || now - started_ >= options_.peer_patience;
  ready_ = table_given_up && peers_known && peers > 0;
  return ready_;
}

std::optional<Duration> ConfigReplica::Staleness(TimePoint now) const {
  return confirmed_ ? std::optional<Duration>(now - *confirmed_) : std::nullopt;
}

}  // namespace savoryglade::membership
