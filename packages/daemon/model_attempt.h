#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
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

// Runs one attempt at an upstream and relays its tokens from the writer's next position on.
class ModelAttempt {
 public:
  ModelAttempt(const RequestHandlerContext& context, const UpstreamConfig& upstream,
               const ModelRequest& request, ResponseWriter& writer, Interrupt& interrupt)
      : context_(context),
        upstream_(upstream),
        request_(request),
        writer_(writer),
        interrupt_(interrupt) {}

  // Starts the generation after the delivered tokens if their text is known, else from the start,
  // and relays its tokens.
  boost::asio::awaitable<ModelAttemptStatus> Generate();

  // Resumes a generation that the upstream already holds and relays its tokens.
  boost::asio::awaitable<ModelAttemptStatus> Resume();

  // Verdict for the caller if this was the last attempt; set unless the response is complete.
  const Verdict& verdict() const { return verdict_; }
  // Returns the outcome for the router, with the time from the start of the attempt to now.
  AttemptOutcome outcome();

 private:
  boost::asio::awaitable<ModelAttemptStatus> Run(std::string_view path, std::string body);
  boost::asio::awaitable<ModelAttemptStatus> SendAndRelay(HttpConnection& connection,
                                                          HttpRequest request);
  boost::asio::awaitable<ModelAttemptStatus> Relay(HttpConnection& connection);
  boost::asio::awaitable<void> ReadTrailingEvents(HttpConnection& connection);
  ModelAttemptStatus Fail(AttemptResult result, Reason reason,
                          RunState state = RunState::kMayHaveRun);
  ModelAttemptStatus FailRead(const Error& error);
  Duration ReadTimeout() const;
  bool ProcessEvents();
  bool ProcessEvent(std::string_view data);

  const RequestHandlerContext& context_;
  const UpstreamConfig& upstream_;
  const ModelRequest& request_;
  ResponseWriter& writer_;
  Interrupt& interrupt_;
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

// Cancels a generation at its engine in the background.
void CancelGeneration(const RequestHandlerContext& context, const UpstreamConfig& upstream,
                      const std::string& generation, const boost::asio::any_io_executor& executor);

}  // namespace savoryglade
