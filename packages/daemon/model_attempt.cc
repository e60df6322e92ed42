#include "daemon/model_attempt.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <utility>

#include "net/log_exception.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

constexpr Duration kRetryAfter = 1s;
constexpr Duration kCancelTimeout = 2s;
// Limit for reading the end of a response after its final event, so that the connection can be
// reused.
constexpr Duration kTrailingReadTimeout = 100ms;
// Bytes that are read after the final event. A connection with more of them is not reused.
constexpr std::size_t kMaxTrailingBytes = 64 * 1024;

Endpoint MakeEndpoint(const UpstreamConfig& upstream) {
  return {.address = upstream.address, .port = upstream.port};
}

HttpRequest MakePost(std::string_view path, std::string body, const Endpoint& endpoint) {
  HttpRequest request(http::verb::post, boost::beast::string_view(path.data(), path.size()), 11);
  request.set(http::field::host, ToString(endpoint));
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

bool ReportsNotRun(const http::fields& header) {
  const auto found = header.find("Savoryglade-Verdict");
  return found != header.end() && found->value() == "not_run";
}

}  // namespace

asio::awaitable<std::optional<ModelAttemptStatus>> ModelAttempt::BeginGeneration() {
  const std::string_view known_text = writer_.known_text();
  first_position_ = known_text.empty() ? 0 : writer_.next_position();
  next_position_ = first_position_;
  std::string body =
      fmt::format(R"({{"generation":"{}","prompt":{},"max_tokens":{},"seed":"{}","position":{},)"
                  R"("known_text":"{}"}})",
                  request_.digests.generation, json::serialize(json::string(request_.chat.prompt)),
                  request_.chat.max_tokens, request_.digests.seed, first_position_, known_text);
  co_return co_await Begin("/generate", std::move(body));
}

asio::awaitable<std::optional<ModelAttemptStatus>> ModelAttempt::BeginResumption() {
  count_resumption_ = true;
  first_position_ = writer_.next_position();
  next_position_ = first_position_;
  std::string body = fmt::format(R"({{"generation":"{}","position":{}}})",
                                 request_.digests.generation, first_position_);
  co_return co_await Begin("/resume", std::move(body));
}

AttemptOutcome ModelAttempt::outcome() {
  outcome_.total = std::chrono::steady_clock::now() - start_;
  return outcome_;
}

Duration ModelAttempt::Silence() {
  if (!awaited_since_) {
    return Duration::zero();
  }
  // After a pause of this process, bytes may have arrived that have not been read yet.
  boost::system::error_code ignored;
  const bool has_unread_bytes = connection_->stream().socket().available(ignored) > 0;
  return has_unread_bytes ? Duration::zero() : std::chrono::steady_clock::now() - *awaited_since_;
}

Duration ModelAttempt::RemainingTime() const {
  return std::max<Duration>(request_.deadline - std::chrono::steady_clock::now(), 1ms);
}

ModelAttemptStatus ModelAttempt::Fail(AttemptResult result, Reason reason, RunState state) {
  if (interrupt_.cause() == InterruptCause::kUpstreamSilent) {
    outcome_.result = AttemptResult::kTimedOut;
    verdict_ = {.run_state = state, .reason = Reason::kUpstreamLost, .retry_after = kRetryAfter};
    return ModelAttemptStatus::kFailed;
  }
  if (interrupt_.raised()) {
    outcome_.result = AttemptResult::kCancelled;
    verdict_ = {.run_state = state, .reason = Reason::kDraining, .retry_after = kRetryAfter};
    return ModelAttemptStatus::kInterrupted;
  }
  outcome_.result = result;
  verdict_ = {.run_state = state, .reason = reason, .retry_after = kRetryAfter};
  return ModelAttemptStatus::kFailed;
}

ModelAttemptStatus ModelAttempt::FailRead(const Error& error) {
  if (std::chrono::steady_clock::now() >= request_.deadline) {
    return Fail(AttemptResult::kTimedOut, Reason::kDeadlineExceeded);
  }
  if (error.code != ErrorCode::kTimeout) {
    return Fail(AttemptResult::kLost, Reason::kUpstreamLost);
  }
  if (!interrupt_.raised()) {
    context_.request_metrics.silent_upstreams.Add();
  }
  return Fail(AttemptResult::kTimedOut, Reason::kUpstreamLost);
}

void ModelAttempt::Close() {
  if (connection_ != nullptr) {
    connection_->Close();
  }
}

