#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "membership/member.h"

namespace savoryglade::membership {

struct MembershipOptions {
  Duration heartbeat_interval = 1s;
  Duration suspect_after = 3s;
  // 100 ms below the required 5 s, to allow for the latency of the last heartbeat and of the tick.
  Duration dead_after = 4900ms;
  // Interval at which a suspect is probed for a reply, so that message loss alone doesn't lead to a
  // dead state: with 2% loss, all probes before dead_after are lost about once in 10^9 suspicions.
  Duration probe_interval = 250ms;
  // A longer gap between two ticks means that this daemon was paused, so missing heartbeats during
  // the gap don't indicate a failure of its peers.
  Duration max_tick_gap = 1s;
};

// Change of a member's state or incarnation. Holds the member after the change.
struct MemberChange {
  Member member;

  friend bool operator==(const MemberChange&, const MemberChange&) = default;
};

// Heartbeat that is due, and whether the receiver must reply to it.
struct DueHeartbeat {
  DaemonId to;
  bool answer_wanted = false;

  friend bool operator==(const DueHeartbeat&, const DueHeartbeat&) = default;
};

// Failure detector of one daemon. Within a failure domain, every daemon exchanges heartbeats with
// every other. Between failure domains, only the representatives (lowest live ids) do; each sends
// the state of its own domain to the other representatives, and the state of all members to the
// daemons of its own domain. The latter includes the members of that domain, for discovery, because
// the platform's VM list lags and may be unreachable. Not thread-safe.
class Membership {
 public:
  // The incarnation must be the daemon's start time in ms.
  Membership(DaemonId daemon, FailureDomainId failure_domain, std::uint64_t incarnation,
             MembershipOptions options, TimePoint now);

  // Replaces the list of known daemons. A daemon that is no longer listed is removed once it is
  // dead.
  void SetPeers(const std::vector<Peer>& peers, TimePoint now);

  // Sets the address on which a daemon, which may be this one, listens for peers.
  void SetAddress(const DaemonId& daemon, const std::string& address);

  // Processes a received heartbeat. Returns true if it must be replied to. The next call of Tick
  // returns the resulting changes.
  bool OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  // Advances the time and returns the changes since the last call. Must be called at least every
  // 100 ms.
  std::vector<MemberChange> Tick(TimePoint now);

  // Returns the heartbeats that are due and records them as sent.
  std::vector<DueHeartbeat> TakeDueHeartbeats(TimePoint now);

  // Builds the heartbeat for a daemon.
  Heartbeat MakeHeartbeat(const DaemonId& to, bool answer_wanted) const;

  // Returns true if this daemon should keep a connection to the other one.
  bool ShouldConnect(const DaemonId& daemon) const;

  // Returns the lowest id in a failure domain that is not dead, or nothing if there is none. This
  // daemon counts as alive.
  std::optional<DaemonId> Representative(const FailureDomainId& failure_domain) const;
  bool is_representative() const;

  // Returns all known members, including this daemon, ordered by id.
  std::vector<Member> Members() const;
  // Returns the member with the id, or nothing if it is unknown or this daemon.
  std::optional<Member> Find(const DaemonId& daemon) const;
  // Returns the number of members of this failure domain that are not dead, including this daemon.
  std::size_t CountLiveInDomain() const;

  const DaemonId& daemon() const { return daemon_; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct Entry {
    Member member;
    bool in_own_domain = false;
    // Whether the last list of known daemons contains it.
    bool listed = false;
    // Time of the last heartbeat, or of the addition if there was none.
    TimePoint last_heartbeat;
    TimePoint last_sent;
    TimePoint last_heartbeat_as_representative;
    bool has_been_representative = false;
    // Sequence number of the last view received from the member.
    std::uint32_t view_received = 0;
    // Sequence number of the last view that the member has confirmed.
    std::uint32_t view_confirmed = 0;
  };

  Entry& FindOrAdd(const DaemonId& daemon, const FailureDomainId& failure_domain);
  bool ShouldConnect(const Entry& entry) const;
  bool ShouldReply(const Entry& entry) const;
  std::uint32_t ViewSequenceFor(const Entry& entry) const;
  void UpdateMember(Entry& entry, std::uint64_t incarnation, MemberState state);
  void ApplyView(const Entry& sender, const Heartbeat& heartbeat);
  void UpdateOwnIncarnation(const Heartbeat& heartbeat);
  void UpdateDomainMember(Entry& entry);
  void UpdateRemoteDomain(const FailureDomainId& failure_domain);
  void CompensateForPause(TimePoint now);

  DaemonId daemon_;
  FailureDomainId failure_domain_;
  std::uint64_t incarnation_;
  std::string address_;
  MembershipOptions options_;
  TimePoint now_;
  TimePoint last_tick_;
  bool was_representative_ = false;
  std::map<DaemonId, Entry> entries_;
  // Time of the last heartbeat from any daemon of a failure domain.
  std::map<FailureDomainId, TimePoint> last_domain_heartbeats_;
  // Sequence numbers of the view sent to other failure domains (members of this domain) and of the
  // view sent within this one (all members).
  std::uint32_t domain_view_sequence_ = 1;
  std::uint32_t fleet_view_sequence_ = 1;
  std::vector<MemberChange> changes_;
  // Cached representative of each failure domain, recomputed after a member has changed.
  mutable bool representatives_stale_ = true;
  mutable bool is_representative_ = false;
  mutable std::map<FailureDomainId, DaemonId> representatives_;
};

}  // namespace savoryglade::membership
