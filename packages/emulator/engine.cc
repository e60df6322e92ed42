#include "emulator/engine.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <string_view>

#include "core/random.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::array<std::string_view, 16> kWords = {
    "check",   "the",     "shutter", "blades", "for", "oil",  "then", "set",
    "curtain", "tension", "to",      "spec",   "and", "test", "each", "speed"};

// FNV-1a, which is stable over platforms, unlike std::hash.
std::uint64_t Hash(std::string_view text, std::uint64_t hash = 14695981039346656037ULL) {
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

std::string StringField(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t IntegerField(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

}  // namespace

std::string Engine::TokenAt(const std::string& prompt, const std::string& seed,
                            std::int64_t position) {
  const std::uint64_t seed_hash = Hash(seed, Hash(prompt)) + static_cast<std::uint64_t>(position);
  return fmt::format("{} ", kWords[Random(seed_hash).Below(kWords.size())]);
}

asio::awaitable<void> Engine::Handle(HttpExchange& exchange) {
  if (exchange.target() == "/generate") {
    co_await Generate(exchange);
    co_return;
  }
  if (exchange.target() == "/health") {
    co_await exchange.Respond(200, ContentType("text/plain"), "ok\n");
    co_return;
  }
  co_await exchange.Respond(404, ContentType("text/plain"), "no such resource\n");
}

asio::awaitable<void> Engine::Generate(HttpExchange& exchange) {
  json::error_code error;
  const json::value document = json::parse(exchange.request().body(), error);
  const json::object* object = error ? nullptr : document.if_object();
  if (object == nullptr) {
    co_await exchange.Respond(400, ContentType("text/plain"), "expected a JSON object\n");
    co_return;
  }
  const std::string generation = StringField(*object, "generation");
  const std::string prompt = StringField(*object, "prompt");
  const std::string seed = StringField(*object, "seed");
  const std::int64_t count = IntegerField(*object, "max_tokens");
  if (!co_await exchange.StartStream(200, ContentType("text/event-stream"))) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (std::int64_t position = 0; position < count; ++position) {
    timer.expires_after(position == 0 ? options_.first_token : options_.between_tokens);
    co_await timer.async_wait(asio::use_awaitable);
    const json::object event = {{"generation", generation},
                                {"position", position},
                                {"token", TokenAt(prompt, seed, position)}};
    if (!co_await exchange.WriteChunk(fmt::format("data: {}\n\n", json::serialize(event)))) {
      co_return;
    }
  }
  const json::object end = {{"generation", generation}, {"position", count}, {"done", true}};
  if (co_await exchange.WriteChunk(fmt::format("data: {}\n\n", json::serialize(end)))) {
    co_await exchange.EndStream();
  }
}

}  // namespace savoryglade
