#pragma once

#include <boost/asio/awaitable.hpp>

#include "daemon/chat_request.h"
#include "daemon/request_handler_context.h"

namespace savoryglade {

// Answers a chat completion: queues it, runs it at a model engine and relays the tokens, as
// server-sent events if the caller asks for a stream, else as one JSON answer. An attempt that
// fails is continued at another engine, and a caller that comes back with Last-Event-ID gets the
// rest of its answer.
boost::asio::awaitable<void> HandleModelRequest(HttpExchange& exchange,
                                                AuthenticatedRequest request, ChatRequest chat,
                                                RequestHandlerContext services);

}  // namespace savoryglade
