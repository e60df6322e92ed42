#include "emulator/plain_service.h"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <string>

namespace savoryglade {

boost::asio::awaitable<void> PlainService::Handle(HttpExchange& exchange) {
  if (exchange.target() == "/health") {
    co_await exchange.Respond(200, ContentType("text/plain"), "ok\n");
    co_return;
  }
  const boost::json::object answer = {{"method", std::string(exchange.request().method_string())},
                                      {"path", std::string(exchange.target())},
                                      {"body", exchange.request().body()},
                                      {"runs", runs_.fetch_add(1) + 1}};
  co_await exchange.Respond(200, ContentType("application/json"),
                            boost::json::serialize(answer) + "\n");
}

}  // namespace savoryglade
