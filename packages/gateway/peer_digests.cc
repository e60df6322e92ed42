#include "gateway/peer_digests.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <memory>
#include <utility>

#include "core/boot_clock.h"
#include "gateway/digest_codec.h"
#include "logging/logger.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Time between two digests in a small fleet. It grows with the fleet, so that a daemon handles
// about as many datagrams in a large one.
constexpr Duration kShortestInterval = 150ms;
constexpr Duration kIntervalPerPeer = 6ms;
constexpr Duration kRegisterInterval = 8s;
// A peer whose row has not changed and that sent no digest for this long has gone.
constexpr Duration kPeerLifetime = 30s;
// Daemons start together and find each other by the rows; later ones make themselves known by
// their digests, so the rows are read less often then.
constexpr int kFirstReads = 3;
constexpr Duration kFirstReadInterval = 2s;
constexpr Duration kReadInterval = 20s;
// A peer is taken for silent after this many intervals, or the time of a small fleet if longer.
constexpr int kSilentIntervals = 4;
constexpr Duration kShortestSilence = 1s;
constexpr std::size_t kLargestDatagram = 60'000;
constexpr const char* kRowPrefix = "daemon/";

const Logger kLog("peers");

}  // namespace

PeerDigests::PeerDigests(FleetState& fleet, FleetStore& store) : fleet_(fleet), store_(store) {}

Result<void> PeerDigests::Open(asio::io_context& context) {
  const Endpoint& endpoint = fleet_.settings.peers;
  socket_ = std::make_unique<udp::socket>(context);
  boost::system::error_code error;
  const udp::endpoint address(asio::ip::make_address(endpoint.address, error), endpoint.port);
  if (!error) {
    socket_->open(address.protocol(), error);
  }
  if (!error) {
    socket_->bind(address, error);
  }
  if (error) {
    return tl::make_unexpected(Error{.code = ErrorCode::kUnavailable,
                                     .message = fmt::format("Can't receive digests at {}: {}.",
                                                            ToString(endpoint), error.message())});
  }
  socket_->non_blocking(true, error);
  // Port 0 lets the system choose one.
  fleet_.settings.peers.port = socket_->local_endpoint().port();
  return {};
}

void PeerDigests::SendDigest() {
  const TimePoint now = BootNow();
  const std::string digest = EncodeDigest(fleet_, now);
  if (digest.size() > kLargestDatagram) {
    kLog.Error("A digest is too large to be sent.", {{"bytes", digest.size()}});
    return;
  }
  for (const auto& [daemon, peer] : peers_) {
    boost::system::error_code error;
    socket_->send_to(asio::buffer(digest), peer.endpoint, 0, error);
    if (error) {
      kLog.Warning("A digest can't be sent.",
                   {{"daemon", daemon.value()}, {"error", error.message()}});
    }
  }
}

void PeerDigests::Expire(TimePoint now) {
  std::erase_if(peers_, [this, now](const auto& peer) {
    const bool gone = now - peer.second.seen > kPeerLifetime;
    if (gone) {
      kLog.Info("A daemon is gone.", {{"daemon", peer.first.value()}});
      fleet_.allowance.ForgetPeer(peer.first);
    }
    return gone;
  });
  fleet_.retries.SetDaemons(daemons());
  fleet_.allowance.SetDaemons(daemons());
  fleet_.digest_interval = std::max(kShortestInterval, kIntervalPerPeer * daemons());
  const Duration silence = std::max(kShortestSilence, kSilentIntervals * fleet_.digest_interval);
  fleet_.allowance.SetPeerSilence(silence);
  fleet_.board.SetReportLifetime(silence);
  fleet_.peers_before = static_cast<int>(std::ranges::count_if(
      peers_, [this](const auto& peer) { return peer.first < fleet_.settings.daemon; }));
}

