#include "emulator/engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <iterator>
#include <optional>
#include <utility>

#include "net/log_exception.h"
#include "net/peer_disconnect_monitor.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Bounds the time that one stream occupies its worker thread.
constexpr std::int64_t kMaxEventsPerWrite = 64;

struct FaultName {
  std::string_view name;
  EngineFault fault;
};

constexpr std::array kFaultNames = {
    FaultName{"crash", EngineFault::kCrash},
    FaultName{"stall", EngineFault::kStall},
    FaultName{"silent_connections", EngineFault::kSilentConnections},
    FaultName{"refuse", EngineFault::kRefuse},
    FaultName{"repeat_events", EngineFault::kRepeatEvents},
    FaultName{"cross_events", EngineFault::kCrossEvents},
    FaultName{"late_events", EngineFault::kLateEvents},
};

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::optional<json::object> ParseObject(const std::string& body) {
  json::error_code error;
  json::value document = json::parse(body, error);
  if (error || !document.is_object()) {
    return std::nullopt;
  }
  return std::move(document.get_object());
}

std::string GetString(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t GetInteger(const json::object& object, std::string_view name,
                        std::int64_t fallback = 0) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
}

asio::awaitable<void> RespondWithText(HttpExchange& exchange, unsigned status, std::string text) {
  HttpHeaders headers = ContentType("text/plain");
  co_await exchange.Respond(status, std::move(headers), std::move(text));
}

asio::awaitable<void> RespondWithJson(HttpExchange& exchange, const json::object& object) {
  HttpHeaders headers = ContentType("application/json");
  co_await exchange.Respond(200, std::move(headers), json::serialize(object));
}

void AppendEvent(std::string_view generation, std::int64_t position, std::string_view token,
                 std::string& text) {
  fmt::format_to(std::back_inserter(text),
                 "data: {{\"generation\":\"{}\",\"position\":{},\"token\":\"{}\"}}\n\n", generation,
                 position, token);
}

}  // namespace

EngineFault ParseEngineFault(std::string_view name) {
  for (const FaultName& entry : kFaultNames) {
    if (entry.name == name) {
      return entry.fault;
    }
  }
  return EngineFault::kNone;
}

// Wakes a coroutine that waits for further tokens. Runs on the executor of that coroutine.
struct Engine::StreamReader : GenerationReader, std::enable_shared_from_this<Engine::StreamReader> {
  explicit StreamReader(const asio::any_io_executor& executor) : timer(executor) {}

  void Wake() override {
    asio::dispatch(timer.get_executor(), [self = shared_from_this()] { self->timer.cancel(); });
  }

  asio::steady_timer timer;
};

// Next part of a stream, or the reason why nothing is sent.
struct Engine::StreamChunk {
  std::string text;
  // Position after the last token in the text.
  std::int64_t position = 0;
  bool finished = false;
  bool aborted = false;
  bool silent = false;
};

std::string Engine::TokenAt(const std::string& prompt, const std::string& seed,
                            std::int64_t position) {
  return std::string(EngineState::TokenAt(EngineState::TokenSeed(prompt, seed), position));
}

EngineCounts Engine::counts() const {
  const std::lock_guard lock(mutex_);
  return state_.counts();
}

void Engine::SetFault(EngineFault fault, std::int64_t at_position) {
  const std::lock_guard lock(mutex_);
  pending_fault_ = at_position < 0 ? EngineFault::kNone : fault;
  pending_position_ = at_position;
  if (at_position < 0) {
    ActivateFault(fault);
  }
}

void Engine::ActivateFault(EngineFault fault) {
  pending_fault_ = EngineFault::kNone;
  fault_ = fault;
  if (fault == EngineFault::kCrash) {
    state_.Reset();
  }
  if (fault == EngineFault::kSilentConnections) {
    last_silenced_connection_id_ = latest_connection_id_;
  }
  for (const auto& weak_reader : std::exchange(silenced_readers_, {})) {
    if (const auto reader = weak_reader.lock()) {
      reader->Wake();
    }
  }
}

bool Engine::IsSilent(const HttpExchange& exchange) const {
  return fault_ == EngineFault::kStall || exchange.connection_id() <= last_silenced_connection_id_;
}

