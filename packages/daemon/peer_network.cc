#include "daemon/peer_network.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "config/configuration_delta.h"
#include "logging/logger.h"
#include "net/acceptor.h"
#include "net/log_exception.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using membership::ConfigSource;
using membership::Heartbeat;
using membership::Member;
using membership::MemberState;

constexpr auto kAwaitAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kTickInterval = 50ms;
constexpr Duration kDialInterval = 1s;
constexpr Duration kDialTimeout = 1s;
// The daemon with the higher id dials immediately, the other one after this delay, because a new
// daemon is not yet in the peer lists of the daemons that should dial it.
constexpr Duration kPassiveDialDelay = 300ms;
constexpr Duration kHandshakeTimeout = 3s;
// A link that received nothing for this long is replaced by a new one; see suspect_after of
// Membership.
constexpr Duration kLinkSilenceTimeout = 2500ms;
constexpr std::size_t kMaxUnauthenticatedLinks = 256;
constexpr std::size_t kMaxRecentSnapshots = 4;

const Logger kLog("peers");

TimePoint Now() { return std::chrono::steady_clock::now(); }

// Returns the Unix time in milliseconds, so that a later start of a daemon has a higher
// incarnation.
std::uint64_t MakeIncarnation() {
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / 1ms);
}

// Formats a configuration without line breaks and indentation, which reduces it to about two thirds
// of the bytes.
std::string FormatCompactJson(const Configuration& configuration) {
  return boost::json::serialize(boost::json::parse(PrintConfiguration(configuration)));
}

}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& context, const Settings& settings, std::string fleet_key,
                         MetricRegistry& metrics, SnapshotHandler handler)
    : context_(context),
      settings_(settings),
      fleet_key_(std::move(fleet_key)),
      counters_(metrics),
      full_pushes_(
          metrics.GetCounter("savoryglade_configuration_pushes_total", {{"kind", "whole"}})),
      delta_pushes_(
          metrics.GetCounter("savoryglade_configuration_pushes_total", {{"kind", "delta"}})),
      live_members_(metrics.GetGauge("savoryglade_members_live")),
      snapshot_handler_(std::move(handler)),
      membership_(settings.daemon, settings.failure_domain, MakeIncarnation(), {}, Now()),
      replica_({}, Now()) {}

Result<Endpoint> PeerNetwork::Start() {
  Endpoint bound_endpoint;
  if (!settings_.peers_address.empty()) {
    Result<Endpoint> endpoint = ParseEndpoint(settings_.peers_address);
    if (!endpoint) {
      return endpoint;
    }
    Result<tcp::acceptor> acceptor = OpenAcceptor(context_, *endpoint);
    if (!acceptor) {
      return tl::make_unexpected(acceptor.error());
    }
    bound_endpoint = {.address = endpoint->address, .port = acceptor->local_endpoint().port()};
    own_address_ = ToString(bound_endpoint);
    acceptor_.emplace(std::move(*acceptor));
    membership_.SetAddress(settings_.daemon, own_address_);
  }
  SetListedPeers({});
  if (acceptor_) {
    asio::co_spawn(context_, AcceptLoop(), LogException("peer accepts"));
  }
  asio::co_spawn(context_, TickLoop(), LogException("peer ticks"));
  return bound_endpoint;
}

void PeerNetwork::SetListedPeers(const std::vector<membership::Peer>& peers) {
  std::vector<membership::Peer> all_peers = peers;
  for (const PeerSettings& peer : settings_.peers) {
    all_peers.push_back(
        {.daemon = peer.daemon, .failure_domain = peer.failure_domain, .address = peer.address});
  }
  membership_.SetPeers(all_peers, Now());
}

