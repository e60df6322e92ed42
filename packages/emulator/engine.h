#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "emulator/engine_state.h"
#include "net/http_server.h"

namespace savoryglade {

// Faults that can be injected into an emulated engine.
enum class EngineFault {
  kNone,
  // Drops all generations and the cache, and closes all connections without a response.
  kCrash,
  // Keeps connections open, but generates no tokens and sends no responses.
  kStall,
  // Sends nothing on the connections opened so far; new connections work.
  kSilentConnections,
  // Responds to new requests with 503 and the verdict not_run.
  kRefuse,
  // Sends each event twice.
  kRepeatEvents,
  // Sends an event of another generation before each event.
  kCrossEvents,
  // Sends an event with an earlier position before each event, also in resumed streams.
  kLateEvents,
};

// Returns the fault with a name such as "silent_connections", or kNone if the name is unknown.
EngineFault ParseEngineFault(std::string_view name);

// Emulated model engine with an HTTP interface. Tokens depend only on prompt, seed and position, so
// that every engine returns the same response to the same request. Thread-safe.
class Engine {
 public:
  explicit Engine(EngineOptions options) : options_(options), state_(options) {}

  // Responds to one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Activates a fault at once or, if at_position is not negative, when a stream that started before
  // that position has sent all tokens up to it. kNone ends the fault and restarts a crashed engine.
  void SetFault(EngineFault fault, std::int64_t at_position = -1);

  EngineCounts counts() const;

  // Returns the token at a position of a generation.
  static std::string TokenAt(const std::string& prompt, const std::string& seed,
                             std::int64_t position);

 private:
  struct StreamReader;
  struct StreamChunk;

  boost::asio::awaitable<void> Route(HttpExchange& exchange);
  boost::asio::awaitable<void> Generate(HttpExchange& exchange);
  boost::asio::awaitable<void> Resume(HttpExchange& exchange);
  boost::asio::awaitable<void> Cancel(HttpExchange& exchange);
  boost::asio::awaitable<void> ReportLoad(HttpExchange& exchange);
  boost::asio::awaitable<void> ListCacheEvents(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleOrder(HttpExchange& exchange);
  boost::asio::awaitable<void> ExportCache(HttpExchange& exchange);
  boost::asio::awaitable<void> ImportCache(HttpExchange& exchange);
  boost::asio::awaitable<void> HandleFault(HttpExchange& exchange);
  boost::asio::awaitable<void> Stream(HttpExchange& exchange,
                                      std::shared_ptr<Generation> generation,
                                      std::int64_t position);
  boost::asio::awaitable<void> StepLoop();
  boost::asio::awaitable<bool> WaitWhileSilent(HttpExchange& exchange);
  boost::asio::awaitable<void> EnsureStepLoop();

  StreamChunk NextChunk(HttpExchange& exchange, Generation& generation, std::int64_t first,
                        std::int64_t position);
  void AppendToken(const Generation& generation, std::int64_t position, std::string& text) const;
  void ActivateFault(EngineFault fault);
  bool IsSilent(const HttpExchange& exchange) const;

  const EngineOptions options_;
  mutable std::mutex mutex_;
  EngineState state_;
  bool step_loop_running_ = false;
  // Handlers that wait for a fault to end; woken when the fault changes.
  std::vector<std::weak_ptr<GenerationReader>> silenced_readers_;
  EngineFault fault_ = EngineFault::kNone;
  // Fault to activate once a stream reaches pending_position_.
  EngineFault pending_fault_ = EngineFault::kNone;
  std::int64_t pending_position_ = -1;
  std::uint64_t latest_connection_id_ = 0;
  // Connections with ids up to this one are silent.
  std::uint64_t last_silenced_connection_id_ = 0;
  std::string load_report_;
  TimePoint load_report_time_;
};

}  // namespace savoryglade
