#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/error.h"
#include "net/endpoint.h"

namespace savoryglade {

// Opens a TCP listener. The error code is kUnavailable and the message names the endpoint.
Result<boost::asio::ip::tcp::acceptor> OpenAcceptor(boost::asio::io_context& context,
                                                    const Endpoint& endpoint);

}  // namespace savoryglade
