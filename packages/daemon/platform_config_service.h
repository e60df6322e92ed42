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

// Keeps the active configuration up to date with the platform's table and the peers, and writes
// operators' changes to the table. Its state is used on one context only; the public coroutines may
// be awaited on any.
class PlatformConfigService {
 public:
  PlatformConfigService(boost::asio::io_context& context, const Settings& settings,
                        MetricRegistry& metrics, ConfigHolder& holder);

  // Starts polling and the links to peers. The initial configuration is written to the embedded
  // platform and ignored with a platform over HTTP. Returns the endpoint for peers.
  Result<Endpoint> Start(std::optional<Configuration> initial_configuration,
                         const std::string& fleet_key);

  // Returns true once the daemon has the highest version known to the table and the peers. Safe to
  // call from all threads.
  bool ready() const { return network_ && network_->ready(); }

  // Writes a configuration to the table if the version there is the expected one.
  boost::asio::awaitable<ConfigChangeOutcome> ApplyChange(Configuration requested,
                                                          std::uint64_t expected_version,
                                                          std::string change_id);

  // Returns the members, their configuration versions and the staleness as JSON.
  boost::asio::awaitable<std::string> GetStatusJson();

  // Waits until this version is active and this many daemons are alive, this one included. Returns
  // false after the timeout.
  boost::asio::awaitable<bool> WaitForVersionAndMembers(std::uint64_t version,
                                                        std::size_t live_members, Duration timeout);

  // Returns the links to the other daemons. Valid after Start; must be used on the context only.
  PeerNetwork& network() { return *network_; }

  // Returns the platform's table. Valid after Start.
  provider::Table& table() { return *table_; }

  // Returns a unique id for a change.
  std::string MakeChangeId();

 private:
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> ListVmsLoop();
  boost::asio::awaitable<void> PollTable();
  boost::asio::awaitable<ConfigChangeOutcome> RunChange(ConfigChange change);
  std::string FormatStatus();
  std::size_t CountLiveMembers();

  boost::asio::io_context& context_;
  Settings settings_;
  MetricRegistry& metrics_;
  ConfigHolder& holder_;
  std::unique_ptr<provider::MemoryPlatform> embedded_platform_;
  std::unique_ptr<PlatformClient> platform_client_;
  provider::Table* table_ = nullptr;
  provider::VmList* vm_list_ = nullptr;
  std::unique_ptr<PeerNetwork> network_;
};

}  // namespace savoryglade
