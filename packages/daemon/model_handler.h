#pragma once

#include <boost/asio/awaitable.hpp>

#include "daemon/caller_context.h"

namespace savoryglade {

// Answers a chat completion: queues it, runs it at a model engine and relays the tokens, as
// server-sent events if the caller asks for a stream, else as one JSON answer.
boost::asio::awaitable<void> HandleModelRequest(HttpExchange& exchange, CallerRequest request,
                                                CallerServices services);

}  // namespace savoryglade
