#include "daemon/platform_config_service.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "logging/logger.h"
#include "net/log_exception.h"
#include "net/sleep.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using membership::ConfigSource;
using membership::Member;
using membership::MemberState;

// Intervals at which the version row is polled by the representative of a failure domain, and by
// all other daemons.
constexpr Duration kRepresentativePollInterval = 1s;
constexpr Duration kPollInterval = 10s;
// The VM list of 350 daemons takes about 40 KB, so only representatives read the whole list, and at
// a longer interval.
constexpr Duration kFleetListInterval = 30s;
constexpr Duration kDomainListInterval = 10s;
constexpr Duration kListRetryInterval = 1s;
constexpr Duration kCheckInterval = 250ms;
constexpr Duration kWaitPollInterval = 10ms;
constexpr Duration kChangeTimeout = 10s;
// With 2,600 upstreams the row takes 500 KB and a peer's delta under 1 KB, so a daemon that lags
// behind first waits this long for its peers, whose heartbeats announce the version within a
// second.
constexpr Duration kPeerUpdateTimeout = 1500ms;

const Logger kLog("configuration");

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

PlatformConfigService::PlatformConfigService(asio::io_context& context, const Settings& settings,
                                             MetricRegistry& metrics, ConfigHolder& holder)
    : context_(context), settings_(settings), metrics_(metrics), holder_(holder) {}

Result<Endpoint> PlatformConfigService::Start(std::optional<Configuration> initial_configuration,
                                              const std::string& fleet_key) {
  if (!settings_.peers_address.empty()) {
    const Result<Endpoint> peers = ParseEndpoint(settings_.peers_address);
    if (peers && fleet_key.empty() && !asio::ip::make_address(peers->address).is_loopback()) {
      return tl::make_unexpected(
          Error{.code = ErrorCode::kInvalid,
                .message = "peers_address is not a loopback address, so fleet_key_file must name a "
                           "file with a key."});
    }
  }
  network_ = std::make_unique<PeerNetwork>(
      context_, settings_, fleet_key, metrics_,
      [this](const PeerNetwork::Snapshot& snapshot) { holder_.ApplyIfNewer(*snapshot); });
  if (settings_.platform_kind == PlatformKind::kEmbedded) {
    embedded_platform_ = std::make_unique<provider::MemoryPlatform>();
    table_ = embedded_platform_.get();
    vm_list_ = embedded_platform_.get();
    if (initial_configuration) {
      const ConfigurationRow row = {.configuration = std::make_shared<const Configuration>(
                                        std::move(*initial_configuration))};
      embedded_platform_->Commit(
          {.writes = {{kConfigurationRowKey, FormatConfigurationRow(row)},
                      {kConfigurationVersionRowKey, fmt::to_string(row.configuration->version)}}},
          [](provider::CommitStatus) {});
      network_->ApplyIfNewer(row.configuration, ConfigSource::kTable);
    }
    network_->replica().OnTableVersion(network_->replica().version(), Now());
    network_->UpdateReady(Now());
  } else {
    Result<Endpoint> endpoint = ParseEndpoint(settings_.platform_address);
    if (!endpoint) {
      return endpoint;
    }
    platform_client_ = std::make_unique<PlatformClient>(context_, std::move(*endpoint), metrics_);
    table_ = platform_client_.get();
    vm_list_ = platform_client_.get();
  }
  Result<Endpoint> bound_endpoint = network_->Start();
  if (bound_endpoint) {
    asio::co_spawn(context_, PollLoop(), LogException("configuration polls"));
    asio::co_spawn(context_, ListVmsLoop(), LogException("VM list polls"));
  }
  return bound_endpoint;
}

asio::awaitable<void> PlatformConfigService::PollTable() {
  const TimePoint queried_at = Now();
  const provider::ReadResult version_row = co_await AwaitRead(*table_, kConfigurationVersionRowKey);
  if (!version_row) {
    network_->replica().OnTableUnavailable();
    co_return;
  }
  const std::uint64_t version =
      version_row->value.empty() ? 0 : std::strtoull(version_row->value.c_str(), nullptr, 10);
  network_->replica().OnTableVersion(version, queried_at);
  const Duration peer_timeout = network_->ready() ? kPeerUpdateTimeout : Duration::zero();
  while (version > network_->replica().version() && Now() - queried_at < peer_timeout) {
    co_await Sleep(kWaitPollInterval);
  }
  if (version <= network_->replica().version()) {
    co_return;
  }
  const provider::ReadResult row = co_await AwaitRead(*table_, kConfigurationRowKey);
  if (!row) {
    co_return;
  }
  const Result<ConfigurationRow> parsed = ParseConfigurationRow(row->value);
  if (!parsed) {
    kLog.Error("The configuration in the table can't be read; the active one is kept.",
               {{"error", parsed.error().message}});
    co_return;
  }
  network_->ApplyIfNewer(parsed->configuration, ConfigSource::kTable);
}

asio::awaitable<void> PlatformConfigService::PollLoop() {
  while (true) {
    const TimePoint started_at = Now();
    co_await PollTable();
    // A daemon that has just become the representative polls without waiting for the long interval.
    while (true) {
      const bool frequent = network_->membership().is_representative() || !network_->ready();
      const Duration remaining =
          (frequent ? kRepresentativePollInterval : kPollInterval) - (Now() - started_at);
      if (remaining <= Duration::zero()) {
        break;
      }
      co_await Sleep(std::min(kCheckInterval, remaining));
    }
  }
}

