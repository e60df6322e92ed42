#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Where the daemon keeps what must last: in its own memory for a trial, or in the platform's
// services.
enum class PlatformKind { kEmbedded, kHttp };

// Another daemon of the fleet that is known before the platform's VM list has been read.
struct PeerSettings {
  DaemonId daemon;
  FailureDomainId failure_domain;
  std::string address;

  friend auto operator<=>(const PeerSettings&, const PeerSettings&) = default;
};

// Limits of the listener for callers. Sizes are in bytes.
struct CallerLimits {
  std::int64_t header_size = 16 * 1024;
  std::int64_t body_size = 4 * 1024 * 1024;
  std::int64_t connections = 10'000;
  // Longest time for a whole request to arrive.
  Duration read_timeout = 10s;
  // Longest time for one write to a slow reader.
  Duration write_timeout = 30s;

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

// Settings of one daemon, read once at start. Addresses are "IP:port"; port 0 lets the system
// choose.
struct Settings {
  DaemonId daemon = DaemonId("daemon-1");
  FailureDomainId failure_domain = FailureDomainId("local");
  std::string callers_address = "127.0.0.1:8080";
  std::string administration_address = "127.0.0.1:8081";
  int worker_threads = 2;
  PlatformKind platform_kind = PlatformKind::kEmbedded;
  std::string platform_address;
  // First configuration of the embedded platform.
  std::string configuration_file;
  // File with the key that operators send as bearer token. Required beyond loopback.
  std::string operator_key_file;
  // Where the daemon listens for its peers; empty for a daemon without peers.
  std::string peers_address;
  std::vector<PeerSettings> peers;
  // File with the key that all daemons of the fleet share. Required beyond loopback.
  std::string fleet_key_file;
  std::string log_level = "info";
  CallerLimits caller_limits;

  friend auto operator<=>(const Settings&, const Settings&) = default;
};

// Parses settings. The error lists every fault, one a line, with the path of the field.
Result<Settings> ParseSettings(const std::string& text);

}  // namespace savoryglade
