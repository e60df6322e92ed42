#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "core/strong_id.h"
#include "core/time.h"
#include "gateway/attempt_outcome.h"
#include "net/http_client.h"

namespace savoryglade::gateway {

// Connections of the attempts in progress, by upstream. TCP retransmits a request that does not get
// through for as long as its connection is open, which may be longer than the upstream that
// announced to leave may receive requests. Not thread-safe.
class OpenAttempts {
 public:
  struct OpenAttempt {
    // Time since which the request awaits its answer on a direct connection.
    std::optional<TimePoint> awaiting_since;
    bool may_be_repeated = false;
    // Set once this daemon has closed the connection.
    std::optional<AttemptOutcome> closed_because;
  };
  using Connections = std::map<UpstreamId, std::map<HttpConnection*, OpenAttempt>>;

  // Registers a connection for as long as this object lives, which must not exceed the connection's
  // lifetime.
  class Registration {
   public:
    Registration(const OpenAttempts& attempts, UpstreamId upstream, HttpConnection& connection);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    // Records that the request was sent, so that WatchLoop looks after it.
    void AwaitAnswer(bool may_be_repeated, TimePoint now);
    // Records that the answer began or the attempt ended.
    void OnAnswer();
    // Closes the connection, so that a read from it fails. Only the first reason counts.
    void Close(AttemptOutcome reason);
    // Returns why this daemon has closed the connection, or nothing if it has not.
    std::optional<AttemptOutcome> closed_because() const { return attempt().closed_because; }

   private:
    OpenAttempt& attempt() const { return connections_->at(upstream_).at(&connection_); }

    // Shared, because the calls in progress are destroyed after the gateway's members when it
    // stops.
    std::shared_ptr<Connections> connections_;
    UpstreamId upstream_;
    HttpConnection& connection_;
  };

  explicit OpenAttempts(boost::asio::io_context& context) : context_(context) {}

  // Closes, after the time that an acknowledgement takes, the connections to an upstream whose
  // requests have not reached it.
  void OnUpstreamLeaving(const UpstreamId& upstream);

  // Looks for requests that have not reached their upstreams, as when the path to them is cut,
  // until the context stops. Calls the callback with each such upstream, and closes the connections
  // of requests that may be sent again elsewhere.
  boost::asio::awaitable<void> WatchLoop(std::function<void(const UpstreamId&)> on_undelivered);

  // Closes all connections, and those that register from now on, so that the attempts end at once
  // without a response.
  void CloseAll();

 private:
  boost::asio::awaitable<void> CloseUnacknowledged(UpstreamId upstream);
  static void Close(HttpConnection& connection, OpenAttempt& attempt, AttemptOutcome reason);

  boost::asio::io_context& context_;
  std::shared_ptr<Connections> connections_ = std::make_shared<Connections>();
  bool closed_ = false;
};

}  // namespace savoryglade::gateway
