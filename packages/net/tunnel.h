#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"
#include "net/endpoint.h"
#include "net/http_client.h"

namespace savoryglade {

// Reply to a request for a tunnel.
struct TunnelReply {
  // Connection to the target, or null.
  std::unique_ptr<HttpConnection> connection;
  // Status of the relay's response; zero if none arrived in time.
  unsigned status = 0;
  // Why there is no connection.
  std::string failure;
  // Value of kTunnelNoticeHeader; empty if there is none.
  std::string notice;
};

// Statuses with which a relay rejects a tunnel because of the target alone: the target wants no
// requests now or leaves, or the relay does not know it.
inline constexpr unsigned kTunnelUnwantedStatus = 429;
inline constexpr unsigned kTunnelUnknownStatus = 404;

// Asks a relay with HTTP CONNECT for a connection to the target, which the relay knows by this
// name. The timeout applies to the connection to the relay and to its response.
// The relay keeps the tunnel open for the lifetime at most.
boost::asio::awaitable<TunnelReply> OpenTunnel(Endpoint relay, Endpoint target, std::string name,
                                               Duration timeout, Duration lifetime);

// Headers with the name of a tunnel's target and with its lifetime in milliseconds.
inline constexpr const char* kTunnelTargetHeader = "Savoryglade-Upstream";
inline constexpr const char* kTunnelLifetimeHeader = "Savoryglade-Lifetime-Ms";

// Header of a rejection with the key of the target's process, in hexadecimal, if that has said that
// it leaves.
inline constexpr const char* kTunnelNoticeHeader = "Savoryglade-Notice";

// Receives bytes of the target before they are passed on to the caller.
using RelayObserver = std::function<void(std::string_view)>;

// Relays bytes in both directions until one side ends or the lifetime is over. An orderly end of
// the target is passed on after all bytes; any other end resets the other side, so that a response
// that ends with its connection does not look complete. Once the caller has disconnected, nothing
// more is passed on to the target.
boost::asio::awaitable<void> RelayBytes(boost::beast::tcp_stream& caller,
                                        boost::beast::tcp_stream& target, Duration lifetime,
                                        RelayObserver observer = {});

}  // namespace savoryglade