asio::awaitable<void> PeerNetwork::AcceptLoop() {
  while (true) {
    auto [error, socket] = co_await acceptor_->async_accept(kAwaitAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error || unauthenticated_links_ >= kMaxUnauthenticatedLinks) {
      continue;
    }
    asio::co_spawn(context_,
                   RunLink(std::make_shared<PeerLink>(std::move(socket), fleet_key_,
                                                      wire::Side::kListener, counters_)),
                   LogException("peer link"));
  }
}

asio::awaitable<void> PeerNetwork::RunLink(LinkPointer link) {
  ++unauthenticated_links_;
  bool counts_as_unauthenticated = true;
  const auto stop_counting = [this, &counts_as_unauthenticated] {
    unauthenticated_links_ -= std::exchange(counts_as_unauthenticated, false) ? 1 : 0;
  };
  asio::steady_timer handshake(context_, kHandshakeTimeout);
  handshake.async_wait([link](const boost::system::error_code& error) {
    if (!error && !link->authenticated()) {
      link->Close();
    }
  });
  co_await link->Run(MakeHello(),
                     [this, &stop_counting](const LinkPointer& l, const wire::MessageT& message) {
                       if (l->authenticated()) {
                         stop_counting();
                       }
                       HandleMessage(l, message);
                     });
  stop_counting();
  handshake.cancel();
  const auto found = links_.find(link->daemon());
  if (found != links_.end() && found->second == link) {
    links_.erase(found);
    replica_.OnPeerDisconnected(link->daemon());
  }
}

asio::awaitable<void> PeerNetwork::Dial(DaemonId daemon, std::string address) {
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint) {
    pending_dials_.erase(daemon);
    co_return;
  }
  tcp::socket socket(context_);
  asio::steady_timer timer(context_, kDialTimeout);
  timer.async_wait([&socket](const boost::system::error_code& error) {
    if (!error) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
  });
  boost::system::error_code parse_error;
  const tcp::endpoint target(asio::ip::make_address(endpoint->address, parse_error),
                             endpoint->port);
  const auto [error] = co_await socket.async_connect(target, kAwaitAsTuple);
  const bool in_time = timer.cancel() > 0;
  // The timer's handler refers to the socket, so it has to run before the socket is moved.
  co_await asio::post(context_, asio::use_awaitable);
  pending_dials_.erase(daemon);
  if (error || !in_time) {
    co_return;
  }
  co_await RunLink(
      std::make_shared<PeerLink>(std::move(socket), fleet_key_, wire::Side::kDialer, counters_));
}

