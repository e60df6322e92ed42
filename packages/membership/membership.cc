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
    ++own_view_;
    return;
  }
  const auto found = entries_.find(daemon);
  if (found == entries_.end() || address.empty() || found->second.member.address == address) {
    return;
  }
  found->second.member.address = address;
  ++whole_view_;
  own_view_ += found->second.in_domain ? 1 : 0;
}

void Membership::Update(Entry& entry, std::uint64_t incarnation, MemberState state) {
  if (entry.member.incarnation == incarnation && entry.member.state == state) {
    return;
  }
  // Others need to know who lives and in which incarnation, not who is suspected.
  const bool matters = entry.member.incarnation != incarnation || state == MemberState::kDead ||
                       entry.member.state == MemberState::kDead;
  entry.member.incarnation = incarnation;
  entry.member.state = state;
  representatives_stale_ = true;
  changes_.push_back({entry.member});
  if (matters) {
    ++(entry.in_domain ? own_view_ : whole_view_);
  }
}

void Membership::LearnOwnFate(const Heartbeat& heartbeat) {
  if (heartbeat.known_incarnation > incarnation_) {
    // An earlier process of this daemon ran with a clock that was ahead.
    incarnation_ = heartbeat.known_incarnation + 1;
    ++own_view_;
  } else if (heartbeat.known_dead && heartbeat.known_incarnation == incarnation_) {
    ++incarnation_;
    ++own_view_;
  }
}

bool Membership::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  now_ = std::max(now_, now);
  if (heartbeat.daemon == daemon_) {
    return false;
  }
  LearnOwnFate(heartbeat);
  Entry& entry = FindOrAdd(heartbeat.daemon, heartbeat.failure_domain);
  const bool known_as_dead = entry.member.state == MemberState::kDead;
  if (heartbeat.incarnation < entry.member.incarnation ||
      (heartbeat.incarnation == entry.member.incarnation && known_as_dead)) {
    // Passed over: our answer tells it so, and it comes back in a higher incarnation.
    return true;
  }
  if (heartbeat.incarnation > entry.member.incarnation) {
    entry.view_received = 0;
    entry.view_confirmed = 0;
  }
  entry.heard = now_;
  domain_heard_[entry.member.failure_domain] = now_;
  if (heartbeat.representative) {
    entry.heard_as_representative = now_;
    entry.heard_as_representative_ever = true;
  }
  entry.view_confirmed = heartbeat.view_received;
  Update(entry, heartbeat.incarnation, MemberState::kAlive);
  if (!heartbeat.members.empty()) {
    TakeView(entry, heartbeat);
    entry.view_received = heartbeat.view_sequence;
  }
  return heartbeat.answer_wanted;
}

