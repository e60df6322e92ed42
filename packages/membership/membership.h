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
  // 100 ms below the 5 s of the requirement, for the latency of the last heartbeat and the tick.
  Duration dead_after = 4900ms;
  // A suspect is asked for an answer this often. Lost heartbeats alone then don't add up to a
  // death: with 2% loss all questions of this time are lost about once in 10^9 suspicions.
  Duration probe_interval = 250ms;
  // A longer gap between two ticks means that this daemon was paused, so its peers' silence in that
  // time says nothing about them.
  Duration longest_tick_gap = 1s;
};

// MemberChange of one member's state or incarnation.
struct MemberChange {
  Member member;

  friend bool operator==(const MemberChange&, const MemberChange&) = default;
};

// Heartbeat to send now.
struct DueHeartbeat {
  DaemonId to;
  bool answer_wanted = false;

  friend bool operator==(const DueHeartbeat&, const DueHeartbeat&) = default;
};

// Failure detector of one daemon. Inside its failure domain it listens to every daemon. Between
// failure domains only the representatives (lowest live ids) talk, and each tells the other, and
// the daemons of its own failure domain, what it sees. In its own failure domain it also says who
// is there, because the platform's list lags and may be out of reach. Not safe to use from several
// threads.
class Membership {
 public:
  // The incarnation must be the start time in ms.
  Membership(DaemonId daemon, FailureDomainId failure_domain, std::uint64_t incarnation,
             MembershipOptions options, TimePoint now);

  // Replaces the list of known daemons. A daemon that is no longer listed is forgotten once it is
  // dead.
  void SetPeers(const std::vector<Peer>& peers, TimePoint now);

  // Sets where a daemon listens for peers, this daemon included.
  void SetAddress(const DaemonId& daemon, const std::string& address);

  // Takes a heartbeat in. Returns true if it asks for an answer. Changes are returned by the next
  // Tick.
  bool OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  // Advances to an instant and returns the changes since the last call. To be called at least every
  // 100 ms.
  std::vector<MemberChange> Tick(TimePoint now);

  // Returns the heartbeats that are due and counts them as sent.
  std::vector<DueHeartbeat> TakeDueHeartbeats(TimePoint now);

  // Returns the content of a heartbeat.
  Heartbeat MakeHeartbeat(const DaemonId& to, bool answer_wanted) const;

  // True if this daemon should have a link to the other one.
  bool ShouldConnect(const DaemonId& daemon) const;

  // Lowest id of a failure domain that is not dead; this daemon counts as alive.
  std::optional<DaemonId> Representative(const FailureDomainId& failure_domain) const;
  bool is_representative() const;

  // All known members, this daemon included, in order of their ids.
  std::vector<Member> Members() const;
  // Member of that id, or nothing. This daemon is not among them.
  std::optional<Member> Find(const DaemonId& daemon) const;
  // Members of this failure domain that are not dead, this daemon included.
  std::size_t CountLiveInDomain() const;

  const DaemonId& daemon() const { return daemon_; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct Entry {
    Member member;
    bool in_domain = false;
    bool listed = false;
    // Last heartbeat, or the time at which the daemon was listed.
    TimePoint heard;
    TimePoint sent;
    TimePoint heard_as_representative;
    bool heard_as_representative_ever = false;
    std::uint32_t view_received = 0;
    std::uint32_t view_confirmed = 0;
  };

  Entry& FindOrAdd(const DaemonId& daemon, const FailureDomainId& failure_domain);
  bool ShouldConnect(const Entry& entry) const;
  bool ShouldAnswer(const Entry& entry) const;
  std::uint32_t ViewFor(const Entry& entry) const;
  void Update(Entry& entry, std::uint64_t incarnation, MemberState state);
  void TakeView(const Entry& sender, const Heartbeat& heartbeat);
  void LearnOwnFate(const Heartbeat& heartbeat);
  void TickDomain(Entry& entry);
  void TickRemote(const FailureDomainId& failure_domain);
  void CreditPause(TimePoint now);

  DaemonId daemon_;
  FailureDomainId failure_domain_;
  std::uint64_t incarnation_;
  std::string address_;
  MembershipOptions options_;
  TimePoint now_;
  TimePoint last_tick_;
  bool was_representative_ = false;
  std::map<DaemonId, Entry> entries_;
  // Last heartbeat of any daemon of another failure domain.
  std::map<FailureDomainId, TimePoint> domain_heard_;
  // Numbers of the views for other failure domains (own members) and for this one (all members).
  std::uint32_t own_view_ = 1;
  std::uint32_t whole_view_ = 1;
  std::vector<MemberChange> changes_;
  // Representative of each failure domain, found again when a member has changed.
  mutable bool representatives_stale_ = true;
  mutable bool is_representative_ = false;
  mutable std::map<FailureDomainId, DaemonId> representatives_;
};

}  // namespace savoryglade::membership
