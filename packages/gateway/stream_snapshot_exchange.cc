#include "gateway/stream_snapshot_exchange.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

#include "core/boot_clock.h"
#include "gateway/digest_codec.h"
#include "logging/logger.h"
#include "net/http_client.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr Duration kFetchTimeout = 2s;
// Pause between two fetches. The second one after a start includes the streams that began before
// all peers had this daemon's address.
constexpr Duration kFetchInterval = 1s;
constexpr int kMaxAttemptsPerPeer = 3;
constexpr Duration kIdleWait = 1h;

const Logger kLog("streams");

}  // namespace

asio::awaitable<void> StreamSnapshotExchange::HandleRequest(HttpExchange& exchange) const {
  std::string snapshot = EncodeStreamSnapshot(fleet_.stream_versions.MakeSnapshot(BootNow()));
  co_await exchange.Respond(200, ContentType("application/octet-stream"), std::move(snapshot));
}

void StreamSnapshotExchange::OnPeerReturned(const Endpoint& peer) {
  std::erase_if(sources_, [&peer](const Source& source) { return source.peer == peer; });
  sources_.push_back({.peer = peer});
  timer_.cancel();
}

asio::awaitable<bool> StreamSnapshotExchange::Fetch(const Endpoint& peer) {
  const TimePoint requested_at = BootNow();
  HttpRequest request(http::verb::get, std::string(kTarget), 11);
  const Result<HttpResponse> response =
      co_await FetchDocument(peer, std::move(request), kFetchTimeout);
  Result<StreamVersionSnapshot> snapshot = tl::make_unexpected(
      Error{.code = ErrorCode::kNotFound, .message = "The peer has no snapshot."});
  if (!response) {
    snapshot = tl::make_unexpected(response.error());
  } else if (response->result() == http::status::ok) {
    snapshot = DecodeStreamSnapshot(response->body());
  }
  if (!snapshot) {
    kLog.Warning("Fetching the versions of streams from a peer failed.",
                 {{"peer", ToString(peer)}, {"error", snapshot.error().message}});
    co_return false;
  }
  const TimePoint now = BootNow();
  fleet_.stream_versions.OnPeerSnapshot(*snapshot, now - requested_at, now);
  kLog.Info("A peer sent the versions of streams.",
            {{"peer", ToString(peer)},
             {"streams", snapshot->records.size()},
             {"versions", snapshot->versions.size()},
             {"known_ms", snapshot->known_age ? *snapshot->known_age / 1ms : -1}});
  co_return snapshot->known_age.has_value();
}

asio::awaitable<void> StreamSnapshotExchange::Loop() {
  while (true) {
    if (sources_.empty()) {
      timer_.expires_after(kIdleWait);
      co_await timer_.async_wait(kAwait);
      continue;
    }
    Source source = sources_.front();
    sources_.pop_front();
    if (co_await Fetch(source.peer)) {
      // One more snapshot is enough, from the peer that returned last.
      while (sources_.size() > 1) {
        sources_.pop_front();
      }
    } else if (++source.attempts < kMaxAttemptsPerPeer &&
               std::ranges::find(sources_, source.peer, &Source::peer) == sources_.end()) {
      sources_.push_back(source);
    }
    co_await Sleep(kFetchInterval);
  }
}

}  // namespace savoryglade::gateway
