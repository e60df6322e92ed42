#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "core/strong_id.h"
#include "net/http_client.h"

namespace savoryglade::gateway {

// Connections of the attempts in progress, by upstream. TCP retransmits a request that does not get
// through for as long as its connection is open, which may be longer than the upstream that
// announced to leave may receive requests. Not thread-safe.
class OpenAttempts {
 public:
  using Connections = std::map<UpstreamId, std::set<HttpConnection*>>;

  // Registers a connection for as long as this object lives, which must not exceed the connection's
  // lifetime.
  class Registration {
   public:
    Registration(const OpenAttempts& attempts, UpstreamId upstream, HttpConnection& connection);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
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

  // Closes all connections, and those that register from now on, so that the attempts end at once
  // without a response.
  void CloseAll();

 private:
  boost::asio::awaitable<void> CloseUnacknowledged(UpstreamId upstream);

  boost::asio::io_context& context_;
  std::shared_ptr<Connections> connections_ = std::make_shared<Connections>();
  bool closed_ = false;
};

}  // namespace savoryglade::gateway
