#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace savoryglade {

// What an emulated worker does with a request instead of answering it.
enum class WorkerFault {
  kNone,
  // Answers 503 with the statement that it did not run the request.
  kRejectNotExecuted,
  // Answers 503 without that statement, after it has run the request.
  kUnavailableAfterRun,
  // Runs the request and closes the connection without an answer.
  kCloseAfterRun,
  // Runs the request and answers without the mark of a worker's answer.
  kMissingSeal,
  // Runs the request and breaks off the body.
  kTruncateBody,
  // Answers, and a second time on the same connection.
  kDuplicateResponse,
  // Runs the request and answers 500.
  kInternalError,
  // Runs the request and says nothing until its connection is closed.
  kNoResponse,
  // Streams half of the events, and breaks off in the middle of the next one.
  kTruncateStream,
  // Streams half of the events and runs on without another until the run is moved away.
  kWaitForMigration,
};

// Emulated worker of the operators' platform, for plain calls and for streams of events. Safe to
// use from all threads.
class WorkerService {
 public:
  // Number of events in each stream.
  static constexpr int kEventsPerStream = 6;

  explicit WorkerService(std::string instance) : instance_(std::move(instance)) {}

  // Answers one HTTP request: a stream if the path holds "/stream/", otherwise a body that repeats
  // the request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Shows a fault for the next requests, as many as the count says.
  void SetFault(WorkerFault fault, int count);

  // Number of runs of an attempt, and of all.
  int RunCount(const std::string& attempt) const;
  int runs() const;
  // Number of requests that were silent until their connections were closed.
  int abandoned_requests() const;
  // Number of runs that went on here with the memory of another worker.
  int migrated_runs() const;
  // Headers of the last request, as they came.
  HttpRequest last_request() const;

 private:
  boost::asio::awaitable<void> Stream(HttpExchange& exchange, WorkerFault fault);
  // Answers a call that copies a run to another worker, and ends its stream if the copy is final.
  boost::asio::awaitable<void> HandleMigration(HttpExchange& exchange);
  boost::asio::awaitable<void> WaitForMigration(const std::string& attempt);
  WorkerFault ConsumeFault();
  HttpHeaders ResponseHeaders(const HttpExchange& exchange, bool with_seal) const;

  std::string instance_;
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_by_attempt_;
  HttpRequest last_request_;
  WorkerFault fault_ = WorkerFault::kNone;
  int remaining_fault_count_ = 0;
  int abandoned_requests_ = 0;
  int migrated_runs_ = 0;
  // Streams that wait to be moved, by their attempts; cancelled by a final copy.
  std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> pending_migrations_;
};

}  // namespace savoryglade
