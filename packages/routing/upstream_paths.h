#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

struct UpstreamPathOptions {
  // Upstreams of a service that can't be reached, with none reached since, before the others count
  // as out of reach too.
  int lost_upstreams = 2;
  // Time for which an upstream that neither this daemon nor a peer reaches counts as down. Its path
  // is then not the fault, and no peer is asked.
  Duration down_time = 1s;
  // Time for which a peer that refused is not asked again.
  Duration refusal_time = 2s;
  // Peers of the own failure domain that refuse at the same time after which those of other domains
  // are asked first, because the whole domain may be partitioned.
  int max_domain_refusals = 2;
  // Peers in a row that did not respond, for one service, after which no peer is asked for a pause.
  // It doubles with each further failure, up to the maximum.
  int max_peer_failures = 3;
  Duration peer_pause = 500ms;
  Duration max_peer_pause = 4s;
  // Time between two probes of upstreams that are out of reach, while no probe succeeds.
  Duration probe_interval = 250ms;
};

// Peer that may connect to an upstream for this daemon.
struct RelayPeer {
  DaemonId daemon;
  bool same_domain = false;
};

// Decides for each attempt whether the daemon connects to the upstream itself or through a peer. A
// daemon may be partitioned from some or all upstreams, or from those of one service, while its
// callers and peers still reach it and its peers reach the upstreams. Connections that were open
// before may still work, so only new ones show whether an upstream is within reach. Not
// thread-safe.
class UpstreamPaths {
 public:
  explicit UpstreamPaths(UpstreamPathOptions options) : options_(options) {}

  // Adds an upstream or replaces it by a new process, which counts as within reach.
  void Add(const UpstreamId& upstream, const ServiceId& service);
  void Remove(const UpstreamId& upstream);

  // Record whether the daemon itself could connect to an upstream, or whether what it sent on an
  // open connection was acknowledged.
  void OnReached(const UpstreamId& upstream, TimePoint now);
  void OnUnreached(const UpstreamId& upstream, TimePoint now);

  // Record whether a peer connected to an upstream for this daemon. A peer that refuses has no path
  // either, or drains; one that failed did not respond. A peer that refuses one upstream may relay
  // to others. A peer that reports that the upstream does not respond to it has neither refused nor
  // failed.
  void OnPeerConnected(const UpstreamId& upstream, const DaemonId& peer, TimePoint now);
  void OnPeerRefused(const UpstreamId& upstream, const DaemonId& peer, TimePoint now);
  void OnPeerRefusedUpstream(const UpstreamId& upstream, const DaemonId& peer, TimePoint now);
  // Records that a peer does not know an upstream. A peer that knows none of two in a row relays
  // nothing and counts as one that refuses.
  void OnPeerLacksUpstream(const UpstreamId& upstream, const DaemonId& peer, TimePoint now);
  void OnPeerFailed(const UpstreamId& upstream, const DaemonId& peer, TimePoint now);
  void OnUpstreamDown(const UpstreamId& upstream, TimePoint now);

  // Returns true if the daemon should connect to the upstream itself.
  bool IsDirect(const UpstreamId& upstream, TimePoint now) const;
  // Returns true if the daemon reaches no upstream of the service itself.
  bool IsServiceLost(const ServiceId& service, TimePoint now) const;

  // Returns the peer through which to connect to the upstream, or nothing. Prefers the peers of the
  // own failure domain and spreads the connections over them.
  std::optional<DaemonId> ChoosePeer(const UpstreamId& upstream,
                                     const std::vector<RelayPeer>& peers, TimePoint now,
                                     Random& random) const;

  // Returns an upstream out of reach to which to connect as a probe, if one is due. The probes go
  // through all such upstreams in turn.
  std::optional<UpstreamId> TakeProbe(TimePoint now);

 private:
  struct Path {
    ServiceId service;
    TimePoint reached_at{};
    // Time of the first failure since the upstream was last reached.
    std::optional<TimePoint> unreached_since;
    TimePoint down_until{};
    // Peers that refused this upstream, with the time until which they are passed over for it.
    std::map<DaemonId, TimePoint> passed_over;
  };
  struct ServicePeers {
    int failures = 0;
    TimePoint paused_until{};
    // Peers that refused or failed, with the time until which they are passed over.
    std::map<DaemonId, TimePoint> passed_over;
    // Last upstream that each peer did not know, unless the peer has connected since.
    std::map<DaemonId, UpstreamId> unknown_to;
  };

  UpstreamPathOptions options_;
  std::map<UpstreamId, Path> paths_;
  // Number of paths with unreached_since.
  int unreached_ = 0;
  std::map<ServiceId, ServicePeers> peers_;
  UpstreamId last_probe_;
  TimePoint next_probe_at_{};
};

}  // namespace savoryglade
