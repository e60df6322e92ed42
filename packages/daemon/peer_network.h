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

// Links to the other daemons of the fleet: heartbeats, and the spreading of the configuration. All
// of it runs on one context, so its state needs no lock; call it on that context only.
class PeerNetwork {
 public:
  using Snapshot = membership::ConfigReplica::Snapshot;
  using SnapshotHandler = std::function<void(const Snapshot&)>;

  // The handler gets each configuration that comes into force, in order of their versions.
  PeerNetwork(boost::asio::io_context& context, const Settings& settings, std::string fleet_key,
              MetricRegistry& metrics, SnapshotHandler handler);

  // Listens for peers and starts the timers. To be called before the context runs other work of
  // this object. Returns the endpoint in use, or one with port 0 if no peers are configured.
  Result<Endpoint> Start();

  // Takes a configuration that came from the table or an operator. Returns whether it is new.
  bool ApplyIfNewer(const Snapshot& configuration, membership::ConfigSource source);

  // Replaces the daemons that the platform lists; those of the settings stay.
  void SetListedPeers(const std::vector<membership::Peer>& peers);

  using MessageHandler = std::function<void(const DaemonId&, const wire::MessageT&)>;
  using ChangeHandler = std::function<void(const membership::MemberChange&)>;

  // Gets the messages that are neither heartbeats nor configuration.
  void SetMessageHandler(MessageHandler message_handler) {
    message_handler_ = std::move(message_handler);
  }
  // Gets each change of a member's state.
  void SetChangeHandler(ChangeHandler change_handler) {
    change_handler_ = std::move(change_handler);
  }

  // Sends a message to a daemon. Returns false if there is no link; one is then dialled for the
  // next message.
  bool Send(const DaemonId& daemon, const wire::MessageT& message);

  // Checks whether the daemon may serve now. Tick does so as well.
  void UpdateReady(TimePoint now);

  // True once the daemon may serve. Safe to call from all threads.
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
  void DialMissing(TimePoint now);
  wire::HelloT MakeHello() const;
  void Handle(const LinkPointer& link, const wire::MessageT& message);
  void Register(const LinkPointer& link);
  bool Replaces(const LinkPointer& link, const LinkPointer& existing) const;
  void OnHeartbeat(const LinkPointer& link, const wire::HeartbeatT& heartbeat);
  void OnConfigPush(const LinkPointer& link, const wire::ConfigPushT& push);
  void OnConfigFetch(const LinkPointer& link, const wire::ConfigFetchT& fetch);
  void SendHeartbeat(const LinkPointer& link, bool answer_wanted);
  void SendFirstHeartbeat(const LinkPointer& link);
  void Send(const LinkPointer& link, const membership::Heartbeat& heartbeat);
  // Returns the configuration in force, as a delta if the known version is a recent one.
  wire::MessageT MakePush(std::uint64_t known_version);
  void SendPush(const LinkPointer& link, const wire::MessageT& push);
  void Adopt(const Snapshot& snapshot, membership::ConfigSource source, const DaemonId& peer,
             bool push);
  void FetchIfBehind(TimePoint now);

  boost::asio::io_context& context_;
  Settings settings_;
  std::string fleet_key_;
  PeerCounters counters_;
  Counter& pushes_;
  Counter& deltas_;
  Gauge& live_members_;
  SnapshotHandler handler_;
  MessageHandler message_handler_;
  ChangeHandler change_handler_;
  membership::Membership membership_;
  membership::ConfigReplica replica_;
  std::string own_address_;
  std::atomic<bool> ready_{false};
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::size_t unauthenticated_ = 0;
  std::map<DaemonId, LinkPointer> links_;
  std::set<DaemonId> dialling_;
  std::map<DaemonId, TimePoint> next_dial_;
  // Versions in force before, from which peers that lag get a delta.
  std::deque<Snapshot> recent_;
};

}  // namespace savoryglade
