#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "config/configuration.h"
#include "config/settings.h"
#include "daemon/config_holder.h"
#include "daemon/peer_network.h"
#include "daemon/platform_client.h"
#include "daemon/platform_config_change.h"
#include "metrics/registry.h"
#include "net/endpoint.h"
#include "provider/memory_platform.h"

namespace savoryglade {

// Keeps the configuration in force up to date with the platform's table and the peers, and carries
// operators' changes into the table. Its state lives on one context; the public coroutines may be
// awaited on any.
class PlatformConfigService {
 public:
  PlatformConfigService(boost::asio::io_context& context, const Settings& settings,
                        MetricRegistry& metrics, ConfigHolder& holder);

  // Starts polling and the links to peers. The first configuration is that of the embedded
  // platform; a platform over HTTP has its own. Returns the endpoint for peers.
  Result<Endpoint> Start(std::optional<Configuration> first, const std::string& fleet_key);

  // True once the daemon has the highest version of table and peers. Safe to call from all threads.
  bool ready() const { return network_ && network_->ready(); }

  // Puts a configuration into the table if the version there is the expected one.
  boost::asio::awaitable<ConfigChangeOutcome> Change(Configuration wanted,
                                                     std::uint64_t expected_version,
                                                     std::string change_id);

  // Returns members, versions in force and staleness as JSON.
  boost::asio::awaitable<std::string> Status();

  // Waits until this version is in force and this many daemons are alive, this one included.
  // Returns false after the timeout.
  boost::asio::awaitable<bool> WaitFor(std::uint64_t version, std::size_t live_members,
                                       Duration timeout);

  // The links to the other daemons; valid after Start, to be used on the context only.
  PeerNetwork& network() { return *network_; }

  // The table in use; valid after Start.
  provider::Table& table() { return *table_; }

  // Returns an id for a change that no other change has.
  std::string MakeChangeId();

 private:
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> ListLoop();
  boost::asio::awaitable<void> Poll();
  boost::asio::awaitable<ConfigChangeOutcome> RunChange(ConfigChange change);
  std::string PrintStatus();
  std::size_t LiveMembers();

  boost::asio::io_context& context_;
  Settings settings_;
  MetricRegistry& metrics_;
  ConfigHolder& holder_;
  std::unique_ptr<provider::MemoryPlatform> embedded_;
  std::unique_ptr<PlatformClient> client_;
  provider::Table* table_ = nullptr;
  provider::VmList* vm_list_ = nullptr;
  std::unique_ptr<PeerNetwork> network_;
};

}  // namespace savoryglade
