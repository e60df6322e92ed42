#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace savoryglade::membership {

Membership::Membership(DaemonId daemon, FailureDomainId failure_domain, std::uint64_t incarnation,
                       MembershipOptions options, TimePoint now)
    : daemon_(std::move(daemon)),
      failure_domain_(std::move(failure_domain)),
      incarnation_(incarnation),
      options_(options),
      now_(now),
      last_tick_(now) {}

void Membership::SetPeers(const std::vector<Peer>& peers, TimePoint now) {
  now_ = std::max(now_, now);
  for (auto& [id, entry] : entries_) {
    entry.listed = false;
  }
  for (const Peer& peer : peers) {
    if (peer.daemon == daemon_) {
      continue;
    }
    FindOrAdd(peer.daemon, peer.failure_domain).listed = true;
    SetAddress(peer.daemon, peer.address);
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool gone = !it->second.listed && it->second.member.state == MemberState::kDead;
    it = gone ? entries_.erase(it) : std::next(it);
  }
  representatives_stale_ = true;
}

void Membership::SetAddress(const DaemonId& daemon, const std::string& address) {
  if (daemon == daemon_) {
    address_ = address;
    ++domain_view_sequence_;
    return;
  }
  const auto found = entries_.find(daemon);
  if (found == entries_.end() || address.empty() || found->second.member.address == address) {
    return;
  }
  found->second.member.address = address;
  ++fleet_view_sequence_;
  domain_view_sequence_ += found->second.in_own_domain ? 1 : 0;
}

void Membership::UpdateMember(Entry& entry, std::uint64_t incarnation, MemberState state) {
  if (entry.member.incarnation == incarnation && entry.member.state == state) {
    return;
  }
  // Views carry live members and their incarnations, but no suspicions.
  const bool affects_view = entry.member.incarnation != incarnation ||
                            state == MemberState::kDead || entry.member.state == MemberState::kDead;
  entry.member.incarnation = incarnation;
  entry.member.state = state;
  representatives_stale_ = true;
  changes_.push_back({entry.member});
  if (affects_view) {
    ++(entry.in_own_domain ? domain_view_sequence_ : fleet_view_sequence_);
  }
}

void Membership::UpdateOwnIncarnation(const Heartbeat& heartbeat) {
  if (heartbeat.known_incarnation > incarnation_) {
    // The clock was ahead when an earlier process of this daemon started.
    incarnation_ = heartbeat.known_incarnation + 1;
    ++domain_view_sequence_;
  } else if (heartbeat.known_dead && heartbeat.known_incarnation == incarnation_) {
    ++incarnation_;
    ++domain_view_sequence_;
  }
}

bool Membership::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  now_ = std::max(now_, now);
  if (heartbeat.daemon == daemon_) {
    return false;
  }
  UpdateOwnIncarnation(heartbeat);
  Entry& entry = FindOrAdd(heartbeat.daemon, heartbeat.failure_domain);
  const bool known_as_dead = entry.member.state == MemberState::kDead;
  if (heartbeat.incarnation < entry.member.incarnation ||
      (heartbeat.incarnation == entry.member.incarnation && known_as_dead)) {
    // The heartbeat is ignored. The reply carries the known incarnation, and the daemon rejoins
    // with a higher one.
    return true;
  }
  if (heartbeat.incarnation > entry.member.incarnation) {
    entry.view_received = 0;
    entry.view_confirmed = 0;
  }
  entry.last_heartbeat = now_;
  last_domain_heartbeats_[entry.member.failure_domain] = now_;
  if (heartbeat.representative) {
    entry.last_heartbeat_as_representative = now_;
    entry.has_been_representative = true;
  }
  entry.view_confirmed = heartbeat.view_received;
  UpdateMember(entry, heartbeat.incarnation, MemberState::kAlive);
  if (!heartbeat.members.empty()) {
    ApplyView(entry, heartbeat);
    entry.view_received = heartbeat.view_sequence;
  }
  return heartbeat.answer_wanted;
}

void Membership::ApplyView(const Entry& sender, const Heartbeat& heartbeat) {
  const bool from_own_domain = sender.in_own_domain;
  // A representative receives the state of other failure domains first-hand, so it ignores views
  // from its own domain. Any other daemon accepts those only from a representative.
  if (from_own_domain && (is_representative() || !heartbeat.representative)) {
    return;
  }
  for (const Member& member : heartbeat.members) {
    if (from_own_domain && member.failure_domain == failure_domain_ && member.daemon != daemon_) {
      // The view is used for discovery only: this daemon detects failures in its own domain itself.
      if (member.state != MemberState::kDead) {
        FindOrAdd(member.daemon, member.failure_domain);
        SetAddress(member.daemon, member.address);
      }
      continue;
    }
    const bool is_authoritative = from_own_domain
                                      ? member.failure_domain != failure_domain_
                                      : member.failure_domain == sender.member.failure_domain;
    if (!is_authoritative || member.daemon == daemon_ || member.daemon == sender.member.daemon) {
      continue;
    }
    Entry& entry = FindOrAdd(member.daemon, member.failure_domain);
    if (member.incarnation >= entry.member.incarnation) {
      SetAddress(member.daemon, member.address);
      UpdateMember(entry, member.incarnation, member.state);
    }
  }
}

