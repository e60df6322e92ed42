#pragma once

#include <boost/asio/awaitable.hpp>

#include "daemon/request_handler_context.h"

namespace savoryglade {

// Handles a request of a plain service: forwards it to an upstream and relays the response.
boost::asio::awaitable<void> HandlePlainRequest(HttpExchange& exchange,
                                                AuthenticatedRequest request,
                                                RequestHandlerContext context);

}  // namespace savoryglade
