#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/time.h"
#include "emulator/stream_version_log.h"
#include "net/http_server.h"

namespace savoryglade {

// Faults that can be injected into an emulated worker.
enum class WorkerFault {
  kNone,
  // Responds with 503 and Not-Executed, without running the request.
  kRejectNotExecuted,
  // Runs the request and responds with 503 without Not-Executed.
  kUnavailableAfterRun,
  // Runs the request and closes the connection without a response.
  kCloseAfterRun,
  // Runs the request and responds without the Response-Seal header.
  kMissingSeal,
  // Runs the request and closes the connection in the middle of the body.
  kTruncateBody,
  // Runs the request and sends the response twice on the same connection.
  kDuplicateResponse,
  // Writes an earlier rejection once more, without the id of an attempt, and runs the request.
  kRepeatedRejection,
  // Runs the request and responds with 500.
  kInternalError,
  // Runs the request and responds with a status that HTTP libraries may not list.
  kUnlistedStatus,
  // Runs the request and responds with a complete JSON text where a stream is due.
  kJsonForStream,
  // Runs the request and sends nothing until the peer closes the connection.
  kNoResponse,
  // Sends half of the events and closes the connection in the middle of the next one.
  kTruncateStream,
  // Sends half of the events and then nothing until the run is migrated to another worker.
  kWaitForMigration,
  // As kWaitForMigration, but stays open and silent after the migration.
  kSilentAfterMigration,
  // As kWaitForMigration, for a stream without length or chunks, whose connection ends in order.
  kEndAtMigration,
  // The following two run the request and send nothing for a while, until GoOn or BreakOff is
  // called: before the response, and after half of the events of a stream.
  kSilentBeforeResponse,
  kSilentInStream,
  // The following run the request and send bytes until the peer closes the connection.
  // Header fields without the end of the header.
  kEndlessHeader,
  // Interim responses.
  kEndlessInterimResponses,
  // The body of a response to another attempt.
  kEndlessStaleBody,
  // A server-sent event without its end.
  kEndlessEvent,
  // The header of a chunk without its end: in a stream, and in a plain body.
  kEndlessStreamChunkHeader,
  kEndlessChunkHeader,
  // Trailer fields without the end of the trailer.
  kEndlessTrailer,
};

// How a worker answers a request to stop a run and to copy the rest of its KV cache.
enum class StopAnswer {
  kSent,
  // Closes the connection without an answer.
  kLost,
  // Sends a body slowly and without end, until the peer closes the connection.
  kEndless,
  // Stops the run, and is silent until GoOn or BreakOff is called.
  kLate,
};

// Emulated worker of the operators' platform, for plain calls and for event streams. Thread-safe.
class WorkerService {
 public:
  static constexpr int kEventsPerStream = 6;
  // Status of kUnlistedStatus.
  static constexpr unsigned kUnlistedStatus = 529;

  explicit WorkerService(std::string instance) : instance_(std::move(instance)) {}

  // Responds to one HTTP request: with a stream if the path contains "/stream/", otherwise with a
  // body that echoes the request.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange);

  // Injects a fault into the next count requests.
  void SetFault(WorkerFault fault, int count);
  // Ends the silence of all requests, also of those that arrive before the next SetFault.
  void GoOn();
  // Closes the connections of all silent requests.
  void BreakOff();
  // Makes the worker crash whenever it begins to answer a request whose prompt has this part: its
  // connections break after the header of the response.
  void CrashOnPromptPart(std::string part);

  // Makes the worker name these rate limits in its answers, each in a header of its own; none by
  // default.
  void SetRateLimits(std::vector<std::string> rate_limits);
  // Sets headers that all answers carry, also those that reject a request or copy a KV cache.
  void SetSignals(HttpHeaders headers);

  // Sets how the worker answers requests to stop a run; kSent by default.
  void SetStopAnswer(StopAnswer answer);