std::optional<DaemonId> Membership::Representative(const FailureDomainId& failure_domain) const {
  if (representatives_stale_) {
    representatives_stale_ = false;
    representatives_.clear();
    for (const auto& [id, entry] : entries_) {
      if (entry.member.state != MemberState::kDead) {
        representatives_.try_emplace(entry.member.failure_domain, id);
      }
    }
    const auto own = representatives_.try_emplace(failure_domain_, daemon_).first;
    own->second = std::min(own->second, daemon_);
    is_representative_ = own->second == daemon_;
  }
  const auto found = representatives_.find(failure_domain);
  return found == representatives_.end() ? std::nullopt : std::optional(found->second);
}

bool Membership::is_representative() const {
  if (representatives_stale_) {
    Representative(failure_domain_);
  }
  return is_representative_;
}

Membership::Entry& Membership::FindOrAdd(const DaemonId& daemon,
                                         const FailureDomainId& failure_domain) {
  const auto [found, inserted] = entries_.try_emplace(daemon);
  Entry& entry = found->second;
  if (inserted) {
    entry.member = {.daemon = daemon, .failure_domain = failure_domain};
    entry.in_own_domain = failure_domain == failure_domain_;
    entry.last_heartbeat = now_;
    entry.last_sent = now_ - options_.heartbeat_interval;
    last_domain_heartbeats_.try_emplace(failure_domain, now_);
    representatives_stale_ = true;
    ++fleet_view_sequence_;
  }
  return entry;
}

void Membership::CompensateForPause(TimePoint now) {
  const Duration gap = now - std::exchange(last_tick_, now);
  if (gap <= options_.max_tick_gap) {
    return;
  }
  for (auto& [id, entry] : entries_) {
    entry.last_heartbeat = std::min(entry.last_heartbeat + gap, now);
  }
  for (auto& [id, last_heartbeat] : last_domain_heartbeats_) {
    last_heartbeat = std::min(last_heartbeat + gap, now);
  }
}

void Membership::UpdateDomainMember(Entry& entry) {
  const Duration silence = now_ - entry.last_heartbeat;
  if (entry.member.state == MemberState::kDead) {
    return;
  }
  if (silence >= options_.dead_after) {
    UpdateMember(entry, entry.member.incarnation, MemberState::kDead);
  } else if (silence >= options_.suspect_after) {
    UpdateMember(entry, entry.member.incarnation, MemberState::kSuspect);
  }
}

// After a representative fails, no heartbeat arrives from its failure domain until the next daemon
// takes over, which takes dead_after as well. The other daemons of the domain are therefore dead
// only after twice that time.
void Membership::UpdateRemoteDomain(const FailureDomainId& failure_domain) {
  const Duration silence = now_ - last_domain_heartbeats_[failure_domain];
  if (silence < options_.dead_after) {
    return;
  }
  const bool domain_expired = silence >= 2 * options_.dead_after;
  const std::optional<DaemonId> representative = Representative(failure_domain);
  if (!domain_expired &&
      (!representative || now_ - entries_[*representative].last_heartbeat < options_.dead_after)) {
    return;
  }
  for (auto& [id, entry] : entries_) {
    if (entry.member.failure_domain != failure_domain) {
      continue;
    }
    if (domain_expired || id == representative) {
      UpdateMember(entry, entry.member.incarnation, MemberState::kDead);
    } else {
      entry.last_heartbeat = now_;
    }
  }
}

std::vector<MemberChange> Membership::Tick(TimePoint now) {
  CompensateForPause(now);
  now_ = std::max(now_, now);
  for (auto& [id, entry] : entries_) {
    if (entry.in_own_domain) {
      UpdateDomainMember(entry);
    }
  }
  const bool representative = is_representative();
  for (auto& [failure_domain, last_heartbeat] : last_domain_heartbeats_) {
    if (failure_domain == failure_domain_) {
      continue;
    }
    if (representative && !was_representative_) {
      last_heartbeat = now_;
    }
    if (representative) {
      UpdateRemoteDomain(failure_domain);
    }
  }
  if (representative && !was_representative_) {
    // Views from another representative may have been applied in the meantime.
    ++fleet_view_sequence_;
  }
  if (!representative && was_representative_) {
    // Views from this failure domain's representative were ignored until now, so they are requested
    // again.
    for (auto& [id, entry] : entries_) {
      entry.view_received = entry.in_own_domain ? 0 : entry.view_received;
    }
  }
  was_representative_ = representative;
  return std::exchange(changes_, {});
}