ModelAttemptStatus ModelAttempt::Withdraw() {
  interrupt_.Raise(InterruptCause::kSuperseded);
  connection_.reset();
  return Fail(AttemptResult::kCancelled, Reason::kDraining);
}

asio::awaitable<std::optional<ModelAttemptStatus>> ModelAttempt::Begin(std::string_view path,
                                                                       std::string body) {
  const Endpoint endpoint = MakeEndpoint(upstream_);
  HttpRequest request = MakePost(path, std::move(body), endpoint);
  auto connection =
      co_await context_.connections.Acquire(endpoint, context_.upstream_options.connect_timeout);
  if (!connection) {
    co_return Fail(AttemptResult::kConnectFailed, Reason::kUpstreamLost, RunState::kNotRun);
  }
  if (interrupt_.Check()) {
    co_return Fail(AttemptResult::kCancelled, Reason::kDraining, RunState::kNotRun);
  }
  connection_ = std::move(*connection);
  interrupt_.SetCallback([this] { Close(); });
  const std::optional<ModelAttemptStatus> end = co_await SendAndReadFirstEvent(std::move(request));
  if (end) {
    connection_.reset();
  }
  co_return end;
}

asio::awaitable<std::optional<ModelAttemptStatus>> ModelAttempt::SendAndReadFirstEvent(
    HttpRequest request) {
  const auto sent = co_await connection_->Send(request, context_.upstream_options.send_timeout);
  // Frees the request while the response is relayed, since a prompt may be large.
  request = HttpRequest();
  if (!sent) {
    co_return FailRead(sent.error());
  }
  awaited_since_ = std::chrono::steady_clock::now();
  const auto status = co_await connection_->ReadHeader(RemainingTime());
  awaited_since_.reset();
  if (!status) {
    co_return FailRead(status.error());
  }
  OnBytes();
  if (*status == 404) {
    Fail(AttemptResult::kRefused, Reason::kUpstreamError, RunState::kNotRun);
    co_return ModelAttemptStatus::kUnknownGeneration;
  }
  if (*status != 200) {
    co_return ReportsNotRun(connection_->response_header())
        ? Fail(AttemptResult::kRefused, Reason::kUpstreamError, RunState::kNotRun)
        : Fail(AttemptResult::kLost, Reason::kUpstreamError);
  }
  while (!reader_.HasNext()) {
    const std::optional<ModelAttemptStatus> end = co_await ReadMore();
    if (end) {
      co_return end;
    }
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<ModelAttemptStatus>> ModelAttempt::ReadMore() {
  reader_.Compact();
  awaited_since_ = std::chrono::steady_clock::now();
  const Result<bool> more = co_await connection_->ReadSome(reader_.buffer(), RemainingTime());
  awaited_since_.reset();
  if (!more) {
    co_return FailRead(more.error());
  }
  if (!*more) {
    co_return Fail(AttemptResult::kLost, Reason::kUpstreamLost);
  }
  OnBytes();
  if (reader_.HasOversizedEvent() && !reader_.HasNext()) {
    co_return Fail(AttemptResult::kLost, Reason::kUpstreamError);
  }
  co_return std::nullopt;
}

void ModelAttempt::OnBytes() {
  if (bytes_callback_) {
    bytes_callback_();
  }
}

asio::awaitable<ModelAttemptStatus> ModelAttempt::Relay() {
  const ModelAttemptStatus end = co_await RelayEvents();
  if (end == ModelAttemptStatus::kComplete) {
    co_await ReadTrailingEvents();
    context_.connections.Release(std::move(connection_));
  }
  connection_.reset();
  co_return end;
}

asio::awaitable<ModelAttemptStatus> ModelAttempt::RelayEvents() {
  while (true) {
    if (!ProcessEvents() || reader_.HasOversizedEvent()) {
      co_return Fail(AttemptResult::kLost, Reason::kUpstreamError);
    }
    if (count_resumption_ && (done_ || next_position_ > first_position_)) {
      // Counts before the caller can receive the end of its response, so that the counter never
      // lags behind the responses.
      context_.request_metrics.resumed_streams.Add();
      count_resumption_ = false;
    }
    // Two statements, because g++ 12 miscompiles co_await inside a conditional expression.
    bool written = false;
    if (done_) {
      written = co_await writer_.Finish();
    } else {
      written = co_await writer_.Flush();
    }
    if (!written) {
      outcome_.result = AttemptResult::kCancelled;
      interrupt_.Raise(InterruptCause::kCallerGone);
      co_return ModelAttemptStatus::kInterrupted;
    }
    if (done_) {
      co_return ModelAttemptStatus::kComplete;
    }
    if (std::chrono::steady_clock::now() >= request_.deadline) {
      co_return Fail(AttemptResult::kTimedOut, Reason::kDeadlineExceeded);
    }
    const std::optional<ModelAttemptStatus> end = co_await ReadMore();
    if (end) {
      co_return *end;
    }
  }
}

// Reads the end of the response after its final event and counts further events as late.
asio::awaitable<void> ModelAttempt::ReadTrailingEvents() {
  std::size_t received = 0;
  while (received <= kMaxTrailingBytes) {
    reader_.Compact();
    const std::size_t held = reader_.buffer().size();
    const Result<bool> more =
        co_await connection_->ReadSome(reader_.buffer(), kTrailingReadTimeout);
    if (!more || !*more) {
      co_return;
    }
    received += reader_.buffer().size() - held;
    while (reader_.Next()) {
      context_.request_metrics.late_events.Add();
    }
  }
}

// Processes all complete events in the buffer. Returns false if the stream has a gap and can't
// continue.
bool ModelAttempt::ProcessEvents() {
  const std::int64_t start_position = writer_.next_position();
  while (const auto data = reader_.Next()) {
    if (!ProcessEvent(*data)) {
      break;
    }
  }
  const std::int64_t relayed = writer_.next_position() - start_position;
  outcome_.tokens += static_cast<int>(relayed);
  context_.request_metrics.tokens_relayed.Add(static_cast<std::uint64_t>(relayed));
  return !has_gap_;
}

// Processes an event if it is the next one of this request, else counts the reason for dropping it.
// Returns false at the end of the response and at a gap.
bool ModelAttempt::ProcessEvent(std::string_view data) {
  RequestMetrics& metrics = context_.request_metrics;
  const std::optional<EngineEvent> event = parser_.Parse(data);
  if (!event) {
    metrics.malformed_events.Add();
    return true;
  }
  if (event->generation != request_.digests.generation) {
    metrics.crossed_events.Add();
    return true;
  }
  if (event->position < next_position_) {
    (event->position < first_position_ ? metrics.late_events : metrics.duplicate_events).Add();
    return true;
  }
  if (event->position > next_position_) {
    metrics.event_gaps.Add();
    has_gap_ = true;
    return false;
  }
  if (event->done) {
    metrics.tokens_cached.Add(
        static_cast<std::uint64_t>(std::max<std::int64_t>(event->cached_tokens, 0)));
    // A response that ends before the last position that the caller has differs from the delivered
    // one.
    has_gap_ = next_position_ < writer_.next_position();
    done_ = !has_gap_;
    return false;
  }
  if (outcome_.first_token == Duration::zero()) {
    outcome_.first_token = std::chrono::steady_clock::now() - start_;
    context_.dispatcher.OnFirstToken(upstream_.name, outcome_.first_token);
  }
  if (next_position_ == writer_.next_position()) {
    writer_.AddToken(event->token);
  } else {
    metrics.tokens_recomputed.Add();
  }
  ++next_position_;
  return true;
}

asio::awaitable<bool> AnswersHealthCheck(const RequestHandlerContext& context,
                                         const UpstreamConfig& upstream, Interrupt& interrupt) {
  const Duration timeout = context.upstream_options.pool.health_timeout;
  const auto connection = co_await HttpConnection::Connect(MakeEndpoint(upstream), timeout);
  if (!connection) {
    co_return false;
  }
  const InterruptScope scope(interrupt, [&connection] { (*connection)->Close(); });
  const Result<HttpResponse> response = co_await (*connection)->CheckHealth(timeout);
  co_return response.has_value();
}

void CancelGeneration(const RequestHandlerContext& context, const UpstreamConfig& upstream,
                      const std::string& generation, const asio::any_io_executor& executor) {
  const Endpoint endpoint = MakeEndpoint(upstream);
  HttpRequest request =
      MakePost("/cancel", fmt::format(R"({{"generation":"{}"}})", generation), endpoint);
  context.request_metrics.cancelled_generations.Add();
  asio::co_spawn(
      executor,
      [endpoint, request = std::move(request)]() mutable -> asio::awaitable<void> {
        co_await FetchOnce(endpoint, std::move(request), kCancelTimeout);
      },
      LogException("cancellation"));
}

}  // namespace savoryglade
