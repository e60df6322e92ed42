#include "daemon/model_handler.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "config/account_keys.h"
#include "net/http_client.h"
#include "net/sse_reader.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

constexpr Duration kConnectTimeout = 1s;
constexpr Duration kSendTimeout = 5s;
// An engine that sends nothing for this long is taken for lost.
constexpr Duration kSilenceTimeout = 10s;
constexpr int kDefaultMaxTokens = 256;
constexpr double kSecondsPerToken = 0.02;

// What a caller asks of a model.
struct ChatRequest {
  std::string model;
  std::string prompt;
  int max_tokens = kDefaultMaxTokens;
  bool stream = false;
};

// One event of an engine's stream.
struct EngineEvent {
  std::string generation;
  std::int64_t position = 0;
  std::string token;
  bool done = false;
};

std::optional<ChatRequest> ParseChatRequest(const std::string& body) {
  json::error_code error;
  const json::value document = json::parse(body, error);
  if (error || !document.is_object()) {
    return std::nullopt;
  }
  const json::object& object = document.get_object();
  const json::value* model = object.if_contains("model");
  const json::value* messages = object.if_contains("messages");
  if (model == nullptr || !model->is_string() || messages == nullptr || !messages->is_array()) {
    return std::nullopt;
  }
  ChatRequest request{.model = std::string(model->get_string())};
  for (const json::value& message : messages->get_array()) {
    const json::object* fields = message.if_object();
    const json::value* content = fields == nullptr ? nullptr : fields->if_contains("content");
    if (content == nullptr || !content->is_string()) {
      return std::nullopt;
    }
    request.prompt += std::string_view(content->get_string());
    request.prompt += '\n';
  }
  if (const json::value* limit = object.if_contains("max_tokens")) {
    if (!limit->is_int64() || limit->get_int64() < 1 || limit->get_int64() > 1'000'000) {
      return std::nullopt;
    }
    request.max_tokens = static_cast<int>(limit->get_int64());
  }
  if (const json::value* stream = object.if_contains("stream")) {
    request.stream = stream->is_bool() && stream->get_bool();
  }
  return request;
}

std::optional<EngineEvent> ParseEngineEvent(std::string_view data) {
  json::error_code error;
  const json::value document = json::parse(json::string_view(data.data(), data.size()), error);
  const json::object* object = error ? nullptr : document.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* generation = object->if_contains("generation");
  const json::value* position = object->if_contains("position");
  if (generation == nullptr || !generation->is_string() || position == nullptr ||
      !position->is_int64()) {
    return std::nullopt;
  }
  EngineEvent event{.generation = std::string(generation->get_string()),
                    .position = position->get_int64()};
  if (const json::value* token = object->if_contains("token"); token != nullptr) {
    event.token = token->is_string() ? std::string(token->get_string()) : "";
  }
  event.done = object->contains("done");
  return event;
}

// Delivers the tokens of one answer to its caller.
class AnswerWriter {
 public:
  AnswerWriter(HttpExchange& exchange, const RequestKey& key, const ChatRequest& chat)
      : exchange_(exchange), key_(key), chat_(chat) {}

  bool started() const { return started_; }

  // Adds a token to the pending output.
  void Add(const EngineEvent& event) {
    if (!chat_.stream) {
      text_ += event.token;
      return;
    }
    // "created" is zero so that an answer resumed through another daemon is equal byte for byte.
    text_ += fmt::format(
        "id: {0}:{1}\ndata: {{\"id\":\"{0}\",\"object\":\"chat.completion.chunk\",\"created\":0,"
        "\"model\":{2},\"choices\":[{{\"index\":0,\"delta\":{{\"content\":{3}}},"
        "\"finish_reason\":null}}]}}\n\n",
        key_.value(), event.position, json::serialize(json::string(chat_.model)),
        json::serialize(json::string(event.token)));
  }

