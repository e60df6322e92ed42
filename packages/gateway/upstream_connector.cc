#include "gateway/upstream_connector.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>
#include <utility>

#include "core/boot_clock.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

// TCP retransmits a lost handshake packet only after a second; trying another upstream is faster.
constexpr Duration kConnectTimeout = 300ms;
// A peer connects to an upstream within kPeerConnectTimeout of peer_tunnels.cc.
constexpr Duration kTunnelTimeout = 250ms;
constexpr Duration kProbeCheckInterval = 100ms;
constexpr unsigned kUpstreamDown = 502;
constexpr int kMaxPeersPerAttempt = 4;

const Logger kLog("paths");

// Returns the process in a notice, or nothing if there is none or it can't be read.
std::optional<std::uint64_t> ParseNotice(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::uint64_t process = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, process, kHexadecimal);
  return error == std::errc() && parsed_to == end ? std::optional(process) : std::nullopt;
}

}  // namespace

std::string UpstreamConnector::NameOf(TunnelOutcome outcome) {
  static constexpr std::array kNames = {"connected", "upstream_down", "refused",
                                        "failed",    "unwanted",      "unknown"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

boost::asio::awaitable<Result<UpstreamConnection>> UpstreamConnector::Connect(
    const UpstreamRecord& upstream, Duration max_idle_time, Duration remaining) {
  if (!fleet_.upstream_paths.IsDirect(upstream.id, BootNow())) {
    Error out_of_reach{.code = ErrorCode::kTimeout, .message = "The upstream is out of reach."};
    co_return co_await ConnectThroughPeer(upstream, std::move(out_of_reach), remaining);
  }
  const Result<Endpoint> endpoint = ParseEndpoint(upstream.address);
  if (endpoint) {
    auto idle = idle_connections_.Take(upstream.id, *endpoint, max_idle_time);
    if (idle != nullptr) {
      co_return UpstreamConnection{.connection = std::move(idle), .peer = {}};
    }
  }
  auto direct = co_await ConnectDirectly(upstream, std::min(kConnectTimeout, remaining));
  if (direct) {
    co_return UpstreamConnection{.connection = std::move(*direct), .peer = {}};
  }
  Error error = std::move(direct.error());
  co_return co_await ConnectThroughPeer(upstream, std::move(error), remaining);
}

boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> UpstreamConnector::ConnectDirectly(
    const UpstreamRecord& upstream, Duration timeout) {
  const Result<Endpoint> endpoint = ParseEndpoint(upstream.address);
  if (!endpoint) {
    co_return tl::make_unexpected(endpoint.error());
  }
  auto connected =
      co_await HttpConnection::Connect(*endpoint, timeout, fleet_.settings.source_address);
  if (connected) {
    fleet_.upstream_paths.OnReached(upstream.id, BootNow());
  } else {
    fleet_.upstream_paths.OnUnreached(upstream.id, BootNow());
  }
  co_return connected;
}

boost::asio::awaitable<bool> UpstreamConnector::IsPathLost(const UpstreamRecord& upstream,
                                                           Duration remaining) {
  const Result<Endpoint> endpoint = ParseEndpoint(upstream.address);
  if (!endpoint || remaining <= Duration::zero()) {
    co_return false;
  }
  const Duration timeout = std::min(kConnectTimeout, remaining);
  const auto connected =
      co_await HttpConnection::Connect(*endpoint, timeout, fleet_.settings.source_address);
  if (connected) {
    fleet_.upstream_paths.OnReached(upstream.id, BootNow());
    co_return false;
  }
  const bool is_lost = connected.error().code == ErrorCode::kTimeout && timeout == kConnectTimeout;
  if (is_lost) {
    fleet_.upstream_paths.OnUnreached(upstream.id, BootNow());
  }
  co_return is_lost;
}

std::vector<RelayPeer> UpstreamConnector::RelayPeers(TimePoint now) const {
  const std::vector<DaemonId> live = fleet_.groups.LiveGroup(now);
  std::vector<RelayPeer> peers;
  for (const auto& [daemon, endpoint] : fleet_.peer_requests) {
    if (fleet_.groups.InGroup(daemon) && std::ranges::find(live, daemon) == live.end()) {
      continue;
    }
    peers.push_back(
        {.daemon = daemon,
         .same_domain = fleet_.groups.DomainOf(daemon) == fleet_.settings.failure_domain});
  }
  return peers;
}

boost::asio::awaitable<Result<UpstreamConnection>> UpstreamConnector::ConnectThroughPeer(
    const UpstreamRecord& upstream, Error direct_error, Duration remaining) {
  const Result<Endpoint> target = ParseEndpoint(upstream.address);
  for (int asked = 0; target && asked < kMaxPeersPerAttempt; ++asked) {
    const TimePoint begun_at = BootNow();
    const std::optional<DaemonId> peer =
        fleet_.upstream_paths.ChoosePeer(upstream.id, RelayPeers(begun_at), begun_at, random_);
    if (!peer) {
      break;
    }
    const Endpoint relay = fleet_.peer_requests.at(*peer);
    std::string name = upstream.id.value();
    TunnelReply reply = co_await OpenTunnel(relay, *target, std::move(name),
                                            std::min(kTunnelTimeout, remaining), remaining);
    const TunnelOutcome outcome = RecordReply(upstream, *peer, reply);
    fleet_.metrics.GetCounter("savoryglade_gateway_tunnels_total", {{"outcome", NameOf(outcome)}})
        .Add();
    if (outcome == TunnelOutcome::kConnected) {
      co_return UpstreamConnection{.connection = std::move(reply.connection), .peer = *peer};
    }
    kLog.Info("A peer did not connect to an upstream for this daemon.",
              {{"upstream", upstream.id.value()},
               {"peer", peer->value()},
               {"outcome", NameOf(outcome)},
               {"direct_error", direct_error.message},
               {"error", reply.failure},
               {"ms", (BootNow() - begun_at) / 1ms}});
    // Neither this daemon nor the peer shows whether the upstream is up.
    direct_error.code =
        outcome == TunnelOutcome::kUpstreamDown ? direct_error.code : ErrorCode::kTimeout;
    if (outcome != TunnelOutcome::kRefused && outcome != TunnelOutcome::kUnknown) {
      break;
    }
  }
  co_return tl::make_unexpected(std::move(direct_error));
}

UpstreamConnector::TunnelOutcome UpstreamConnector::RecordReply(const UpstreamRecord& upstream,
                                                                const DaemonId& peer,
                                                                const TunnelReply& reply) {
  const TimePoint now = BootNow();
  UpstreamPaths& paths = fleet_.upstream_paths;
  if (reply.connection != nullptr) {
    paths.OnPeerConnected(upstream.id, peer, now);
    return TunnelOutcome::kConnected;
  }
  if (reply.status == 0) {
    paths.OnPeerFailed(upstream.id, peer, now);
    return TunnelOutcome::kFailed;
  }
  // The peer may relay to other upstreams.
  if (reply.status == kTunnelUnwantedStatus) {
    paths.OnPeerRefusedUpstream(upstream.id, peer, now);
    if (const std::optional<std::uint64_t> process = ParseNotice(reply.notice)) {
      signals_.OnPeerNotice({.upstream = *process}, peer);
    }
    return TunnelOutcome::kUnwanted;
  }
  if (reply.status == kTunnelUnknownStatus) {
    paths.OnPeerLacksUpstream(upstream.id, peer, now);
    return TunnelOutcome::kUnknown;
  }
  // A peer that is partitioned as well blames the first upstreams that it does not reach.
  if (reply.status == kUpstreamDown && !paths.IsServiceLost(upstream.service, now)) {
    paths.OnUpstreamDown(upstream.id, now);
    return TunnelOutcome::kUpstreamDown;
  }
  paths.OnPeerRefused(upstream.id, peer, now);
  return TunnelOutcome::kRefused;
}

boost::asio::awaitable<void> UpstreamConnector::ProbeLoop() {
  while (true) {
    const std::optional<UpstreamId> probed = fleet_.upstream_paths.TakeProbe(BootNow());
    const UpstreamRecord* const found = probed ? fleet_.load_balancer.Find(*probed) : nullptr;
    if (found == nullptr) {
      co_await Sleep(kProbeCheckInterval);
      continue;
    }
    const UpstreamRecord upstream = *found;
    const auto connected = co_await ConnectDirectly(upstream, kConnectTimeout);
    if (connected) {
      kLog.Info("An upstream is within reach again.", {{"upstream", upstream.id.value()}});
    }
  }
}

}  // namespace savoryglade::gateway
