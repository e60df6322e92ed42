#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/strong_id.h"
#include "core/time.h"

namespace savoryglade {

// Storage of persistent state: the daemon's own memory, for trials, or the platform's services.
enum class PlatformKind { kEmbedded, kHttp };

// Daemon of the fleet that is known before the platform's VM list has been read.
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
  // Maximum time to receive a whole request.
  Duration read_timeout = 10s;
  // Maximum time for one write to a slow reader.
  Duration write_timeout = 30s;

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

// Settings of one daemon, read once at start. Addresses are "IP:port"; with port 0 the operating
// system selects a free port.
struct Settings {
  DaemonId daemon = DaemonId("daemon-1");
  FailureDomainId failure_domain = FailureDomainId("local");
  std::string callers_address = "127.0.0.1:8080";
  std::string administration_address = "127.0.0.1:8081";
  int worker_threads = 2;
  PlatformKind platform_kind = PlatformKind::kEmbedded;
  std::string platform_address;
  // File with the initial configuration of the embedded platform.
  std::string configuration_file;
  // File with the key that operators send as bearer token. Required unless administration_address
  // is a loopback address.
  std::string operator_key_file;
  // Address on which the daemon listens for peers; empty for a daemon without peers.
  std::string peers_address;
  std::vector<PeerSettings> peers;
  // File with the key that all daemons of the fleet share. Required unless peers_address is a
  // loopback address.
  std::string fleet_key_file;
  std::string log_level = "info";
  // Memory of the machine in MB, of which the daemon leases a fraction to connections.
  std::int64_t memory_mb = 256;
  CallerLimits caller_limits;

  friend auto operator<=>(const Settings&, const Settings&) = default;
};

// Parses settings. The error lists every invalid field, one per line, with its path.
Result<Settings> ParseSettings(const std::string& text);

}  // namespace savoryglade
