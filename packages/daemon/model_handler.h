#pragma once

#include <boost/asio/awaitable.hpp>

#include "daemon/chat_request.h"
#include "daemon/request_handler_context.h"

namespace savoryglade {

// Handles a chat completion request: queues it, runs it at a model engine and relays the tokens, as
// server-sent events if the caller asks for a stream, else as one JSON response. A failed attempt
// is continued at another engine. A caller that reconnects with Last-Event-ID gets the rest of its
// stream.
boost::asio::awaitable<void> HandleModelRequest(HttpExchange& exchange,
                                                AuthenticatedRequest request, ChatRequest chat,
                                                RequestHandlerContext context);

}  // namespace savoryglade
