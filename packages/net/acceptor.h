#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/error.h"
#include "net/endpoint.h"

namespace savoryglade {

// Opens a listening TCP socket. Returns kUnavailable with the endpoint in the message on failure.
Result<boost::asio::ip::tcp::acceptor> OpenAcceptor(boost::asio::io_context& context,
                                                    const Endpoint& endpoint);

}  // namespace savoryglade