  // Sends what is pending. Returns false if the caller is gone.
  asio::awaitable<bool> Flush() {
    if (!chat_.stream || text_.empty()) {
      co_return true;
    }
    if (!started_) {
      started_ = true;
      HttpHeaders headers = ContentType("text/event-stream");
      headers.emplace_back("Cache-Control", "no-store");
      headers.emplace_back("Savoryglade-Request", key_.value());
      if (!co_await exchange_.StartStream(200, std::move(headers))) {
        co_return false;
      }
    }
    const bool written = co_await exchange_.WriteChunk(text_);
    text_.clear();
    co_return written;
  }

  // Ends a whole answer.
  asio::awaitable<void> Finish() {
    if (chat_.stream) {
      text_ += "data: [DONE]\n\n";
      if (co_await Flush()) {
        co_await exchange_.EndStream();
      }
      co_return;
    }
    json::object message = {{"role", "assistant"}, {"content", text_}};
    json::object choice = {
        {"index", 0}, {"message", std::move(message)}, {"finish_reason", "stop"}};
    const json::object answer = {{"id", key_.value()},
                                 {"object", "chat.completion"},
                                 {"created", 0},
                                 {"model", chat_.model},
                                 {"choices", json::array{std::move(choice)}}};
    HttpHeaders headers = ContentType("application/json");
    headers.emplace_back("Savoryglade-Request", key_.value());
    headers.emplace_back("Savoryglade-Verdict", "ran");
    co_await exchange_.Respond(200, std::move(headers), json::serialize(answer));
  }

 private:
  HttpExchange& exchange_;
  const RequestKey& key_;
  const ChatRequest& chat_;
  std::string text_;
  bool started_ = false;
};

HttpRequest MakeGenerateRequest(const ChatRequest& chat, const RequestKey& key,
                                const Endpoint& endpoint) {
  // The seed follows from the key, so that a resent request gives the same answer.
  const std::string seed = Sha256Hex(key.value()).substr(0, 15);
  const json::object body = {{"generation", key.value()},
                             {"prompt", chat.prompt},
                             {"max_tokens", chat.max_tokens},
                             {"seed", seed}};
  HttpRequest request(http::verb::post, "/generate", 11);
  request.set(http::field::host, ToString(endpoint));
  request.set(http::field::content_type, "application/json");
  request.body() = json::serialize(body);
  request.prepare_payload();
  return request;
}

// Runs one attempt at an upstream and relays its tokens. Returns nothing when the answer is whole
// or the caller is gone, otherwise the verdict.
class ModelAttempt {
 public:
  ModelAttempt(const CallerServices& services, const UpstreamConfig& upstream, AnswerWriter& writer,
               const RequestKey& key)
      : services_(services), upstream_(upstream), writer_(writer), key_(key) {}

  asio::awaitable<std::optional<Verdict>> Run(const ChatRequest& chat) {
    start_ = std::chrono::steady_clock::now();
    const Endpoint endpoint{.address = upstream_.address, .port = upstream_.port};
    auto connection = co_await HttpConnection::Connect(endpoint, kConnectTimeout);
    if (!connection) {
      outcome_.result = AttemptResult::kConnectFailed;
      co_return Verdict{
          .run_state = RunState::kNotRun, .reason = Reason::kUpstreamLost, .retry_after = 1s};
    }
    const auto sent =
        co_await (*connection)->Send(MakeGenerateRequest(chat, key_, endpoint), kSendTimeout);
    const auto status = sent ? co_await (*connection)->ReadHeader(kSilenceTimeout)
                             : Result<unsigned>(tl::make_unexpected(sent.error()));
    if (!status || *status != 200) {
      outcome_.result = AttemptResult::kLost;
      co_return Verdict{.run_state = RunState::kMayHaveRun,
                        .reason = status ? Reason::kUpstreamError : Reason::kUpstreamLost,
                        .retry_after = 1s};
    }
    co_return co_await Relay(**connection);
  }