asio::awaitable<void> PeerDigests::SendLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    SendDigest();
    Expire(BootNow());
    timer.expires_after(fleet_.digest_interval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> PeerDigests::ReceiveLoop() {
  std::string datagram(kLargestDatagram, '\0');
  while (true) {
    udp::endpoint from;
    const auto [error, size] =
        co_await socket_->async_receive_from(asio::buffer(datagram), from, kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // A peer without a listener makes the socket report an error; the next datagram is fine.
      continue;
    }
    const TimePoint now = BootNow();
    const auto sender = ApplyDigest({datagram.data(), size}, fleet_, now);
    if (!sender) {
      kLog.Warning("A datagram is no digest.",
                   {{"from", from.address().to_string()}, {"bytes", size}});
      continue;
    }
    if (sender->daemon == fleet_.settings.daemon) {
      continue;
    }
    if (sender->leaving) {
      peers_.erase(sender->daemon);
      fleet_.allowance.ForgetPeer(sender->daemon);
      continue;
    }
    Peer& peer = peers_[sender->daemon];
    if (peer.endpoint != from) {
      kLog.Info("A daemon was found.",
                {{"daemon", sender->daemon.value()}, {"address", from.address().to_string()}});
      peer.endpoint = from;
    }
    peer.seen = now;
  }
}

void PeerDigests::TakeRow(const std::string& key, const provider::Row& row, TimePoint now) {
  const DaemonId daemon(key.substr(std::string_view(kRowPrefix).size()));
  const Result<Endpoint> endpoint = ParseEndpoint(row.value);
  if (daemon == fleet_.settings.daemon) {
    return;
  }
  if (!endpoint) {
    kLog.Warning("The row of a daemon can't be read.", {{"key", key}, {"value", row.value}});
    return;
  }
  boost::system::error_code error;
  const udp::endpoint address(asio::ip::make_address(endpoint->address, error), endpoint->port);
  if (error) {
    kLog.Warning("The row of a daemon names no address.", {{"key", key}, {"value", row.value}});
    return;
  }
  const auto found = peers_.find(daemon);
  if (found == peers_.end()) {
    peers_.emplace(daemon, Peer{.endpoint = address, .seen = now, .row_version = row.version});
  } else if (found->second.row_version != row.version) {
    found->second.row_version = row.version;
    found->second.seen = now;
  }
}

asio::awaitable<void> PeerDigests::RegisterLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const provider::Transaction registration = {
      .writes = {{.key = kRowPrefix + fleet_.settings.daemon.value(),
                  .value = ToString(fleet_.settings.peers)}}};
  // Versions of rows that were there at the last read: an old row of a daemon that has gone must
  // not bring it back each time.
  std::map<std::string, std::uint64_t> read;
  TimePoint write_at = BootNow();
  TimePoint read_at = write_at;
  int reads = 0;
  while (true) {
    if (!fleet_.draining && BootNow() >= write_at) {
      const provider::CommitStatus status = co_await store_.Commit(registration);
      const bool written = status == provider::CommitStatus::kCommitted;
      write_at = BootNow() + (written ? kRegisterInterval : kFirstReadInterval);
      if (!written) {
        kLog.Warning("This daemon's row can't be written.", {{"status", static_cast<int>(status)}});
      }
    }
    if (BootNow() >= read_at) {
      const auto rows = co_await store_.ReadRows(kRowPrefix);
      if (rows) {
        ++reads;
        for (const auto& [key, row] : *rows) {
          std::uint64_t& version = read[key];
          if (version != row.version) {
            version = row.version;
            TakeRow(key, row, BootNow());
          }
        }
      } else {
        kLog.Warning("The rows of the daemons can't be read.", {{"error", rows.error().message}});
      }
      read_at = BootNow() + (reads < kFirstReads ? kFirstReadInterval : kReadInterval);
    }
    timer.expires_after(std::max(std::min(write_at, read_at) - BootNow(), kShortestInterval));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace savoryglade::gateway
