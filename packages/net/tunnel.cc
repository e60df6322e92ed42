#include "net/tunnel.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "net/peer_disconnect_monitor.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kRelayChunkBytes = 8 * 1024;

// Copies bytes until the source ends. Returns true if it ended in order and the target has taken
// all bytes. With a monitor, the bytes of a source that has disconnected are not copied.
asio::awaitable<bool> CopyBytes(beast::tcp_stream& from, beast::tcp_stream& to,
                                PeerDisconnectMonitor* source, const RelayObserver& observer) {
  std::array<char, kRelayChunkBytes> chunk;
  while (true) {
    const auto [read_error, size] = co_await from.async_read_some(asio::buffer(chunk), kAwait);
    if (read_error) {
      co_return read_error == asio::error::eof;
    }
    if (source != nullptr && source->Check()) {
      co_return false;
    }
    if (observer) {
      observer({chunk.data(), size});
    }
    const auto [write_error, written] =
        co_await asio::async_write(to, asio::buffer(chunk.data(), size), kAwait);
    if (write_error) {
      co_return false;
    }
  }
}

// Sets whether closing the connection resets it, also when its lifetime is over.
void SetResetOnClose(beast::tcp_stream& stream, bool reset) {
  beast::error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
}

}  // namespace

asio::awaitable<TunnelReply> OpenTunnel(Endpoint relay, Endpoint target, std::string name,
                                        Duration timeout, Duration lifetime) {
  TunnelReply reply;
  auto connection = co_await HttpConnection::Connect(relay, timeout);
  if (!connection) {
    reply.failure = connection.error().message;
    co_return reply;
  }
  HttpRequest request(http::verb::connect, ToString(target), 11);
  request.set(http::field::host, ToString(target));
  request.set(kTunnelTargetHeader, name);
  request.set(kTunnelLifetimeHeader, std::to_string(lifetime / 1ms));
  const Result<void> sent = co_await (*connection)->Send(request, timeout);
  if (!sent) {
    reply.failure = sent.error().message;
    co_return reply;
  }
  const Result<unsigned> status = co_await (*connection)->ReadHeader(timeout);
  if (!status) {
    reply.failure = status.error().message;
    co_return reply;
  }
  reply.status = *status;
  if (*status == 200) {
    reply.connection = std::move(*connection);
  } else {
    reply.failure = fmt::format("{} answered {} for {}.", ToString(relay), *status, name);
    reply.notice = std::string((*connection)->response_header()[kTunnelNoticeHeader]);
  }
  co_return reply;
}

asio::awaitable<void> RelayBytes(beast::tcp_stream& caller, beast::tcp_stream& target,
                                 Duration lifetime, RelayObserver observer) {
  SetResetOnClose(caller, true);
  SetResetOnClose(target, true);
  caller.expires_after(lifetime);
  target.expires_after(lifetime);
  PeerDisconnectMonitor caller_monitor(caller);
  // A write to a target that does not read would otherwise go on without its caller.
  caller_monitor.OnDisconnect([&target] { target.close(); });
  using asio::experimental::awaitable_operators::operator||;
  const RelayObserver not_observed;
  const auto ended = co_await (CopyBytes(caller, target, &caller_monitor, not_observed) ||
                               CopyBytes(target, caller, nullptr, observer));
  const bool target_ended = ended.index() == 1 && std::get<1>(ended);
  if (target_ended) {
    SetResetOnClose(caller, false);
    beast::error_code ignored;
    caller.socket().shutdown(tcp::socket::shutdown_send, ignored);
  } else {
    caller.close();
  }
  target.close();
}

}  // namespace savoryglade
