#pragma once

#include <boost/asio/awaitable.hpp>

#include "daemon/request_handler_context.h"

namespace savoryglade {

// Relays one request to an upstream of a plain service and its answer back.
boost::asio::awaitable<void> HandlePlainRequest(HttpExchange& exchange,
                                                AuthenticatedRequest request,
                                                RequestHandlerContext services);

}  // namespace savoryglade