  // Outcome for the router, with times from the start of the attempt to now.
  AttemptOutcome outcome() {
    outcome_.total = std::chrono::steady_clock::now() - start_;
    return outcome_;
  }

 private:
  asio::awaitable<std::optional<Verdict>> Relay(HttpConnection& connection) {
    SseReader reader;
    while (true) {
      reader.Compact();
      const Result<bool> more = co_await connection.ReadSome(reader.buffer(), kSilenceTimeout);
      if (!more || !*more) {
        outcome_.result = AttemptResult::kLost;
        co_return Verdict{
            .run_state = RunState::kMayHaveRun, .reason = Reason::kUpstreamLost, .retry_after = 1s};
      }
      bool done = false;
      while (const auto data = reader.Next()) {
        done = Accept(*data) || done;
      }
      if (done) {
        co_await writer_.Finish();
        co_return std::nullopt;
      }
      if (!co_await writer_.Flush()) {
        outcome_.result = AttemptResult::kCancelled;
        services_.metrics.GetCounter("savoryglade_callers_gone_total").Add();
        co_return std::nullopt;
      }
    }
  }

  // Takes one event if it is the next of this request. Returns true at the end of the answer.
  bool Accept(std::string_view data) {
    const std::optional<EngineEvent> event = ParseEngineEvent(data);
    if (!event || event->generation != key_.value() || event->position != next_position_) {
      services_.metrics.GetCounter("savoryglade_events_dropped_total").Add();
      return false;
    }
    if (event->done) {
      return true;
    }
    if (next_position_ == 0) {
      outcome_.first_token = std::chrono::steady_clock::now() - start_;
      services_.dispatcher.OnFirstToken(upstream_.name, outcome_.first_token);
    }
    ++next_position_;
    ++outcome_.tokens;
    writer_.Add(*event);
    return false;
  }

  const CallerServices& services_;
  const UpstreamConfig& upstream_;
  AnswerWriter& writer_;
  const RequestKey& key_;
  TimePoint start_;
  std::int64_t next_position_ = 0;
  AttemptOutcome outcome_;
};

}  // namespace

asio::awaitable<void> HandleModelRequest(HttpExchange& exchange, CallerRequest request,
                                         CallerServices services) {
  const std::optional<ChatRequest> chat = ParseChatRequest(exchange.request().body());
  if (!chat) {
    const Verdict malformed{.reason = Reason::kMalformedRequest};
    co_await RespondWithVerdict(exchange, request.key, malformed, services.metrics);
    co_return;
  }
  const TimePoint now = std::chrono::steady_clock::now();
  const QueuedRequest queued{.ticket = services.dispatcher.NewTicket(),
                             .account = request.account.name,
                             .service = request.service.name,
                             .predicted_cost = kSecondsPerToken * chat->max_tokens,
                             .enqueued = now,
                             .deadline = now + request.service.deadline};
  const RouteRequest route{.service = request.service.name,
                           .predicted_cost = queued.predicted_cost};
  const auto upstream = co_await services.dispatcher.Acquire(queued, route);
  if (!upstream) {
    co_await RespondWithVerdict(exchange, request.key, upstream.error(), services.metrics);
    co_return;
  }
  AnswerWriter writer(exchange, request.key, *chat);
  ModelAttempt attempt(services, *upstream, writer, request.key);
  const std::optional<Verdict> verdict = co_await attempt.Run(*chat);
  const AttemptOutcome outcome = attempt.outcome();
  services.dispatcher.Finish(queued.ticket, upstream->name, outcome);
  services.metrics.GetCounter("savoryglade_tokens_relayed_total")
      .Add(static_cast<std::uint64_t>(outcome.tokens));
  if (!verdict) {
    co_return;
  }
  if (writer.started()) {
    exchange.Abort();
    co_return;
  }
  co_await RespondWithVerdict(exchange, request.key, *verdict, services.metrics);
}

}  // namespace savoryglade
