#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "soak/history.h"

namespace savoryglade::soak {

// Emulated load balancer of the platform: asks each daemon once per second whether it is ready, and
// sends new connections to the ready daemons of the caller's failure domain.
class LoadBalancer {
 public:
  struct Daemon {
    Endpoint callers;
    Endpoint readiness;
    std::string failure_domain;
  };

  explicit LoadBalancer(std::vector<Daemon> daemons);

  // Polls a daemon until its io_context stops.
  boost::asio::awaitable<void> Poll(std::size_t daemon);
  // Chooses a daemon for a new connection, and another one than `last` if there is one.
  std::size_t Choose(const std::string& failure_domain, std::optional<std::size_t> last,
                     Random& random) const;
  const Endpoint& callers(std::size_t daemon) const { return daemons_[daemon].callers; }
  std::size_t size() const { return daemons_.size(); }
  // Returns true if all daemons were ready when they were asked last.
  bool AllReady() const;

 private:
  bool InRotation(std::size_t daemon) const;

  std::vector<Daemon> daemons_;
  mutable std::mutex mutex_;
  // Consecutive questions without a 200, for each daemon.
  std::vector<int> misses_;
};

struct CallerOptions {
  std::string name;
  std::string failure_domain;
  std::string api_key;
  std::uint64_t seed = 0;
  // Mean time between two calls.
  Duration pause = 300ms;
  // Share of resumable streams that the caller breaks in the middle and resumes.
  double break_share = 0;
  // If set, the caller sends only this request, which crashes upstreams.
  std::string crashing_path;
  bool varies_query = false;
  // Share of crashing requests whose caller leaves before the crash.
  double leave_share = 0;
  // Share of other calls that the caller gives up early.
  double give_up_share = 0;
  // Set once the added routes must be in force everywhere.
  const std::atomic<bool>* routes_added = nullptr;
  // Calls after which the caller opens a new connection.
  int calls_per_connection = 1;
  // Size of the data of an event.
  std::size_t event_bytes = 0;
  // Whether bodies are sent in chunks, half of them with pauses between the chunks.
  bool sends_chunks = false;
  // Whether the caller pauses while it reads, behind a small receive buffer.
  bool reads_slowly = false;
  // Whether the caller sends the first bytes of its next request behind a request.
  bool sends_ahead = false;
};

// Emulated caller that repeats its calls by the platform's rules.
class Caller {
 public:
  Caller(CallerOptions options, const LoadBalancer& balancer, History& history)
      : options_(std::move(options)),
        balancer_(balancer),
        history_(history),
        random_(options_.seed),
        give_up_random_(options_.seed + 1),
        habit_random_(options_.seed + 2) {}

  // Makes calls until told to stop. Counts itself as active during a call.
  boost::asio::awaitable<void> Run(const std::atomic<bool>& stop, std::atomic<int>& active);

 private:
  // One call with all its attempts.
  struct Call {
    const CallType* type = nullptr;
    std::string target;
    std::string body;
    TimePoint deadline;
    // When the caller leaves at the latest.
    TimePoint leaves_at;
    // Whether the caller sends further bytes before it leaves, and closes in order.
    bool sends_more = false;
    bool closes_in_order = false;
    // Stream: the event after which the caller breaks its connection, or zero.
    int break_after = 0;
    // Stream: the last event received, and the attempt that brought the first one.
    int events = 0;
    std::string first_attempt;

    bool EndsEarly() const { return break_after > 0 || leaves_at < deadline; }
    // Moves the call to a later time.
    void Delay(Duration time) {
      deadline += time;
      leaves_at += time;
    }
  };

  boost::asio::awaitable<void> MakeCall();
  Call PrepareCall();
  Call PrepareCrashingCall();
  // Sends one attempt and returns what happened, and the wait that its answer asks for.
  boost::asio::awaitable<AttemptRecord> SendAttempt(Call& call, Duration& retry_after);
  boost::asio::awaitable<void> ReadResponse(HttpConnection& connection, Call& call,
                                            AttemptRecord& record, Duration& retry_after);
  // Sends the request, and the first bytes of the next one if the caller does so.
  boost::asio::awaitable<Result<void>> SendRequest(const Call& call, AttemptRecord& record);
  boost::asio::awaitable<Result<void>> SendBytes(std::string bytes, TimePoint deadline);
  boost::asio::awaitable<void> SendAhead();
  HttpRequest MakeRequest(const Call& call, const AttemptRecord& record) const;

  CallerOptions options_;
  const LoadBalancer& balancer_;
  History& history_;
  Random random_;
  // Keeps the other draws as they are without callers that give up.
  Random give_up_random_;
  // Decides how requests are sent and answers read.
  Random habit_random_;
  std::unique_ptr<HttpConnection> connection_;
  // Next call, of which the connection has carried these bytes already.
  std::optional<Call> next_call_;
  TimePoint next_call_made_at_{};
  std::string sent_ahead_;
  std::optional<std::size_t> last_daemon_;
  int attempts_ = 0;
  int calls_ = 0;
  int calls_on_connection_ = 0;
};

}  // namespace savoryglade::soak
