#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "metrics/registry.h"
#include "net/endpoint.h"
#include "net/http_server.h"

namespace savoryglade {

// A whole response.
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// One client connection. The request must not be considered "not run" once Send has been called.
// Used by one coroutine at a time.
class HttpConnection {
 public:
  HttpConnection(boost::beast::tcp_stream stream, Endpoint endpoint)
      : stream_(std::move(stream)), endpoint_(std::move(endpoint)) {}

  // Connects within the timeout. The error code is kUnavailable or kTimeout.
  static boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Connect(
      const Endpoint& endpoint, Duration timeout);

  // Sends a request whole. After a failure the request may have arrived.
  boost::asio::awaitable<Result<void>> Send(const HttpRequest& request, Duration timeout);

  // Reads the header of the response; returns the status.
  boost::asio::awaitable<Result<unsigned>> ReadHeader(Duration timeout);

  // Appends the next part of the body to the text. Returns false at the end of the body. The
  // timeout counts for this part alone.
  boost::asio::awaitable<Result<bool>> ReadSome(std::string& text, Duration timeout);

  // Reads a whole response of at most the given size in bytes.
  boost::asio::awaitable<Result<HttpResponse>> ReadResponse(std::size_t body_limit,
                                                            Duration timeout);

  // Returns true if an idle connection is open and has no unread input.
  bool IsOpenAndIdle();

  // Returns true if the last response allows the connection to be used again.
  bool reusable() const { return reusable_; }
  const Endpoint& endpoint() const { return endpoint_; }
  // Header of the response whose header was read last.
  const boost::beast::http::fields& response_header() const;
  // Ends the connection; a pending operation fails.
  void Close() { stream_.close(); }

 private:
  using StreamParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::beast::tcp_stream stream_;
  Endpoint endpoint_;
  boost::beast::flat_buffer buffer_;
  std::optional<StreamParser> parser_;
  bool reusable_ = true;
  // The answer to a HEAD request has no body whatever its header says.
  bool expects_body_ = true;
};

// Limits of a connection pool.
struct PoolOptions {
  std::size_t idle_per_endpoint = 64;
  // A connection that was idle for this long is checked with GET /health.
  Duration health_interval = 2s;
  // A connection that does not answer the check within this time is closed.
  Duration health_timeout = 1s;
};

// Idle connections of one worker. Not safe to use from several threads.
class ConnectionPool {
 public:
  ConnectionPool() = default;
  // The counter counts connections that did not answer the check.
  ConnectionPool(PoolOptions options, Counter& silent_connections)
      : options_(options), silent_connections_(&silent_connections) {}

  // Returns an idle connection to the endpoint, or a new one.
  boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Acquire(const Endpoint& endpoint,
                                                                          Duration timeout);

  // Keeps a connection for later use if its last response allows that.
  void Release(std::unique_ptr<HttpConnection> connection);

  // Checks idle connections until its context stops; to be run once on the worker of the pool.
  boost::asio::awaitable<void> RunHealthChecks();

  // Closes all idle connections.
  void Clear() { idle_.clear(); }

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    TimePoint since;
  };

  boost::asio::awaitable<void> Check(std::unique_ptr<HttpConnection> connection);

  PoolOptions options_;
  Counter* silent_connections_ = nullptr;
  std::map<Endpoint, std::vector<IdleConnection>> idle_;
};

// Sends one request on a connection of its own and reads the whole response.
boost::asio::awaitable<Result<HttpResponse>> FetchOnce(const Endpoint& endpoint,
                                                       HttpRequest request, Duration timeout);

}  // namespace savoryglade
