#include "daemon/peer_network.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "config/configuration_delta.h"
#include "logging/logger.h"
#include "net/acceptor.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using membership::ConfigSource;
using membership::Heartbeat;
using membership::Member;
using membership::MemberState;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kTickInterval = 50ms;
constexpr Duration kDialInterval = 1s;
constexpr Duration kDialTimeout = 1s;
// The daemon with the higher id dials. The other one does so as well if it has waited this long,
// because a new daemon is not yet in the lists of those that should dial it.
constexpr Duration kDialPatience = 300ms;
constexpr Duration kHandshakeTimeout = 3s;
// A link that was silent for this long gives way to a new one; see suspect_after of Membership.
constexpr Duration kSilentLink = 2500ms;
constexpr std::size_t kMostUnauthenticated = 256;
constexpr std::size_t kRecentVersions = 4;

const Logger kLog("peers");

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::uint64_t StartIncarnation() {
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / 1ms);
}

// Without the line breaks that people read, the document takes about two thirds of the bytes.
std::string Compact(const Configuration& configuration) {
  return boost::json::serialize(boost::json::parse(PrintConfiguration(configuration)));
}

}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& context, const Settings& settings, std::string fleet_key,
                         MetricRegistry& metrics, SnapshotHandler handler)
    : context_(context),
      settings_(settings),
      fleet_key_(std::move(fleet_key)),
      counters_(metrics),
      pushes_(metrics.GetCounter("savoryglade_configuration_pushes_total", {{"kind", "whole"}})),
      deltas_(metrics.GetCounter("savoryglade_configuration_pushes_total", {{"kind", "delta"}})),
      live_members_(metrics.GetGauge("savoryglade_members_live")),
      handler_(std::move(handler)),
      membership_(settings.daemon, settings.failure_domain, StartIncarnation(), {}, Now()),
      replica_({}, Now()) {}

Result<Endpoint> PeerNetwork::Start() {
  Endpoint bound;
  if (!settings_.peers_address.empty()) {
    Result<Endpoint> endpoint = ParseEndpoint(settings_.peers_address);
    if (!endpoint) {
      return endpoint;
    }
    Result<tcp::acceptor> acceptor = OpenAcceptor(context_, *endpoint);
    if (!acceptor) {
      return tl::make_unexpected(acceptor.error());
    }
    bound = {.address = endpoint->address, .port = acceptor->local_endpoint().port()};
    own_address_ = ToString(bound);
    acceptor_.emplace(std::move(*acceptor));
    membership_.SetAddress(settings_.daemon, own_address_);
  }
  SetListedPeers({});
  if (acceptor_) {
    asio::co_spawn(context_, AcceptLoop(), asio::detached);
  }
  asio::co_spawn(context_, TickLoop(), asio::detached);
  return bound;
}

void PeerNetwork::SetListedPeers(const std::vector<membership::Peer>& peers) {
  std::vector<membership::Peer> all = peers;
  for (const PeerSettings& peer : settings_.peers) {
    all.push_back(
        {.daemon = peer.daemon, .failure_domain = peer.failure_domain, .address = peer.address});
  }
  membership_.SetPeers(all, Now());
}

asio::awaitable<void> PeerNetwork::AcceptLoop() {
  while (true) {
    auto [error, socket] = co_await acceptor_->async_accept(kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error || unauthenticated_ >= kMostUnauthenticated) {
      continue;
    }
    asio::co_spawn(context_,
                   RunLink(std::make_shared<PeerLink>(std::move(socket), fleet_key_,
                                                      wire::Side::kListener, counters_)),
                   asio::detached);
  }
}

asio::awaitable<void> PeerNetwork::RunLink(LinkPointer link) {
  ++unauthenticated_;
  bool counted = true;
  const auto uncount = [this, &counted] {
    unauthenticated_ -= std::exchange(counted, false) ? 1 : 0;
  };
  asio::steady_timer handshake(context_, kHandshakeTimeout);
  handshake.async_wait([link](const boost::system::error_code& error) {
    if (!error && !link->authenticated()) {
      link->Close();
    }
  });
  co_await link->Run(MakeHello(),
                     [this, &uncount](const LinkPointer& l, const wire::MessageT& message) {
                       if (l->authenticated()) {
                         uncount();
                       }
                       Handle(l, message);
                     });
  uncount();
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
    dialling_.erase(daemon);
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
  const auto [error] = co_await socket.async_connect(target, kAwait);
  const bool in_time = timer.cancel() > 0;
  // The timer's handler refers to the socket, so it has to run before the socket is moved.
  co_await asio::post(context_, asio::use_awaitable);
  dialling_.erase(daemon);
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
    kLog.Info("A member has changed.", {{"member", change.member.daemon.value()},
                                        {"state", membership::ToString(change.member.state)},
                                        {"incarnation", change.member.incarnation}});
    live_members_.Set(static_cast<std::int64_t>(membership_.CountLiveInDomain()));
    if (change_handler_) {
      change_handler_(change);
    }
  }
  DialMissing(now);
  for (const membership::DueHeartbeat& order : membership_.TakeDueHeartbeats(now)) {
    const auto link = links_.find(order.to);
    if (link != links_.end()) {
      SendHeartbeat(link->second, order.answer_wanted);
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
    kLog.Info("The configuration is in force.",
              {{"version", replica_.version()},
               {"source", membership::ToString(replica_.source())},
               {"peer", replica_.source_peer().value()}});
  }
}

