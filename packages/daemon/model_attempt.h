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

// One model request over all its attempts.
struct ModelRequest {
  const ChatRequest& chat;
  const RequestDigests& digests;
  TimePoint deadline;
};

// How an attempt ended.
enum class ModelAttemptStatus {
  // The whole answer was delivered.
  kComplete,
  // The request was interrupted, or its caller left while it was written to.
  kInterrupted,
  // The upstream does not hold the generation that was to be resumed.
  kUnknownGeneration,
  kFailed,
};

// Runs one attempt at an upstream and relays its tokens from the writer's next position on.
class ModelAttempt {
 public:
  ModelAttempt(const RequestHandlerContext& services, const UpstreamConfig& upstream,
               const ModelRequest& request, ResponseWriter& writer, Interrupt& interrupt)
      : services_(services),
        upstream_(upstream),
        request_(request),
        writer_(writer),
        interrupt_(interrupt) {}

  // Generates the answer, from the delivered tokens on if their text is known, else from the start.
  boost::asio::awaitable<ModelAttemptStatus> Generate();

  // Takes up a generation that the upstream already holds.
  boost::asio::awaitable<ModelAttemptStatus> Resume();

  // What the caller may conclude if this was the last attempt; set unless the answer is complete.
  const Verdict& verdict() const { return verdict_; }
  // Outcome for the router, with times from the start of the attempt to now.
  AttemptOutcome outcome();

 private:
  boost::asio::awaitable<ModelAttemptStatus> Run(std::string_view path, std::string body);
  boost::asio::awaitable<ModelAttemptStatus> Exchange(HttpConnection& connection,
                                                      HttpRequest request);
  boost::asio::awaitable<ModelAttemptStatus> Relay(HttpConnection& connection);
  boost::asio::awaitable<void> ReadRest(HttpConnection& connection);
  ModelAttemptStatus Fail(AttemptResult result, Reason reason,
                          RunState state = RunState::kMayHaveRun);
  ModelAttemptStatus FailRead(const Error& error);
  Duration ReadTimeout() const;
  bool TakeEvents();
  bool Accept(std::string_view data);

  const RequestHandlerContext& services_;
  const UpstreamConfig& upstream_;
  const ModelRequest& request_;
  ResponseWriter& writer_;
  Interrupt& interrupt_;
  SseReader reader_;
  EngineEventParser parser_;
  TimePoint start_ = std::chrono::steady_clock::now();
  // The attempt takes up a stream and that has not been counted yet.
  bool count_resumption_ = false;
  std::int64_t first_position_ = 0;
  // Position that the upstream must send next; below the writer's while an answer is generated
  // again from the start.
  std::int64_t next_position_ = 0;
  bool done_ = false;
  bool gap_ = false;
  AttemptOutcome outcome_;
  Verdict verdict_;
};

// Cancels a generation at its engine in the background.
void CancelGeneration(const RequestHandlerContext& services, const UpstreamConfig& upstream,
                      const std::string& generation, const boost::asio::any_io_executor& executor);

}  // namespace savoryglade
