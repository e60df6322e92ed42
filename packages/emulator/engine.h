#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "core/time.h"
#include "net/http_server.h"

namespace savoryglade {

// Speed of an emulated engine.
struct EngineOptions {
  Duration first_token = 20ms;
  Duration between_tokens = 5ms;
};

// Emulated model engine: generates words that depend only on prompt, seed and position, so that
// every engine gives the same answer to the same request.
class Engine {
 public:
  explicit Engine(EngineOptions options) : options_(options) {}

  // Answers one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Returns the word at a position of an answer.
  static std::string TokenAt(const std::string& prompt, const std::string& seed,
                             std::int64_t position);

 private:
  boost::asio::awaitable<void> Generate(HttpExchange& exchange);

  EngineOptions options_;
};

}  // namespace savoryglade