  // Sets the time between the events of a stream; zero by default. Must precede the first request.
  void SetEventInterval(Duration interval) { event_interval_ = interval; }
  // Sets the version of the worker's software; empty by default. Runs that have begun keep theirs.
  // A worker with a version adds it to its Response-Seal, after a slash.
  void SetVersion(std::string version);
  std::string version() const;
  // Sets where the versions that write the events of streams are recorded.
  void SetStreamVersionLog(std::shared_ptr<StreamVersionLog> log);
  // Returns the number of events that each version of this worker wrote for an attempt.
  std::map<std::string, int> EventCounts(const std::string& attempt) const;

  // Returns the number of runs of an attempt.
  int RunCount(const std::string& attempt) const;
  // Returns the number of runs of all attempts.
  int runs() const;
  // Returns the number of callers' requests that have arrived, also those that were not run.
  int arrivals() const;
  // Returns the number of requests with kNoResponse, or silent ones, whose connections the peer has
  // closed.
  int abandoned_requests() const;
  // Returns the number of requests that are silent.
  int silent_requests() const;
  // Returns the number of runs that continued here with the KV cache of another worker.
  int migrated_runs() const;
  // Returns the number of copies of KV caches that were freed here.
  int freed_copies() const;
  // Returns the last request that ran, with its headers as received.
  HttpRequest last_request() const;

 private:
  HttpHeaders signals() const;
  boost::asio::awaitable<void> Stream(HttpExchange& exchange, WorkerFault fault);
  // Sends half of a stream that only the end of its connection can end, until its run is stopped.
  boost::asio::awaitable<void> StreamUntilStopped(HttpExchange& exchange);
  // Sends a text and then another one again and again until the peer closes the connection.
  static boost::asio::awaitable<void> SendEndlessly(HttpExchange& exchange, std::string begin,
                                                    std::string repeated);
  // Sends a response whose body arrives slowly and never ends.
  static boost::asio::awaitable<void> SendSlowlyWithoutEnd(HttpExchange& exchange);
  // Responds to a request to copy a run to another worker. A final copy ends the stream of the run.
  boost::asio::awaitable<void> HandleMigration(HttpExchange& exchange);
  boost::asio::awaitable<void> WaitForMigration(const std::string& attempt);
  // Waits until GoOn is called. Returns false if the connection has ended before.
  boost::asio::awaitable<bool> StaySilent(HttpExchange& exchange);
  void EndSilences();
  WorkerFault ConsumeFault();
  bool CrashesOn(const HttpExchange& exchange) const;
  HttpHeaders ResponseHeaders(const HttpExchange& exchange, bool with_seal) const;
  // Counts an event that is about to be written, and records the first event of a run. The stream
  // is named by the Resumes header, or else by the attempt.
  void RecordEvent(const HttpExchange& exchange, const std::string& version, bool first_of_run);

  std::string instance_;
  Duration event_interval_ = Duration::zero();
  mutable std::mutex mutex_;
  std::string version_;
  std::shared_ptr<StreamVersionLog> stream_version_log_;
  std::map<std::string, std::map<std::string, int>> events_by_attempt_;
  std::map<std::string, int> runs_by_attempt_;
  int arrivals_ = 0;
  HttpRequest last_request_;
  WorkerFault fault_ = WorkerFault::kNone;
  int remaining_fault_count_ = 0;
  StopAnswer stop_answer_ = StopAnswer::kSent;
  std::string crashing_part_;
  std::vector<std::string> rate_limits_;
  HttpHeaders signals_;
  int abandoned_requests_ = 0;
  // Set by GoOn until the next SetFault, and by BreakOff for the silences of this number.
  bool goes_on_ = false;
  int silent_requests_ = 0;
  int broken_off_ = 0;
  // Cancelled at the end of the silence. Owned by the requests, which end with the event loop.
  std::vector<std::weak_ptr<boost::asio::steady_timer>> silences_;
  int migrated_runs_ = 0;
  int freed_copies_ = 0;
  // Timers of streams that wait for migration, by attempt; cancelled by the final copy.
  std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> pending_migrations_;
};

}  // namespace savoryglade
