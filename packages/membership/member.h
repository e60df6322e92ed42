#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/strong_id.h"

namespace savoryglade::membership {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead };

// Returns "alive", "suspect" or "dead".
constexpr const char* ToString(MemberState state) {
  return state == MemberState::kAlive ? "alive" : state == MemberState::kDead ? "dead" : "suspect";
}

// State of one daemon in this daemon's view. The incarnation is the daemon's start time in ms, or
// higher after it has been declared dead; 0 if nothing has been received about it since it was
// listed.
struct Member {
  DaemonId daemon;
  FailureDomainId failure_domain;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kSuspect;
  // Address on which the daemon listens for peers; empty if unknown.
  std::string address;

  friend bool operator==(const Member&, const Member&) = default;
};

// Daemon of the fleet that the platform's VM list or the settings name.
struct Peer {
  DaemonId daemon;
  FailureDomainId failure_domain;
  std::string address;

  friend bool operator==(const Peer&, const Peer&) = default;
};

// Heartbeat between two daemons, sent each second. The fields are those of the message Heartbeat in
// messages.fbs.
struct Heartbeat {
  DaemonId daemon;
  FailureDomainId failure_domain;
  std::uint64_t incarnation = 0;
  std::uint64_t known_incarnation = 0;
  bool known_dead = false;
  bool answer_wanted = false;
  bool representative = false;
  std::uint32_t view_sequence = 0;
  std::uint32_t view_received = 0;
  std::vector<Member> members;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace savoryglade::membership
