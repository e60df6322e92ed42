#include "gateway/peer_tunnels.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>

#include "core/boot_clock.h"
#include "core/scoped_count.h"
#include "logging/logger.h"
#include "net/http_client.h"
#include "net/memory_budget.h"
#include "net/response_header_reader.h"
#include "net/tunnel.h"

namespace savoryglade::gateway {
namespace {

// Shorter than that of an attempt, so that the peer can try another upstream.
constexpr Duration kPeerConnectTimeout = 150ms;
constexpr int kMaxTunnels = 256;
// A buffer for each direction, the connection to the upstream, and the header of its response.
constexpr std::size_t kTunnelBytes = 64 * 1024;
constexpr Duration kMaxLifetime = 600s;

const Logger kLog("paths");

Duration LifetimeOf(const HttpExchange& exchange) {
  const std::string_view text = exchange.Header(kTunnelLifetimeHeader);
  std::int64_t milliseconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  constexpr std::int64_t kMaxMilliseconds = kMaxLifetime / 1ms;
  return std::clamp<std::int64_t>(milliseconds, 1, kMaxMilliseconds) * 1ms;
}

}  // namespace

unsigned PeerTunnels::RejectionStatus(const UpstreamRecord* upstream,
                                      std::string_view target) const {
  if (upstream == nullptr || upstream->address != target) {
    return kTunnelUnknownStatus;
  }
  if (upstream->leaving || fleet_.load_balancer.signals().WaitEnd(
                               FleetLoadBalancer::ProcessKeyOf(*upstream), BootNow())) {
    return kTunnelUnwantedStatus;
  }
  const bool relays = !fleet_.drain.has_begun() && open_tunnels_ < kMaxTunnels &&
                      fleet_.upstream_paths.IsDirect(upstream->id, BootNow());
  return relays ? 0 : 503;
}

HttpHeaders PeerTunnels::RejectionHeaders(const UpstreamRecord* upstream) const {
  HttpHeaders headers;
  const std::uint64_t process =
      upstream == nullptr ? 0 : FleetLoadBalancer::ProcessKeyOf(*upstream);
  if (fleet_.load_balancer.signals().IsLeaving(process)) {
    headers.emplace_back(kTunnelNoticeHeader, fmt::format("{:016x}", process));
  }
  return headers;
}

boost::asio::awaitable<void> PeerTunnels::HandleRequest(HttpExchange& exchange) {
  exchange.CloseAfterResponse();
  const UpstreamId id(std::string(exchange.Header(kTunnelTargetHeader)));
  const UpstreamRecord* const record = fleet_.load_balancer.Find(id);
  if (const unsigned status = RejectionStatus(record, exchange.target()); status != 0) {
    co_await exchange.Respond(status, RejectionHeaders(record), {});
    co_return;
  }
  const UpstreamRecord target = *record;
  const ScopedCount tunnel(open_tunnels_);
  exchange.SetLease(MemoryPurpose::kTunnel, kTunnelBytes);
  const Result<Endpoint> endpoint = ParseEndpoint(exchange.target());
  if (!endpoint) {
    co_await exchange.Respond(kTunnelUnknownStatus, {}, {});
    co_return;
  }
  const auto connected = co_await HttpConnection::Connect(*endpoint, kPeerConnectTimeout,
                                                          fleet_.settings.source_address);
  if (!connected) {
    fleet_.upstream_paths.OnUnreached(id, BootNow());
    kLog.Info("An upstream does not accept the connection that a peer asked for.",
              {{"upstream", id.value()}, {"error", connected.error().message}});
    // The upstream is not to blame if this daemon reaches none of its service.
    const bool lost = fleet_.upstream_paths.IsServiceLost(target.service, BootNow());
    co_await exchange.Respond(lost ? 503 : 502, {}, {});
    co_return;
  }
  fleet_.upstream_paths.OnReached(id, BootNow());
  HttpConnection& upstream = **connected;
  const OpenAttempts::Registration registration(open_attempts_, id, upstream);
  if (co_await exchange.Respond(200, {}, {})) {
    ResponseHeaderReader reader;
    const TimePoint opened_at = BootNow();
    // Only the daemon that sends the request knows its id.
    const auto read_header = [&](std::string_view bytes) {
      if (reader.Append(bytes)) {
        signals_.OnAnswer(target, {}, codec_.DecodeResponse({}, reader.status(), reader.header()),
                          opened_at);
      }
    };
    co_await RelayBytes(exchange.stream(), upstream.stream(), LifetimeOf(exchange), read_header);
  }
}

}  // namespace savoryglade::gateway