void PeerNetwork::DialMissing(TimePoint now) {
  if (!acceptor_) {
    return;
  }
  for (auto it = links_.begin(); it != links_.end();) {
    const LinkPointer link = (it++)->second;
    // Only the dialer gives up a link that is no longer needed; the other side may want it.
    if (link->side() == wire::Side::kDialer && !membership_.ShouldConnect(link->daemon()) &&
        now - link->started() > kDialInterval) {
      link->Close();
    }
  }
  for (const Member& member : membership_.Members()) {
    if (member.daemon == settings_.daemon || member.address.empty() ||
        dialling_.count(member.daemon) != 0 || !membership_.ShouldConnect(member.daemon)) {
      continue;
    }
    const auto link = links_.find(member.daemon);
    if (link != links_.end() && now - link->second->last_received() < kSilentLink) {
      continue;
    }
    const Duration patience = settings_.daemon < member.daemon ? kDialPatience : Duration::zero();
    const auto [next, inserted] = next_dial_.try_emplace(member.daemon, now + patience);
    if (now < next->second) {
      continue;
    }
    next->second = now + kDialInterval;
    dialling_.insert(member.daemon);
    asio::co_spawn(context_, Dial(member.daemon, member.address), asio::detached);
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

// Of two links between the same daemons both ends keep the one that the higher id dialled, unless
// it is silent or belongs to an earlier incarnation.
bool PeerNetwork::Replaces(const LinkPointer& link, const LinkPointer& existing) const {
  const auto dialled_by_higher = [this](const LinkPointer& l) {
    return (l->side() == wire::Side::kDialer) == (l->daemon() < settings_.daemon);
  };
  return !existing->open() || link->incarnation() > existing->incarnation() ||
         link->side() == existing->side() || dialled_by_higher(link) ||
         Now() - existing->last_received() >= kSilentLink;
}

void PeerNetwork::Register(const LinkPointer& link) {
  if (link->daemon() == settings_.daemon) {
    link->Close();
    return;
  }
  const auto [found, inserted] = links_.try_emplace(link->daemon(), link);
  if (!inserted && found->second != link) {
    if (!Replaces(link, found->second)) {
      link->Close();
      return;
    }
    found->second->Close();
    found->second = link;
  }
}

void PeerNetwork::Handle(const LinkPointer& link, const wire::MessageT& message) {
  if (message.body.type == wire::Body_Hello) {
    SendFirstHeartbeat(link);
    return;
  }
  const auto found = links_.find(link->daemon());
  if (found == links_.end() || found->second != link) {
    Register(link);
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
  if (member && !member->address.empty() && dialling_.insert(daemon).second) {
    asio::co_spawn(context_, Dial(daemon, member->address), asio::detached);
  }
  return false;
}

void PeerNetwork::SendHeartbeat(const LinkPointer& link, bool answer_wanted) {
  Send(link, membership_.MakeHeartbeat(link->daemon(), answer_wanted));
}

// Proves to the peer that we hold the fleet key. Until then the peer takes small frames only, so
// the view of a large fleet has to wait for the next heartbeat.
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

wire::MessageT PeerNetwork::MakePush(std::uint64_t known_version) {
  const Snapshot& snapshot = replica_.snapshot();
  wire::ConfigPushT push;
  push.version = snapshot->version;
  const auto base = std::find_if(recent_.begin(), recent_.end(), [&](const Snapshot& recent) {
    return recent->version == known_version;
  });
  if (known_version != 0 && base != recent_.end()) {
    const ConfigurationDelta delta = MakeDelta(**base, *snapshot);
    push.base_version = known_version;
    push.document = Compact(delta.changed);
    push.digest = delta.digest;
    for (const UpstreamId& removed : delta.removed_upstreams) {
      push.removed_upstreams.push_back(removed.value());
    }
  } else {
    push.document = Compact(*snapshot);
  }
  return wire::MakeMessage(std::move(push));
}

void PeerNetwork::SendPush(const LinkPointer& link, const wire::MessageT& push) {
  (push.body.AsConfigPush()->base_version == 0 ? pushes_ : deltas_).Add();
  link->Send(push);
}

void PeerNetwork::OnConfigFetch(const LinkPointer& link, const wire::ConfigFetchT& fetch) {
  if (replica_.version() > fetch.known_version) {
    SendPush(link, MakePush(fetch.known_version));
  }
}

void PeerNetwork::OnConfigPush(const LinkPointer& link, const wire::ConfigPushT& push) {
  if (push.version <= replica_.version()) {
    return;
  }
  Result<Configuration> parsed = ParseConfiguration(push.document);
  if (!parsed || parsed->version != push.version) {
    kLog.Error("A peer sent a configuration that can't be read.",
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
    // The delta does not fit, so the whole document is needed.
    link->Send(wire::MakeMessage(wire::ConfigFetchT()));
    return;
  }
  // Inside a failure domain the daemon that learned of the version first pushes it to all.
  Adopt(std::make_shared<const Configuration>(std::move(*configuration)), ConfigSource::kPeer,
        link->daemon(), link->failure_domain() != settings_.failure_domain);
}

bool PeerNetwork::ApplyIfNewer(const Snapshot& configuration, ConfigSource source) {
  const std::uint64_t before = replica_.version();
  Adopt(configuration, source, {}, true);
  return replica_.version() > before;
}

void PeerNetwork::Adopt(const Snapshot& snapshot, ConfigSource source, const DaemonId& peer,
                        bool push) {
  const Snapshot before = replica_.snapshot();
  if (!replica_.ApplyIfNewer(snapshot, source, peer, Now())) {
    return;
  }
  recent_.push_back(before);
  if (recent_.size() > kRecentVersions) {
    recent_.pop_front();
  }
  handler_(snapshot);
  if (!push || !replica_.ready()) {
    return;
  }
  const wire::MessageT message = MakePush(before->version);
  for (const auto& [daemon, link] : links_) {
    if (link->failure_domain() == settings_.failure_domain && daemon != peer) {
      SendPush(link, message);
    }
  }
}

}  // namespace savoryglade