asio::awaitable<void> PlatformConfigService::ListVmsLoop() {
  while (true) {
    const TimePoint started_at = Now();
    const bool whole_fleet = network_->membership().is_representative();
    // Stored in a variable, because g++ 12 destroys the temporaries of such an expression twice.
    FailureDomainId listed_domain = whole_fleet ? FailureDomainId() : settings_.failure_domain;
    const auto records = co_await AwaitVmList(*vm_list_, std::move(listed_domain));
    if (records) {
      std::vector<membership::Peer> peers;
      for (const provider::VmRecord& record : *records) {
        if (!record.daemon.empty() && !record.leaving) {
          peers.push_back({.daemon = record.daemon,
                           .failure_domain = record.failure_domain,
                           .address = record.peers_address});
        }
      }
      network_->SetListedPeers(peers);
    }
    while (true) {
      const bool representative = network_->membership().is_representative();
      const bool is_only_member = network_->membership().Members().size() == 1;
      const Duration interval = !records || is_only_member
                                    ? kListRetryInterval
                                    : (representative ? kFleetListInterval : kDomainListInterval);
      const Duration remaining = interval - (Now() - started_at);
      if (remaining <= Duration::zero() || (representative && !whole_fleet)) {
        break;
      }
      co_await Sleep(std::min(kCheckInterval, remaining));
    }
  }
}

asio::awaitable<ConfigChangeOutcome> PlatformConfigService::RunChange(ConfigChange change) {
  ConfigChange::Step step = ConfigChange::Start();
  while (true) {
    if (std::holds_alternative<ConfigChange::ReadRow>(step)) {
      const provider::ReadResult row = co_await AwaitRead(*table_, kConfigurationRowKey);
      step = change.OnRead(row, Now());
    } else if (const auto* commit = std::get_if<ConfigChange::CommitRows>(&step)) {
      const provider::CommitStatus status = co_await AwaitCommit(*table_, commit->transaction);
      step = change.OnCommit(status, Now());
    } else if (const auto* wait = std::get_if<ConfigChange::Wait>(&step)) {
      co_await Sleep(wait->duration);
      step = ConfigChange::OnWaitElapsed();
    } else {
      break;
    }
  }
  ConfigChangeOutcome outcome = std::get<ConfigChangeOutcome>(std::move(step));
  if (outcome.current) {
    network_->ApplyIfNewer(outcome.current, ConfigSource::kOperator);
  }
  co_return outcome;
}

asio::awaitable<ConfigChangeOutcome> PlatformConfigService::ApplyChange(
    Configuration requested, std::uint64_t expected_version, std::string change_id) {
  ConfigChange change(std::move(requested), expected_version, std::move(change_id),
                      Now() + kChangeTimeout);
  co_return co_await asio::co_spawn(context_, RunChange(std::move(change)), asio::use_awaitable);
}

std::size_t PlatformConfigService::CountLiveMembers() {
  const std::vector<Member> members = network_->membership().Members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const Member& member) { return member.state == MemberState::kAlive; }));
}

asio::awaitable<bool> PlatformConfigService::WaitForVersionAndMembers(std::uint64_t version,
                                                                      std::size_t live_members,
                                                                      Duration timeout) {
  const auto wait = [this, version, live_members, timeout]() -> asio::awaitable<bool> {
    const TimePoint deadline = Now() + timeout;
    while (network_->replica().version() < version || !network_->ready() ||
           CountLiveMembers() < live_members) {
      if (Now() >= deadline) {
        co_return false;
      }
      co_await Sleep(kWaitPollInterval);
    }
    co_return true;
  };
  co_return co_await asio::co_spawn(context_, wait(), asio::use_awaitable);
}

std::string PlatformConfigService::FormatStatus() {
  membership::ConfigReplica& replica = network_->replica();
  const auto staleness = replica.Staleness(Now());
  json::object configuration = {{"version", replica.version()},
                                {"source", membership::ToString(replica.source())},
                                {"source_peer", replica.source_peer().value()},
                                {"staleness_ms", nullptr}};
  if (staleness) {
    configuration["staleness_ms"] = *staleness / 1ms;
  }
  json::array members;
  for (const Member& member : network_->membership().Members()) {
    json::object entry = {{"daemon", member.daemon.value()},
                          {"failure_domain", member.failure_domain.value()},
                          {"state", membership::ToString(member.state)},
                          {"incarnation", member.incarnation}};
    const auto version = replica.peer_versions().find(member.daemon);
    if (member.daemon == settings_.daemon) {
      entry["configuration_version"] = replica.version();
    } else if (version != replica.peer_versions().end()) {
      entry["configuration_version"] = version->second;
    }
    members.emplace_back(std::move(entry));
  }
  return json::serialize(
             json::object{{"daemon", settings_.daemon.value()},
                          {"failure_domain", settings_.failure_domain.value()},
                          {"incarnation", network_->membership().incarnation()},
                          {"ready", network_->ready()},
                          {"representative", network_->membership().is_representative()},
                          {"links", network_->link_count()},
                          {"configuration", std::move(configuration)},
                          {"members", std::move(members)}}) +
         "\n";
}

asio::awaitable<std::string> PlatformConfigService::GetStatusJson() {
  const auto print = [this]() -> asio::awaitable<std::string> { co_return FormatStatus(); };
  co_return co_await asio::co_spawn(context_, print(), asio::use_awaitable);
}

std::string PlatformConfigService::MakeChangeId() {
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    // A change id that is not unique could make a lost write look accepted.
    std::terminate();
  }
  return fmt::format("{}-{:02x}", settings_.daemon.value(), fmt::join(bytes, ""));
}

}  // namespace savoryglade
