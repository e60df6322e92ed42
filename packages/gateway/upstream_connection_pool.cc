#include "gateway/upstream_connection_pool.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "core/boot_clock.h"

namespace savoryglade::gateway {
namespace {

// Idle connections kept for each upstream; exceeds one daemon's share of a full batch.
constexpr std::size_t kMaxIdlePerUpstream = 64;
// Fraction of an upstream's connections that may be idle; the rest is left for bursts.
constexpr double kIdleFraction = 0.5;
// Idle timeout of an upstream that does not state one.
constexpr Duration kDefaultIdleTimeout = 2s;
// Fraction of the upstream's idle timeout for which a connection is reused.
constexpr double kIdleTimeoutFraction = 0.6;

}  // namespace

std::unique_ptr<HttpConnection> UpstreamConnectionPool::Take(const UpstreamId& upstream,
                                                             const Endpoint& endpoint,
                                                             Duration max_idle_time) {
  std::vector<IdleEntry>& idle = idle_[upstream];
  const TimePoint now = BootNow();
  while (!idle.empty()) {
    IdleEntry last = std::move(idle.back());
    idle.pop_back();
    if (now >= last.until || now - last.since > max_idle_time ||
        last.connection->endpoint() != endpoint) {
      continue;
    }
    // Otherwise the peer closed the connection, or a late response is waiting on it.
    if (last.connection->IsOpenAndIdle()) {
      return std::move(last.connection);
    }
  }
  return nullptr;
}

std::size_t UpstreamConnectionPool::MaxIdleConnections(int max_connections, int daemons) {
  if (max_connections <= 0) {
    return kMaxIdlePerUpstream;
  }
  const double share = kIdleFraction * max_connections / std::max(daemons, 1);
  return std::clamp(static_cast<std::size_t>(share), std::size_t{1}, kMaxIdlePerUpstream);
}

void UpstreamConnectionPool::Release(const UpstreamId& upstream,
                                     std::unique_ptr<HttpConnection> connection,
                                     std::optional<Duration> idle_timeout, std::size_t max_idle) {
  std::vector<IdleEntry>& idle = idle_[upstream];
  if (!connection->reusable() || idle.size() >= max_idle) {
    return;
  }
  const TimePoint now = BootNow();
  const Duration use =
      FromSeconds(ToSeconds(idle_timeout.value_or(kDefaultIdleTimeout)) * kIdleTimeoutFraction);
  idle.push_back({.connection = std::move(connection), .since = now, .until = now + use});
}

void UpstreamConnectionPool::Expire(TimePoint now) {
  for (auto& [upstream, idle] : idle_) {
    std::erase_if(idle, [now](const IdleEntry& entry) { return now >= entry.until; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace savoryglade::gateway