asio::awaitable<void> Engine::Handle(HttpExchange& exchange) {
  bool crashed = false;
  bool silent = false;
  {
    const std::lock_guard lock(mutex_);
    latest_connection_id_ = std::max(latest_connection_id_, exchange.connection_id());
    crashed = fault_ == EngineFault::kCrash;
    silent = IsSilent(exchange);
  }
  if (exchange.target() == "/fault") {
    co_await HandleFault(exchange);
  } else if (crashed) {
    exchange.Abort();
  } else if (!silent || co_await WaitWhileSilent(exchange)) {
    co_await Route(exchange);
  }
}

asio::awaitable<void> Engine::Route(HttpExchange& exchange) {
  using Method = asio::awaitable<void> (Engine::*)(HttpExchange&);
  struct Entry {
    std::string_view path;
    Method method;
  };
  static constexpr std::array kRoutes = {
      Entry{"/generate", &Engine::Generate},
      Entry{"/resume", &Engine::Resume},
      Entry{"/cancel", &Engine::Cancel},
      Entry{"/load", &Engine::ReportLoad},
      Entry{"/cache_events", &Engine::ListCacheEvents},
      Entry{"/orders", &Engine::HandleOrder},
      Entry{"/kv/export", &Engine::ExportCache},
      Entry{"/kv/import", &Engine::ImportCache},
  };
  const std::string_view path = exchange.target().substr(0, exchange.target().find('?'));
  for (const Entry& entry : kRoutes) {
    if (entry.path == path) {
      co_await (this->*entry.method)(exchange);
      co_return;
    }
  }
  const bool health = path == "/health";
  co_await RespondWithText(exchange, health ? 200 : 404, health ? "ok\n" : "no such resource\n");
}

// Waits until the connection is no longer silenced by a fault. Returns false if the engine crashed
// or the peer closed the connection first.
asio::awaitable<bool> Engine::WaitWhileSilent(HttpExchange& exchange) {
  const auto reader = std::make_shared<StreamReader>(co_await asio::this_coro::executor);
  PeerDisconnectMonitor monitor(exchange.stream());
  monitor.OnDisconnect([&reader] { reader->timer.cancel(); });
  while (!monitor.disconnected()) {
    {
      const std::lock_guard lock(mutex_);
      if (fault_ == EngineFault::kCrash) {
        break;
      }
      if (!IsSilent(exchange)) {
        co_return true;
      }
      silenced_readers_.push_back(reader);
    }
    reader->timer.expires_at(TimePoint::max());
    co_await reader->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  exchange.Abort();
  co_return false;
}

asio::awaitable<void> Engine::HandleFault(HttpExchange& exchange) {
  const auto object = ParseObject(exchange.request().body());
  if (!object) {
    co_await RespondWithText(exchange, 400, "expected a JSON object\n");
    co_return;
  }
  SetFault(ParseEngineFault(GetString(*object, "kind")), GetInteger(*object, "at_position", -1));
  co_await RespondWithText(exchange, 200, "ok\n");
}

asio::awaitable<void> Engine::EnsureStepLoop() {
  {
    const std::lock_guard lock(mutex_);
    if (step_loop_running_) {
      co_return;
    }
    step_loop_running_ = true;
  }
  asio::co_spawn(co_await asio::this_coro::executor, StepLoop(), LogException("engine steps"));
}

asio::awaitable<void> Engine::StepLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  TimePoint next = Now();
  while (true) {
    next = std::max(next + options_.step_interval, Now() - options_.step_interval);
    timer.expires_at(next);
    co_await timer.async_wait(asio::use_awaitable);
    const std::lock_guard lock(mutex_);
    if (fault_ != EngineFault::kStall) {
      state_.Step(Now());
    }
  }
}

asio::awaitable<void> Engine::Generate(HttpExchange& exchange) {
  const auto object = ParseObject(exchange.request().body());
  if (!object) {
    co_await RespondWithText(exchange, 400, "expected a JSON object\n");
    co_return;
  }
  GenerationRequest request{.id = GetString(*object, "generation"),
                            .prompt = GetString(*object, "prompt"),
                            .seed = GetString(*object, "seed"),
                            .known_text = GetString(*object, "known_text"),
                            .start_position = GetInteger(*object, "position"),
                            .max_tokens = GetInteger(*object, "max_tokens"),
                            .priority = GetInteger(*object, "priority")};
  const std::int64_t position = request.start_position;
  std::shared_ptr<Generation> generation;
  {
    const std::lock_guard lock(mutex_);
    if (fault_ != EngineFault::kRefuse) {
      generation = state_.Submit(std::move(request), Now());
    }
  }
  if (!generation) {
    HttpHeaders headers = ContentType("text/plain");
    headers.emplace_back("Savoryglade-Verdict", "not_run");
    co_await exchange.Respond(503, std::move(headers), "refused\n");
    co_return;
  }
  co_await EnsureStepLoop();
  co_await Stream(exchange, std::move(generation), position);
}