void Membership::TakeView(const Entry& sender, const Heartbeat& heartbeat) {
  const bool from_own_domain = sender.in_domain;
  // A representative is nearer to the other failure domains than those for whom it speaks.
  if (from_own_domain && (is_representative() || !heartbeat.representative)) {
    return;
  }
  for (const Member& member : heartbeat.members) {
    if (from_own_domain && member.failure_domain == failure_domain_ && member.daemon != daemon_) {
      // Whether it lives, this daemon finds out itself.
      if (member.state != MemberState::kDead) {
        FindOrAdd(member.daemon, member.failure_domain);
        SetAddress(member.daemon, member.address);
      }
      continue;
    }
    const bool may_speak = from_own_domain ? member.failure_domain != failure_domain_
                                           : member.failure_domain == sender.member.failure_domain;
    if (!may_speak || member.daemon == daemon_ || member.daemon == sender.member.daemon) {
      continue;
    }
    Entry& entry = FindOrAdd(member.daemon, member.failure_domain);
    if (member.incarnation >= entry.member.incarnation) {
      SetAddress(member.daemon, member.address);
      Update(entry, member.incarnation, member.state);
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
    entry.in_domain = failure_domain == failure_domain_;
    entry.heard = now_;
    entry.sent = now_ - options_.heartbeat_interval;
    domain_heard_.try_emplace(failure_domain, now_);
    representatives_stale_ = true;
    ++whole_view_;
  }
  return entry;
}

void Membership::CreditPause(TimePoint now) {
  const Duration gap = now - std::exchange(last_tick_, now);
  if (gap <= options_.longest_tick_gap) {
    return;
  }
  for (auto& [id, entry] : entries_) {
    entry.heard = std::min(entry.heard + gap, now);
  }
  for (auto& [id, heard] : domain_heard_) {
    heard = std::min(heard + gap, now);
  }
}

void Membership::TickDomain(Entry& entry) {
  const Duration silence = now_ - entry.heard;
  if (entry.member.state == MemberState::kDead) {
    return;
  }
  if (silence >= options_.dead_after) {
    Update(entry, entry.member.incarnation, MemberState::kDead);
  } else if (silence >= options_.suspect_after) {
    Update(entry, entry.member.incarnation, MemberState::kSuspect);
  }
}

// The silence of a representative is the silence of its whole failure domain until the next daemon
// of that domain has taken over, which takes dead_after as well. Hence all others of a failure
// domain are dead only after twice that time.
void Membership::TickRemote(const FailureDomainId& failure_domain) {
  const Duration silence = now_ - domain_heard_[failure_domain];
  if (silence < options_.dead_after) {
    return;
  }
  const bool all = silence >= 2 * options_.dead_after;
  const std::optional<DaemonId> representative = Representative(failure_domain);
  if (!all && (!representative || now_ - entries_[*representative].heard < options_.dead_after)) {
    return;
  }
  for (auto& [id, entry] : entries_) {
    if (entry.member.failure_domain != failure_domain) {
      continue;
    }
    if (all || id == representative) {
      Update(entry, entry.member.incarnation, MemberState::kDead);
    } else {
      entry.heard = now_;
    }
  }
}

std::vector<MemberChange> Membership::Tick(TimePoint now) {
  CreditPause(now);
  now_ = std::max(now_, now);
  for (auto& [id, entry] : entries_) {
    if (entry.in_domain) {
      TickDomain(entry);
    }
  }
  const bool representative = is_representative();
  for (auto& [failure_domain, heard] : domain_heard_) {
    if (failure_domain == failure_domain_) {
      continue;
    }
    if (representative && !was_representative_) {
      heard = now_;
    }
    if (representative) {
      TickRemote(failure_domain);
    }
  }
  if (representative && !was_representative_) {
    // Another representative's views may have been taken in between.
    ++whole_view_;
  }
  if (!representative && was_representative_) {
    // Views of this failure domain's representative were ignored until now.
    for (auto& [id, entry] : entries_) {
      entry.view_received = entry.in_domain ? 0 : entry.view_received;
    }
  }
  was_representative_ = representative;
  return std::exchange(changes_, {});
}

bool Membership::ShouldAnswer(const Entry& entry) const {
  return entry.heard_as_representative_ever &&
         now_ - entry.heard_as_representative < options_.suspect_after;
}

bool Membership::ShouldConnect(const Entry& entry) const {
  if (entry.in_domain) {
    return true;
  }
  if (!is_representative()) {
    return false;
  }
  const auto heard = domain_heard_.find(entry.member.failure_domain);
  const bool silent =
      heard == domain_heard_.end() || now_ - heard->second >= options_.suspect_after;
  // When a failure domain is silent, anyone there may know more. When all of it is dead, its lowest
  // id is dialled until it comes back.
  return silent || Representative(entry.member.failure_domain) == entry.member.daemon;
}

bool Membership::ShouldConnect(const DaemonId& daemon) const {
  const auto found = entries_.find(daemon);
  return found != entries_.end() && ShouldConnect(found->second);
}

std::uint32_t Membership::ViewFor(const Entry& entry) const {
  if (!entry.in_domain) {
    return own_view_;
  }
  if (!is_representative()) {
    return 0;
  }
  const bool has_view = std::any_of(entries_.begin(), entries_.end(), [&entry](const auto& item) {
    return &item.second != &entry && item.second.member.incarnation != 0;
  });
  return has_view ? whole_view_ : 0;
}

std::vector<DueHeartbeat> Membership::TakeDueHeartbeats(TimePoint now) {
  now_ = std::max(now_, now);
  std::vector<DueHeartbeat> orders;
  for (auto& [id, entry] : entries_) {
    // The shortest interval comes first because it rules out most entries at little cost.
    if (now_ - entry.sent < options_.probe_interval ||
        (!ShouldConnect(entry) && !ShouldAnswer(entry))) {
      continue;
    }
    const bool silent =
        now_ - entry.heard >= options_.suspect_after && entry.member.state != MemberState::kDead;
    const bool unseen = entry.member.state == MemberState::kAlive && ViewFor(entry) != 0 &&
                        entry.view_confirmed != ViewFor(entry);
    // A view that is not confirmed yet is sent again no sooner than a confirmation can come.
    const Duration interval =
        silent || unseen ? options_.probe_interval : options_.heartbeat_interval;
    if (now_ - entry.sent >= interval) {
      entry.sent = now_;
      orders.push_back({.to = id, .answer_wanted = silent || unseen});
    }
  }
  return orders;
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
  heartbeat.view_sequence = ViewFor(receiver);
  heartbeat.view_received = receiver.view_received;
  if (heartbeat.view_sequence == 0 || heartbeat.view_sequence == receiver.view_confirmed) {
    return heartbeat;
  }
  for (const Member& member : Members()) {
    const bool wanted = receiver.in_domain ? member.daemon != to && member.daemon != daemon_
                                           : member.failure_domain == failure_domain_;
    if (wanted && member.incarnation != 0) {
      heartbeat.members.push_back(member);
      // A suspicion and its end don't renew the view, so it must not be part of it.
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
                   return item.second.in_domain && item.second.member.state != MemberState::kDead;
                 }));
}

}  // namespace savoryglade::membership
