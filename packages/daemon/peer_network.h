#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "config/configuration.h"
#include "config/settings.h"
#include "daemon/peer_link.h"
#include "membership/config_replica.h"
#include "membership/membership.h"
#include "metrics/registry.h"
#include "net/endpoint.h"

namespace savoryglade {

// Maintains the links to the other daemons of the fleet, exchanges heartbeats and distributes the
// configuration. All of it runs on one context, so its state needs no lock; unless noted, call it
// on that context only.
class PeerNetwork {
 public:
  using Snapshot = membership::ConfigReplica::Snapshot;
  using SnapshotHandler = std::function<void(const Snapshot&)>;

  // The handler receives each configuration that becomes active, in order of version.
  PeerNetwork(boost::asio::io_context& context, const Settings& settings, std::string fleet_key,
              MetricRegistry& metrics, SnapshotHandler handler);

  // Listens for peers and starts the timers. Must be called before the context runs other work of
  // this object. Returns the bound endpoint, or one with port 0 if the settings have no
  // peers_address.
  Result<Endpoint> Start();

  // Applies a configuration from the table or an operator if it is newer. Returns true if it was
  // applied.
  bool ApplyIfNewer(const Snapshot& configuration, membership::ConfigSource source);

  // Replaces the peers that the platform lists; those of the settings are kept.
  void SetListedPeers(const std::vector<membership::Peer>& peers);

  using MessageHandler = std::function<void(const DaemonId&, const wire::MessageT&)>;
  using MemberChangeHandler = std::function<void(const membership::MemberChange&)>;

  // Sets the handler of messages that are neither heartbeats nor configuration.
  void SetMessageHandler(MessageHandler message_handler) {
    message_handler_ = std::move(message_handler);
  }
  // Sets the handler of changes of a member's state.
  void SetMemberChangeHandler(MemberChangeHandler member_change_handler) {
    member_change_handler_ = std::move(member_change_handler);
  }

  // Sends a message to a daemon. If there is no link, drops the message, dials the daemon for the
  // next one and returns false.
  bool Send(const DaemonId& daemon, const wire::MessageT& message);

  // Checks whether the daemon may serve now. Tick calls it as well.
  void UpdateReady(TimePoint now);

  // Returns true once the daemon may serve. Safe to call from all threads.
  bool ready() const { return ready_; }

  membership::Membership& membership() { return membership_; }
  membership::ConfigReplica& replica() { return replica_; }
  std::size_t link_count() const { return links_.size(); }

 private:
  using LinkPointer = std::shared_ptr<PeerLink>;

  boost::asio::awaitable<void> AcceptLoop();
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> Dial(DaemonId daemon, std::string address);
  boost::asio::awaitable<void> RunLink(LinkPointer link);
  void Tick(TimePoint now);
  void DialMissingPeers(TimePoint now);
  wire::HelloT MakeHello() const;
  void HandleMessage(const LinkPointer& link, const wire::MessageT& message);
  void RegisterLink(const LinkPointer& link);
  bool ShouldReplace(const LinkPointer& link, const LinkPointer& existing) const;
  void OnHeartbeat(const LinkPointer& link, const wire::HeartbeatT& heartbeat);
  void OnConfigPush(const LinkPointer& link, const wire::ConfigPushT& push);
  void OnConfigFetch(const LinkPointer& link, const wire::ConfigFetchT& fetch);
  void SendHeartbeat(const LinkPointer& link, bool answer_wanted);
  void SendFirstHeartbeat(const LinkPointer& link);
  void Send(const LinkPointer& link, const membership::Heartbeat& heartbeat);
  // Returns the active configuration as a message, as a delta if the known version is a recent one.
  wire::MessageT MakeConfigPush(std::uint64_t known_version);
  void SendConfigPush(const LinkPointer& link, const wire::MessageT& push);
  void ApplySnapshot(const Snapshot& snapshot, membership::ConfigSource source,
                     const DaemonId& peer, bool push);
  void FetchIfBehind(TimePoint now);

  boost::asio::io_context& context_;
  Settings settings_;
  std::string fleet_key_;
  PeerCounters counters_;
  Counter& full_pushes_;
  Counter& delta_pushes_;
  Gauge& live_members_;
  SnapshotHandler snapshot_handler_;
  MessageHandler message_handler_;
  MemberChangeHandler member_change_handler_;
  membership::Membership membership_;
  membership::ConfigReplica replica_;
  std::string own_address_;
  std::atomic<bool> ready_{false};
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::size_t unauthenticated_links_ = 0;
  std::map<DaemonId, LinkPointer> links_;
  // Daemons that are being dialled, and the earliest time of the next attempt for each daemon.
  std::set<DaemonId> pending_dials_;
  std::map<DaemonId, TimePoint> next_dial_at_;
  // Snapshots that were active before, used as bases of deltas for peers that lag behind.
  std::deque<Snapshot> recent_snapshots_;
};

}  // namespace savoryglade