asio::awaitable<void> Engine::Resume(HttpExchange& exchange) {
  const auto object = ParseObject(exchange.request().body());
  const std::int64_t position = object ? GetInteger(*object, "position") : 0;
  std::shared_ptr<Generation> generation;
  if (object) {
    const std::lock_guard lock(mutex_);
    generation = state_.Find(GetString(*object, "generation"));
    if (generation && (generation->cancelled || position < generation->request.start_position)) {
      generation = nullptr;
    }
    state_.counts().resumed += generation ? 1 : 0;
  }
  if (!generation) {
    co_await RespondWithText(exchange, 404, "no such generation\n");
    co_return;
  }
  co_await EnsureStepLoop();
  co_await Stream(exchange, std::move(generation), position);
}

void Engine::AppendToken(const Generation& generation, std::int64_t position,
                         std::string& text) const {
  const std::string_view token = EngineState::TokenAt(generation.token_seed, position);
  const std::string& id = generation.request.id;
  if (fault_ == EngineFault::kCrossEvents) {
    AppendEvent("crossed", position, "crossed", text);
  }
  if (fault_ == EngineFault::kLateEvents) {
    AppendEvent(id, position - 1, "late", text);
  }
  AppendEvent(id, position, token, text);
  if (fault_ == EngineFault::kRepeatEvents) {
    AppendEvent(id, position, token, text);
  }
}

Engine::StreamChunk Engine::NextChunk(HttpExchange& exchange, Generation& generation,
                                      std::int64_t first, std::int64_t position) {
  StreamChunk chunk{.position = position};
  const std::lock_guard lock(mutex_);
  chunk.aborted = generation.cancelled;
  chunk.silent = IsSilent(exchange);
  if (chunk.aborted || chunk.silent) {
    return chunk;
  }
  std::int64_t end = std::min(generation.next_position, position + kMaxEventsPerWrite);
  const bool fault_pending = pending_fault_ != EngineFault::kNone && first < pending_position_;
  if (fault_pending) {
    end = std::min(end, pending_position_);
  }
  for (; chunk.position < end; ++chunk.position) {
    AppendToken(generation, chunk.position, chunk.text);
  }
  if (fault_pending && position >= pending_position_) {
    ActivateFault(pending_fault_);
    chunk.aborted = generation.cancelled;
    chunk.silent = IsSilent(exchange);
    return chunk;
  }
  if (generation.complete() && chunk.position >= generation.next_position) {
    chunk.finished = true;
    fmt::format_to(std::back_inserter(chunk.text),
                   "data: {{\"generation\":\"{}\",\"position\":{},\"done\":true,"
                   "\"prompt_tokens\":{},\"cached_tokens\":{}}}\n\n",
                   generation.request.id, chunk.position, generation.prompt_tokens,
                   generation.cached_tokens);
  }
  return chunk;
}

asio::awaitable<void> Engine::Stream(HttpExchange& exchange, std::shared_ptr<Generation> generation,
                                     std::int64_t position) {
  const std::int64_t first = position;
  const auto reader = std::make_shared<StreamReader>(co_await asio::this_coro::executor);
  {
    const std::lock_guard lock(mutex_);
    state_.AddReader(*generation, reader);
  }
  HttpHeaders headers = ContentType("text/event-stream");
  bool open = co_await exchange.StartStream(200, std::move(headers));
  while (open) {
    const StreamChunk chunk = NextChunk(exchange, *generation, first, position);
    if (chunk.aborted) {
      exchange.Abort();
      break;
    }
    if (chunk.silent) {
      open = co_await WaitWhileSilent(exchange);
      continue;
    }
    if (!chunk.text.empty()) {
      position = chunk.position;
      open = co_await exchange.WriteChunk(chunk.text);
      if (open && chunk.finished) {
        co_await exchange.EndStream();
        break;
      }
      continue;
    }
    reader->timer.expires_after(options_.keep_alive_interval);
    const auto [error] = co_await reader->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!error) {
      bool silent = false;
      {
        const std::lock_guard lock(mutex_);
        silent = IsSilent(exchange);
      }
      if (!silent) {
        open = co_await exchange.WriteChunk(": keep-alive\n\n");
      }
    }
  }
  const std::lock_guard lock(mutex_);
  state_.RemoveReader(*generation, Now());
}

