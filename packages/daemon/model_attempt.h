#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/verdict.h"
#include "daemon/active_requests.h"
#include "daemon/chat_request.h"
#include "daemon/engine_event.h"
#include "daemon/request_handler_context.h"
#include "daemon/request_identity.h"
#include "daemon/response_writer.h"
#include "net/sse_reader.h"

namespace savoryglade {

// Parts of a model request that all its attempts share.
struct ModelRequest {
  const ChatRequest& chat;
  const RequestDigests& digests;
  TimePoint deadline;
};

// Final status of an attempt.
enum class ModelAttemptStatus {
  // The complete response was delivered.
  kComplete,
  // The request was interrupted, or its caller disconnected during a write.
  kInterrupted,
  // The upstream does not hold the generation that was to be resumed.
  kUnknownGeneration,
  kFailed,
};

// Runs one attempt at an upstream and relays its tokens from the writer's next position on. Silence
// of the upstream does not end it before the deadline of the request; its owner may do so with the
// interrupt.
class ModelAttempt {
 public:
  ModelAttempt(const RequestHandlerContext& context, const UpstreamConfig& upstream,
               const ModelRequest& request, ResponseWriter& writer, Interrupt& interrupt)
      : context_(context),
        upstream_(upstream),
        request_(request),
        writer_(writer),
        interrupt_(interrupt) {}
  ~ModelAttempt() { interrupt_.SetCallback(nullptr); }
  ModelAttempt(const ModelAttempt&) = delete;
  ModelAttempt& operator=(const ModelAttempt&) = delete;

  // Starts the generation after the delivered tokens if their text is known, else from the start.
  // Returns nothing once its first event has arrived, else the final status.
  boost::asio::awaitable<std::optional<ModelAttemptStatus>> BeginGeneration();

  // Resumes a generation that the upstream already holds. Returns as BeginGeneration does.
  boost::asio::awaitable<std::optional<ModelAttemptStatus>> BeginResumption();

  // Relays the tokens of a response whose first event has arrived.
  boost::asio::awaitable<ModelAttemptStatus> Relay();

  // Ends an attempt whose first event has arrived and which is not needed.
  ModelAttemptStatus Withdraw();

  // Sets the function that is called when bytes of the response have arrived.
  void SetBytesCallback(std::function<void()> callback) { bytes_callback_ = std::move(callback); }

  // Returns the time for which bytes of the response have been awaited and none have arrived.
  Duration Silence();

  // Verdict for the caller if this was the last attempt; set unless the response is complete.
  const Verdict& verdict() const { return verdict_; }
  // Returns the outcome for the router, with the time from the start of the attempt to now.
  AttemptOutcome outcome();

 private:
  using OptionalStatus = std::optional<ModelAttemptStatus>;

  boost::asio::awaitable<OptionalStatus> Begin(std::string_view path, std::string body);
  boost::asio::awaitable<OptionalStatus> SendAndReadFirstEvent(HttpRequest request);
  boost::asio::awaitable<ModelAttemptStatus> RelayEvents();
  // Reads more of the response. Returns the final status if there is no more.
  boost::asio::awaitable<OptionalStatus> ReadMore();
  boost::asio::awaitable<void> ReadTrailingEvents();
  void OnBytes();
  void Close();
  ModelAttemptStatus Fail(AttemptResult result, Reason reason,
                          RunState state = RunState::kMayHaveRun);
  ModelAttemptStatus FailRead(const Error& error);
  Duration RemainingTime() const;
  bool ProcessEvents();
  bool ProcessEvent(std::string_view data);

  const RequestHandlerContext& context_;
  const UpstreamConfig& upstream_;
  const ModelRequest& request_;
  ResponseWriter& writer_;
  Interrupt& interrupt_;
  std::unique_ptr<HttpConnection> connection_;
  std::function<void()> bytes_callback_;
  // Start of the current read, or nothing while none is in progress.
  std::optional<TimePoint> awaited_since_;
  SseReader reader_;
  EngineEventParser parser_;
  TimePoint start_ = std::chrono::steady_clock::now();
  // The attempt resumes a stream and the resumption has not been counted yet.
  bool count_resumption_ = false;
  std::int64_t first_position_ = 0;
  // Position that the upstream must send next. It is below the writer's while the response is
  // generated again from the start.
  std::int64_t next_position_ = 0;
  bool done_ = false;
  bool has_gap_ = false;
  AttemptOutcome outcome_;
  Verdict verdict_;
};

// Returns true if the upstream answers a health check on a new connection.
boost::asio::awaitable<bool> AnswersHealthCheck(const RequestHandlerContext& context,
                                                const UpstreamConfig& upstream,
                                                Interrupt& interrupt);

// Cancels a generation at its engine in the background.
void CancelGeneration(const RequestHandlerContext& context, const UpstreamConfig& upstream,
                      const std::string& generation, const boost::asio::any_io_executor& executor);

}  // namespace savoryglade