bool Membership::ShouldReply(const Entry& entry) const {
  return entry.has_been_representative &&
         now_ - entry.last_heartbeat_as_representative < options_.suspect_after;
}

bool Membership::ShouldConnect(const Entry& entry) const {
  if (entry.in_own_domain) {
    return true;
  }
  if (!is_representative()) {
    return false;
  }
  const auto last_heartbeat = last_domain_heartbeats_.find(entry.member.failure_domain);
  const bool silent = last_heartbeat == last_domain_heartbeats_.end() ||
                      now_ - last_heartbeat->second >= options_.suspect_after;
  // Without heartbeats from a failure domain, all of its daemons are contacted, since any of them
  // may still be reachable. If all are dead, the lowest id is dialled until it responds.
  return silent || Representative(entry.member.failure_domain) == entry.member.daemon;
}

bool Membership::ShouldConnect(const DaemonId& daemon) const {
  const auto found = entries_.find(daemon);
  return found != entries_.end() && ShouldConnect(found->second);
}

std::uint32_t Membership::ViewSequenceFor(const Entry& entry) const {
  if (!entry.in_own_domain) {
    return domain_view_sequence_;
  }
  if (!is_representative()) {
    return 0;
  }
  const bool has_view = std::any_of(entries_.begin(), entries_.end(), [&entry](const auto& item) {
    return &item.second != &entry && item.second.member.incarnation != 0;
  });
  return has_view ? fleet_view_sequence_ : 0;
}

std::vector<DueHeartbeat> Membership::TakeDueHeartbeats(TimePoint now) {
  now_ = std::max(now_, now);
  std::vector<DueHeartbeat> due;
  for (auto& [id, entry] : entries_) {
    // The shortest interval is checked first: it excludes most entries at little cost.
    if (now_ - entry.last_sent < options_.probe_interval ||
        (!ShouldConnect(entry) && !ShouldReply(entry))) {
      continue;
    }
    const bool silent = now_ - entry.last_heartbeat >= options_.suspect_after &&
                        entry.member.state != MemberState::kDead;
    const bool view_unconfirmed = entry.member.state == MemberState::kAlive &&
                                  ViewSequenceFor(entry) != 0 &&
                                  entry.view_confirmed != ViewSequenceFor(entry);
    // An unconfirmed view is resent no earlier than its confirmation can arrive.
    const Duration interval =
        silent || view_unconfirmed ? options_.probe_interval : options_.heartbeat_interval;
    if (now_ - entry.last_sent >= interval) {
      entry.last_sent = now_;
      due.push_back({.to = id, .answer_wanted = silent || view_unconfirmed});
    }
  }
  return due;
}

Heartbeat Membership::MakeHeartbeat(const DaemonId& to, bool answer_wanted) const {
  Heartbeat heartbeat = {.daemon = daemon_,
                         .failure_domain = failure_domain_,
                         .incarnation = incarnation_,
                         .answer_wanted = answer_wanted,
                         .representative = is_representative()};
  const auto found = entries_.find(to);
  if (found == entries_.end()) {
    return heartbeat;
  }
  const Entry& receiver = found->second;
  heartbeat.known_incarnation = receiver.member.incarnation;
  heartbeat.known_dead = receiver.member.state == MemberState::kDead;
  heartbeat.view_sequence = ViewSequenceFor(receiver);
  heartbeat.view_received = receiver.view_received;
  if (heartbeat.view_sequence == 0 || heartbeat.view_sequence == receiver.view_confirmed) {
    return heartbeat;
  }
  for (const Member& member : Members()) {
    const bool included = receiver.in_own_domain ? member.daemon != to && member.daemon != daemon_
                                                 : member.failure_domain == failure_domain_;
    if (included && member.incarnation != 0) {
      heartbeat.members.push_back(member);
      // A suspicion and its end don't change the view's sequence number, so a view never contains a
      // suspicion.
      if (member.state == MemberState::kSuspect) {
        heartbeat.members.back().state = MemberState::kAlive;
      }
    }
  }
  return heartbeat;
}

std::vector<Member> Membership::Members() const {
  std::vector<Member> members = {{.daemon = daemon_,
                                  .failure_domain = failure_domain_,
                                  .incarnation = incarnation_,
                                  .state = MemberState::kAlive,
                                  .address = address_}};
  for (const auto& [id, entry] : entries_) {
    members.push_back(entry.member);
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.daemon < b.daemon; });
  return members;
}

std::optional<Member> Membership::Find(const DaemonId& daemon) const {
  const auto found = entries_.find(daemon);
  return found == entries_.end() ? std::nullopt : std::optional(found->second.member);
}

std::size_t Membership::CountLiveInDomain() const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(entries_.begin(), entries_.end(), [this](const auto& item) {
                   return item.second.in_own_domain &&
                          item.second.member.state != MemberState::kDead;
                 }));
}

}  // namespace savoryglade::membership