asio::awaitable<void> Engine::Cancel(HttpExchange& exchange) {
  const auto object = ParseObject(exchange.request().body());
  bool cancelled = false;
  if (object) {
    const std::lock_guard lock(mutex_);
    cancelled = state_.Cancel(GetString(*object, "generation"));
  }
  const json::object response = {{"cancelled", cancelled}};
  co_await RespondWithJson(exchange, response);
}

asio::awaitable<void> Engine::ReportLoad(HttpExchange& exchange) {
  std::string report;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = Now();
    const double used = state_.cache().capacity() == 0
                            ? 0
                            : static_cast<double>(state_.cache().size()) /
                                  static_cast<double>(state_.cache().capacity());
    const std::string current =
        json::serialize(json::object{{"running", state_.running()},
                                     {"waiting", state_.waiting()},
                                     {"kv_used_fraction", used},
                                     {"generated_tokens", state_.counts().generated_tokens},
                                     {"prefilled_tokens", state_.counts().prefilled_tokens}});
    // With an interval, the response is the report of the last refresh, not the current load.
    const bool refresh =
        load_report_.empty() || now - load_report_time_ >= options_.load_report_interval;
    report = load_report_.empty() || options_.load_report_interval == Duration::zero()
                 ? current
                 : load_report_;
    if (refresh) {
      load_report_ = current;
      load_report_time_ = now;
    }
  }
  HttpHeaders headers = ContentType("application/json");
  co_await exchange.Respond(200, std::move(headers), std::move(report));
}

asio::awaitable<void> Engine::ListCacheEvents(HttpExchange& exchange) {
  static constexpr std::string_view kAfter = "?after=";
  std::uint64_t after = 0;
  const std::string_view target = exchange.target();
  if (const std::size_t at = target.find(kAfter); at != std::string_view::npos) {
    std::from_chars(target.data() + at + kAfter.size(), target.data() + target.size(), after);
  }
  json::array events;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint until = Now() - options_.cache_event_delay;
    for (const PrefixCacheEvent& event : state_.cache().EventsAfter(after, until)) {
      events.emplace_back(json::object{{"sequence", event.sequence},
                                       {"kind", event.stored ? "stored" : "removed"},
                                       {"block", fmt::format("{:016x}", event.block)}});
    }
  }
  const json::object response = {{"events", std::move(events)}};
  co_await RespondWithJson(exchange, response);
}

asio::awaitable<void> Engine::HandleOrder(HttpExchange& exchange) {
  const auto object = ParseObject(exchange.request().body());
  const bool valid =
      object && !GetString(*object, "name").empty() && GetInteger(*object, "fencing") >= 0;
  if (!valid) {
    co_await RespondWithText(exchange, 400, "expected name, value and fencing\n");
    co_return;
  }
  json::object response;
  bool accepted = false;
  {
    const std::lock_guard lock(mutex_);
    accepted = state_.ApplyOrder(GetString(*object, "name"), GetString(*object, "value"),
                                 static_cast<std::uint64_t>(GetInteger(*object, "fencing")));
    response["accepted"] = accepted;
    response["highest_fencing"] = state_.highest_fencing();
    json::object in_force;
    for (const auto& [name, value] : state_.orders()) {
      in_force[name] = value;
    }
    response["in_force"] = std::move(in_force);
  }
  HttpHeaders headers = ContentType("application/json");
  co_await exchange.Respond(accepted ? 200 : 409, std::move(headers), json::serialize(response));
}

asio::awaitable<void> Engine::ExportCache(HttpExchange& exchange) {
  const auto object = ParseObject(exchange.request().body());
  std::string blob;
  if (object) {
    const std::lock_guard lock(mutex_);
    blob = state_.Export(GetString(*object, "generation"));
  }
  HttpHeaders headers = ContentType("application/octet-stream");
  co_await exchange.Respond(blob.empty() ? 404 : 200, std::move(headers), std::move(blob));
}

asio::awaitable<void> Engine::ImportCache(HttpExchange& exchange) {
  bool imported = false;
  {
    const std::lock_guard lock(mutex_);
    imported = state_.Import(exchange.request().body(), Now());
  }
  if (imported) {
    co_await EnsureStepLoop();
  }
  co_await RespondWithText(exchange, imported ? 200 : 400, imported ? "ok\n" : "invalid state\n");
}

}  // namespace savoryglade
