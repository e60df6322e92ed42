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

// Faults that an emulated engine shows on command.
enum class EngineFault {
  kNone,
  // All connections end, all state is lost, and new ones are closed without answer.
  kCrash,
  // Nothing is generated or answered, while connections stay open.
  kStall,
  // The connections opened so far become silent; new ones work.
  kSilentConnections,
  // New requests get 503 with the statement that they did not run.
  kRefuse,
  // Each event is sent twice.
  kRepeatEvents,
  // Each event is preceded by one of another generation.
  kCrossEvents,
  // Each event is preceded by one with an earlier position, also when resumed.
  kLateEvents,
};

// Returns the fault of a name such as "silent_connections"; kNone if there is none of that name.
EngineFault ParseEngineFault(std::string_view name);

// Emulated model engine: generates words that depend only on prompt, seed and position, so that
// every engine gives the same answer to the same request. Safe to use from all workers.
class Engine {
 public:
  explicit Engine(EngineOptions options) : options_(options), state_(options) {}

  // Answers one HTTP request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Shows a fault from now on, or, with a position, once a stream that began before that position
  // has delivered all tokens up to it. kNone ends a fault, so that a crashed engine starts again.
  void SetFault(EngineFault fault, std::int64_t at_position = -1);

  EngineCounts counts() const;

  // Returns the word at a position of an answer.
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
  // Handlers that a fault keeps silent.
  std::vector<std::weak_ptr<GenerationReader>> silenced_readers_;
  EngineFault fault_ = EngineFault::kNone;
  EngineFault pending_fault_ = EngineFault::kNone;
  std::int64_t pending_position_ = -1;
  std::uint64_t latest_connection_id_ = 0;
  std::uint64_t last_silenced_connection_id_ = 0;
  std::string load_report_;
  TimePoint load_report_time_;
};

}  // namespace savoryglade
