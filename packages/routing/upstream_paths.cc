#include "routing/upstream_paths.h"

#include <algorithm>
#include <iterator>

namespace savoryglade {

void UpstreamPaths::Add(const UpstreamId& upstream, const ServiceId& service) {
  Remove(upstream);
  paths_[upstream] = {.service = service};
}

void UpstreamPaths::Remove(const UpstreamId& upstream) {
  if (const auto found = paths_.find(upstream); found != paths_.end()) {
    unreached_ -= found->second.unreached_since ? 1 : 0;
    paths_.erase(found);
  }
}

void UpstreamPaths::OnReached(const UpstreamId& upstream, TimePoint now) {
  if (const auto found = paths_.find(upstream); found != paths_.end()) {
    unreached_ -= found->second.unreached_since ? 1 : 0;
    found->second.reached_at = now;
    found->second.unreached_since.reset();
    found->second.down_until = {};
    // The next upstream is probed at once, because the partition may have ended.
    next_probe_at_ = now;
  }
}

void UpstreamPaths::OnUnreached(const UpstreamId& upstream, TimePoint now) {
  const auto found = paths_.find(upstream);
  if (found != paths_.end() && !found->second.unreached_since) {
    found->second.unreached_since = now;
    ++unreached_;
  }
}

void UpstreamPaths::OnPeerConnected(const UpstreamId& upstream, const DaemonId& peer,
                                    TimePoint now) {
  const auto found = paths_.find(upstream);
  if (found == paths_.end()) {
    return;
  }
  found->second.down_until = {};
  found->second.passed_over.erase(peer);
  ServicePeers& peers = peers_[found->second.service];
  peers.failures = 0;
  peers.paused_until = {};
  peers.unknown_to.erase(peer);
  peers.passed_over.erase(peer);
  std::erase_if(peers.passed_over, [now](const auto& entry) { return now >= entry.second; });
}

void UpstreamPaths::OnPeerRefused(const UpstreamId& upstream, const DaemonId& peer, TimePoint now) {
  if (const auto found = paths_.find(upstream); found != paths_.end()) {
    peers_[found->second.service].passed_over[peer] = now + options_.refusal_time;
  }
}

void UpstreamPaths::OnPeerRefusedUpstream(const UpstreamId& upstream, const DaemonId& peer,
                                          TimePoint now) {
  if (const auto found = paths_.find(upstream); found != paths_.end()) {
    std::map<DaemonId, TimePoint>& passed_over = found->second.passed_over;
    std::erase_if(passed_over, [now](const auto& entry) { return now >= entry.second; });
    passed_over[peer] = now + options_.refusal_time;
  }
}

void UpstreamPaths::OnPeerLacksUpstream(const UpstreamId& upstream, const DaemonId& peer,
                                        TimePoint now) {
  const auto found = paths_.find(upstream);
  if (found == paths_.end()) {
    return;
  }
  OnPeerRefusedUpstream(upstream, peer, now);
  std::map<DaemonId, UpstreamId>& unknown_to = peers_[found->second.service].unknown_to;
  const auto [unknown, added] = unknown_to.try_emplace(peer, upstream);
  if (!added && unknown->second != upstream) {
    unknown_to.erase(unknown);
    OnPeerRefused(upstream, peer, now);
  }
}

void UpstreamPaths::OnPeerFailed(const UpstreamId& upstream, const DaemonId& peer, TimePoint now) {
  const auto found = paths_.find(upstream);
  if (found == paths_.end()) {
    return;
  }
  ServicePeers& peers = peers_[found->second.service];
  TimePoint& passed_over_until = peers.passed_over[peer];
  // Requests that asked the peer at the same time have met the same failure.
  const bool is_known = now < passed_over_until;
  passed_over_until = now + options_.max_peer_pause;
  if (is_known) {
    return;
  }
  ++peers.failures;
  if (const int excess = peers.failures - options_.max_peer_failures; excess >= 0) {
    peers.paused_until =
        now + std::min(options_.peer_pause * (1 << std::min(excess, 8)), options_.max_peer_pause);
  }
}

void UpstreamPaths::OnUpstreamDown(const UpstreamId& upstream, TimePoint now) {
  if (const auto found = paths_.find(upstream); found != paths_.end()) {
    found->second.down_until = now + options_.down_time;
  }
}

bool UpstreamPaths::IsDirect(const UpstreamId& upstream, TimePoint now) const {
  const auto found = paths_.find(upstream);
  if (found == paths_.end() || now < found->second.down_until) {
    return true;
  }
  return !found->second.unreached_since && !IsServiceLost(found->second.service, now);
}

bool UpstreamPaths::IsServiceLost(const ServiceId& service, TimePoint now) const {
  if (unreached_ == 0) {
    return false;
  }
  int upstreams = 0;
  int lost = 0;
  TimePoint reached_at{};
  TimePoint lost_since = TimePoint::max();
  for (const auto& [id, path] : paths_) {
    if (path.service != service || now < path.down_until) {
      continue;
    }
    ++upstreams;
    reached_at = std::max(reached_at, path.reached_at);
    if (path.unreached_since) {
      ++lost;
      lost_since = std::min(lost_since, *path.unreached_since);
    }
  }
  return lost > 0 && lost >= std::min(upstreams, options_.lost_upstreams) &&
         reached_at < lost_since;
}

std::optional<DaemonId> UpstreamPaths::ChoosePeer(const UpstreamId& upstream,
                                                  const std::vector<RelayPeer>& peers,
                                                  TimePoint now, Random& random) const {
  const auto path = paths_.find(upstream);
  if (path == paths_.end() || now < path->second.down_until) {
    return std::nullopt;
  }
  const auto known = peers_.find(path->second.service);
  if (known != peers_.end() && now < known->second.paused_until) {
    return std::nullopt;
  }
  std::vector<const RelayPeer*> own_domain;
  std::vector<const RelayPeer*> other_domains;
  int own_domain_passed_over = 0;
  for (const RelayPeer& peer : peers) {
    const auto refused = path->second.passed_over.find(peer.daemon);
    if (refused != path->second.passed_over.end() && now < refused->second) {
      continue;
    }
    bool passed_over = false;
    if (known != peers_.end()) {
      const auto entry = known->second.passed_over.find(peer.daemon);
      passed_over = entry != known->second.passed_over.end() && now < entry->second;
    }
    if (!passed_over) {
      (peer.same_domain ? own_domain : other_domains).push_back(&peer);
    } else if (peer.same_domain) {
      ++own_domain_passed_over;
    }
  }
  const bool prefers_others =
      own_domain.empty() ||
      (!other_domains.empty() && own_domain_passed_over >= options_.max_domain_refusals);
  const std::vector<const RelayPeer*>& candidates = prefers_others ? other_domains : own_domain;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random.UniformInt(candidates.size())]->daemon;
}

std::optional<UpstreamId> UpstreamPaths::TakeProbe(TimePoint now) {
  if (unreached_ == 0 || now < next_probe_at_) {
    return std::nullopt;
  }
  next_probe_at_ = now + options_.probe_interval;
  std::map<ServiceId, bool> lost;
  auto next = paths_.upper_bound(last_probe_);
  for (std::size_t i = 0; i < paths_.size(); ++i, ++next) {
    if (next == paths_.end()) {
      next = paths_.begin();
    }
    const Path& path = next->second;
    const auto [service, added] = lost.try_emplace(path.service);
    if (added) {
      service->second = IsServiceLost(path.service, now);
    }
    if (path.unreached_since || (now >= path.down_until && service->second)) {
      last_probe_ = next->first;
      return last_probe_;
    }
  }
  return std::nullopt;
}

}  // namespace savoryglade