asio::awaitable<void> PeerNetwork::TickLoop() {
  asio::steady_timer timer(context_);
  while (true) {
    Tick(Now());
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void PeerNetwork::Tick(TimePoint now) {
  for (const membership::MemberChange& change : membership_.Tick(now)) {
    kLog.Info("The state of a member changed.",
              {{"member", change.member.daemon.value()},
               {"state", membership::ToString(change.member.state)},
               {"incarnation", change.member.incarnation}});
    live_members_.Set(static_cast<std::int64_t>(membership_.CountLiveInDomain()));
    if (member_change_handler_) {
      member_change_handler_(change);
    }
  }
  DialMissingPeers(now);
  for (const membership::DueHeartbeat& due : membership_.TakeDueHeartbeats(now)) {
    const auto link = links_.find(due.to);
    if (link != links_.end()) {
      SendHeartbeat(link->second, due.answer_wanted);
    }
  }
  FetchIfBehind(now);
  if (!replica_.ready()) {
    std::set<DaemonId> expected;
    for (const Member& member : membership_.Members()) {
      if (member.failure_domain == settings_.failure_domain && member.daemon != settings_.daemon &&
          member.state != MemberState::kDead) {
        expected.insert(member.daemon);
      }
    }
    replica_.SetExpectedPeers(std::move(expected));
  }
  UpdateReady(now);
}

void PeerNetwork::UpdateReady(TimePoint now) {
  if (!replica_.ready() && replica_.UpdateReady(now)) {
    ready_ = true;
    kLog.Info("The daemon is ready; its configuration is active.",
              {{"version", replica_.version()},
               {"source", membership::ToString(replica_.source())},
               {"peer", replica_.source_peer().value()}});
  }
}

void PeerNetwork::DialMissingPeers(TimePoint now) {
  if (!acceptor_) {
    return;
  }
  for (auto it = links_.begin(); it != links_.end();) {
    const LinkPointer link = (it++)->second;
    // Only the dialer closes a link that it no longer needs; the listener keeps it, because the
    // dialer may still need it.
    if (link->side() == wire::Side::kDialer && !membership_.ShouldConnect(link->daemon()) &&
        now - link->started_at() > kDialInterval) {
      link->Close();
    }
  }
  for (const Member& member : membership_.Members()) {
    if (member.daemon == settings_.daemon || member.address.empty() ||
        pending_dials_.count(member.daemon) != 0 || !membership_.ShouldConnect(member.daemon)) {
      continue;
    }
    const auto link = links_.find(member.daemon);
    if (link != links_.end() && now - link->second->last_received_at() < kLinkSilenceTimeout) {
      continue;
    }
    const Duration dial_delay =
        settings_.daemon < member.daemon ? kPassiveDialDelay : Duration::zero();
    const auto [next, inserted] = next_dial_at_.try_emplace(member.daemon, now + dial_delay);
    if (now < next->second) {
      continue;
    }
    next->second = now + kDialInterval;
    pending_dials_.insert(member.daemon);
    asio::co_spawn(context_, Dial(member.daemon, member.address), LogException("peer dial"));
  }
}

wire::HelloT PeerNetwork::MakeHello() const {
  wire::HelloT hello;
  hello.daemon = settings_.daemon.value();
  hello.failure_domain = settings_.failure_domain.value();
  hello.incarnation = membership_.incarnation();
  hello.address = own_address_;
  return hello;
}

// Returns true if a new link replaces an existing one to the same daemon. Both ends keep the link
// that the daemon with the higher id dialled, unless it is silent or belongs to an earlier
// incarnation.
bool PeerNetwork::ShouldReplace(const LinkPointer& link, const LinkPointer& existing) const {
  const auto dialled_by_higher = [this](const LinkPointer& l) {
    return (l->side() == wire::Side::kDialer) == (l->daemon() < settings_.daemon);
  };
  return !existing->open() || link->incarnation() > existing->incarnation() ||
         link->side() == existing->side() || dialled_by_higher(link) ||
         Now() - existing->last_received_at() >= kLinkSilenceTimeout;
}

void PeerNetwork::RegisterLink(const LinkPointer& link) {
  if (link->daemon() == settings_.daemon) {
    link->Close();
    return;
  }
  const auto [found, inserted] = links_.try_emplace(link->daemon(), link);
  if (!inserted && found->second != link) {
    if (!ShouldReplace(link, found->second)) {
      link->Close();
      return;
    }
    found->second->Close();
    found->second = link;
  }
}

void PeerNetwork::HandleMessage(const LinkPointer& link, const wire::MessageT& message) {
  if (message.body.type == wire::Body_Hello) {
    SendFirstHeartbeat(link);
    return;
  }
  const auto found = links_.find(link->daemon());
  if (found == links_.end() || found->second != link) {
    RegisterLink(link);
    if (!link->open()) {
      return;
    }
  }
  switch (message.body.type) {
    case wire::Body_Heartbeat:
      OnHeartbeat(link, *message.body.AsHeartbeat());
      break;
    case wire::Body_ConfigPush:
      OnConfigPush(link, *message.body.AsConfigPush());
      break;
    case wire::Body_ConfigFetch:
      OnConfigFetch(link, *message.body.AsConfigFetch());
      break;
    default:
      if (message_handler_) {
        message_handler_(link->daemon(), message);
      }
      break;
  }
}

bool PeerNetwork::Send(const DaemonId& daemon, const wire::MessageT& message) {
  const auto link = links_.find(daemon);
  if (link != links_.end() && link->second->open()) {
    link->second->Send(message);
    return true;
  }
  const std::optional<Member> member = membership_.Find(daemon);
  if (member && !member->address.empty() && pending_dials_.insert(daemon).second) {
    asio::co_spawn(context_, Dial(daemon, member->address), LogException("peer dial"));
  }
  return false;
}

void PeerNetwork::SendHeartbeat(const LinkPointer& link, bool answer_wanted) {
  Send(link, membership_.MakeHeartbeat(link->daemon(), answer_wanted));
}

// Proves to the peer that this daemon has the fleet key. Before that the peer accepts small frames
// only, and the member list of a large fleet does not fit, so it is sent with the next heartbeat.
void PeerNetwork::SendFirstHeartbeat(const LinkPointer& link) {
  Heartbeat heartbeat = membership_.MakeHeartbeat(link->daemon(), false);
  heartbeat.members.clear();
  Send(link, heartbeat);
}

void PeerNetwork::Send(const LinkPointer& link, const Heartbeat& heartbeat) {
  wire::HeartbeatT message;
  message.incarnation =
      heartbeat.incarnation == link->own_incarnation() ? 0 : heartbeat.incarnation;
  message.configuration_version = replica_.advertised_version();
  message.known_incarnation =
      heartbeat.known_incarnation == link->incarnation() ? 0 : heartbeat.known_incarnation;
  message.known_dead = heartbeat.known_dead;
  message.answer_wanted = heartbeat.answer_wanted;
  message.representative = heartbeat.representative;
  message.view_sequence = heartbeat.view_sequence;
  message.view_received = heartbeat.view_received;
  for (const Member& member : heartbeat.members) {
    auto entry = std::make_unique<wire::MemberT>();
    entry->daemon = member.daemon.value();
    entry->failure_domain = member.failure_domain.value();
    entry->incarnation = member.incarnation;
    entry->state = static_cast<wire::MemberState>(member.state);
    entry->address = member.address;
    message.members.push_back(std::move(entry));
  }
  link->Send(wire::MakeMessage(std::move(message)));
}

void PeerNetwork::OnHeartbeat(const LinkPointer& link, const wire::HeartbeatT& message) {
  Heartbeat heartbeat = {
      .daemon = link->daemon(),
      .failure_domain = link->failure_domain(),
      .incarnation = message.incarnation != 0 ? message.incarnation : link->incarnation(),
      .known_incarnation =
          message.known_incarnation != 0 ? message.known_incarnation : link->own_incarnation(),
      .known_dead = message.known_dead,
      .answer_wanted = message.answer_wanted,
      .representative = message.representative,
      .view_sequence = message.view_sequence,
      .view_received = message.view_received};
  for (const auto& member : message.members) {
    if (member->state > wire::MemberState_MAX) {
      continue;
    }
    heartbeat.members.push_back({.daemon = DaemonId(member->daemon),
                                 .failure_domain = FailureDomainId(member->failure_domain),
                                 .incarnation = member->incarnation,
                                 .state = static_cast<MemberState>(member->state),
                                 .address = member->address});
  }
  const TimePoint now = Now();
  const bool answer = membership_.OnHeartbeat(heartbeat, now);
  membership_.SetAddress(link->daemon(), link->address());
  if (answer) {
    SendHeartbeat(link, false);
  }
  replica_.OnPeerVersion(link->daemon(), message.configuration_version);
  FetchIfBehind(now);
}

void PeerNetwork::FetchIfBehind(TimePoint now) {
  for (const auto& [daemon, link] : links_) {
    replica_.OnFetchProgress(daemon, link->last_received_at());
  }
  const std::optional<DaemonId> peer = replica_.StartFetch(now);
  if (!peer) {
    return;
  }
  const auto link = links_.find(*peer);
  if (link != links_.end()) {
    wire::ConfigFetchT fetch;
    fetch.known_version = replica_.version();
    link->second->Send(wire::MakeMessage(fetch));
  }
}

wire::MessageT PeerNetwork::MakeConfigPush(std::uint64_t known_version) {
  const Snapshot& snapshot = replica_.snapshot();
  wire::ConfigPushT push;
  push.version = snapshot->version;
  const auto base =
      std::find_if(recent_snapshots_.begin(), recent_snapshots_.end(),
                   [&](const Snapshot& recent) { return recent->version == known_version; });
  if (known_version != 0 && base != recent_snapshots_.end()) {
    const ConfigurationDelta delta = MakeDelta(**base, *snapshot);
    push.base_version = known_version;
    push.document = FormatCompactJson(delta.changed);
    push.digest = delta.digest;
    for (const UpstreamId& removed : delta.removed_upstreams) {
      push.removed_upstreams.push_back(removed.value());
    }
  } else {
    push.document = FormatCompactJson(*snapshot);
  }
  return wire::MakeMessage(std::move(push));
}

void PeerNetwork::SendConfigPush(const LinkPointer& link, const wire::MessageT& push) {
  (push.body.AsConfigPush()->base_version == 0 ? full_pushes_ : delta_pushes_).Add();
  link->Send(push);
}

void PeerNetwork::OnConfigFetch(const LinkPointer& link, const wire::ConfigFetchT& fetch) {
  if (replica_.version() > fetch.known_version) {
    SendConfigPush(link, MakeConfigPush(fetch.known_version));
  }
}

void PeerNetwork::OnConfigPush(const LinkPointer& link, const wire::ConfigPushT& push) {
  if (push.version <= replica_.version()) {
    return;
  }
  Result<Configuration> parsed = ParseConfiguration(push.document);
  if (!parsed || parsed->version != push.version) {
    kLog.Error("Ignored a configuration push that can't be read.",
               {{"peer", link->daemon().value()}, {"version", push.version}});
    return;
  }
  std::optional<Configuration> configuration;
  if (push.base_version == 0) {
    configuration = std::move(*parsed);
  } else {
    ConfigurationDelta delta = {
        .base_version = push.base_version, .changed = std::move(*parsed), .digest = push.digest};
    for (const std::string& removed : push.removed_upstreams) {
      delta.removed_upstreams.emplace_back(removed);
    }
    configuration = ApplyDelta(*replica_.snapshot(), delta);
  }
  if (!configuration) {
    // The delta does not apply to the local version, so the whole document is requested.
    link->Send(wire::MakeMessage(wire::ConfigFetchT()));
    return;
  }
  // Within a failure domain the daemon that received the version first pushes it to all others, so
  // only a push from another failure domain is forwarded.
  ApplySnapshot(std::make_shared<const Configuration>(std::move(*configuration)),
                ConfigSource::kPeer, link->daemon(),
                link->failure_domain() != settings_.failure_domain);
}

bool PeerNetwork::ApplyIfNewer(const Snapshot& configuration, ConfigSource source) {
  const std::uint64_t before = replica_.version();
  ApplySnapshot(configuration, source, {}, true);
  return replica_.version() > before;
}

void PeerNetwork::ApplySnapshot(const Snapshot& snapshot, ConfigSource source, const DaemonId& peer,
                                bool push) {
  const Snapshot before = replica_.snapshot();
  if (!replica_.ApplyIfNewer(snapshot, source, peer, Now())) {
    return;
  }
  recent_snapshots_.push_back(before);
  if (recent_snapshots_.size() > kMaxRecentSnapshots) {
    recent_snapshots_.pop_front();
  }
  snapshot_handler_(snapshot);
  if (!push || !replica_.ready()) {
    return;
  }
  const wire::MessageT message = MakeConfigPush(before->version);
  for (const auto& [daemon, link] : links_) {
    if (link->failure_domain() == settings_.failure_domain && daemon != peer) {
      SendConfigPush(link, message);
    }
  }
}

}  // namespace savoryglade
