#pragma once

#include <boost/asio/awaitable.hpp>

#include "daemon/caller_context.h"

namespace savoryglade {

// Relays one request to an upstream of a plain service and its answer back.
boost::asio::awaitable<void> HandlePlainRequest(HttpExchange& exchange, CallerRequest request,
                                                CallerServices services);

}  // namespace savoryglade
