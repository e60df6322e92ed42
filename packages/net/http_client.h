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

// Complete response including its body.
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Most bytes of a response that are kept unparsed: its header, the header of a chunk, or its
// trailer. A response with a longer one is invalid.
inline constexpr std::size_t kMaxUnparsedResponseBytes = 32 * 1024;

// Largest body of a response to FetchOnce, in bytes.
inline constexpr std::size_t kMaxFetchedBodyBytes = 64 * 1024;

// Largest body of a response to FetchDocument, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 16 * 1024 * 1024;

// Slowest transfer of a large response that is read to its end, in bytes per second.
inline constexpr double kMinTransferRate = 32.0 * 1024;

// HTTP client connection. The request must not be considered "not run" once Send has been called.
// Closing the connection resets it, so that the kernel discards what the peer has not received yet.
// Used by one coroutine at a time.
class HttpConnection {
 public:
  HttpConnection(boost::beast::tcp_stream stream, Endpoint endpoint)
      : stream_(std::move(stream)), endpoint_(std::move(endpoint)) {}
  ~HttpConnection() { Close(); }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Opens a connection within the timeout, from the source address if there is one. Returns
  // kUnavailable or kTimeout on failure.
  static boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Connect(
      const Endpoint& endpoint, Duration timeout, std::string source_address = {});

  // Sends a complete request. After an error the request may still have arrived.
  boost::asio::awaitable<Result<void>> Send(const HttpRequest& request, Duration timeout);

  // Sends a request whose body is not part of the message, with the header fields as they are. The
  // body must stay unchanged until the call ends.
  boost::asio::awaitable<Result<void>> Send(const HttpRequest& head, const std::string& body,
                                            Duration timeout);

  // Reads the header of the response and returns the status code. Returns kInvalid if the bytes
  // received are no HTTP response, kTimeout after the timeout, and otherwise kUnavailable.
  boost::asio::awaitable<Result<unsigned>> ReadHeader(Duration timeout);

  // Appends the next chunk of the body to the text. Returns false at the end of the body, and
  // kInvalid if the bytes received belong to no body. The timeout applies to this chunk alone.
  boost::asio::awaitable<Result<bool>> ReadSome(std::string& text, Duration timeout);

  // Reads a complete response with a body of at most the given size in bytes.
  boost::asio::awaitable<Result<HttpResponse>> ReadResponse(std::size_t body_limit,
                                                            Duration timeout);

  // Reads a complete response whose size, and so its duration, has no useful bound. The timeout
  // applies to the first byte and the progress timeout to each pause after it. The whole response
  // may take the timeout and the time that its bytes take at kMinTransferRate, so that one that
  // trickles is given up.
  boost::asio::awaitable<Result<HttpResponse>> ReadLargeResponse(std::size_t body_limit,
                                                                 Duration timeout,
                                                                 Duration progress_timeout);

  // Requests /health and reads the response. The timeout applies to each of both.
  boost::asio::awaitable<Result<HttpResponse>> CheckHealth(Duration timeout);

  // Returns the number of bytes sent that the peer's host has not acknowledged, or nothing if the
  // connection is closed.
  std::optional<std::size_t> UnacknowledgedBytes();

  // Returns true if an idle connection is open and has no unread input.
  bool IsOpenAndIdle();

  // Returns true if the last response allows reuse of the connection.
  bool reusable() const { return reusable_; }
  const Endpoint& endpoint() const { return endpoint_; }
  boost::beast::tcp_stream& stream() { return stream_; }
  // Header that was read last.
  const boost::beast::http::fields& response_header() const;
  // Returns true if the last response has neither a length nor chunks, so that the end of the
  // connection ends it.
  bool ends_with_connection() const { return parser_->need_eof(); }
  // Returns false once this side has closed the connection, also because an operation timed out.
  bool is_open() const { return stream_.socket().is_open(); }
  // Closes the connection; a pending operation fails.
  void Close() { stream_.close(); }

 private:
  using StreamParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::beast::tcp_stream stream_;
  Endpoint endpoint_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedResponseBytes};
  std::optional<StreamParser> parser_;
  bool reusable_ = true;
  // False for a HEAD request, whose response has no body whatever its header says.
  bool expects_body_ = true;
};

// Limits of a connection pool.
struct PoolOptions {
  std::size_t max_idle_per_endpoint = 64;
  // A connection that was idle for this long is probed with GET /health.
  Duration health_interval = 2s;
  // A connection that does not answer the probe within this time is closed.
  Duration health_timeout = 1s;
};

// Pool of the idle client connections of one worker. Not safe to use from several threads.
class ConnectionPool {
 public:
  ConnectionPool() = default;
  // The counter counts connections that did not answer a health probe.
  ConnectionPool(PoolOptions options, Counter& unresponsive_connections)
      : options_(options), unresponsive_connections_(&unresponsive_connections) {}

  // Returns an idle connection to the endpoint, or opens a new one.
  boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> Acquire(const Endpoint& endpoint,
                                                                          Duration timeout);

  // Keeps a connection for reuse if its last response allows that and the pool has room; otherwise
  // closes it.
  void Release(std::unique_ptr<HttpConnection> connection);

  // Probes idle connections until its io_context stops. Must be run once, on the pool's worker.
  boost::asio::awaitable<void> RunHealthChecks();

  // Closes all idle connections.
  void Clear() { idle_.clear(); }

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    TimePoint idle_since;
  };

  boost::asio::awaitable<void> CheckHealth(std::unique_ptr<HttpConnection> connection);

  PoolOptions options_;
  Counter* unresponsive_connections_ = nullptr;
  std::map<Endpoint, std::vector<IdleConnection>> idle_;
};

// Sends one request on a new connection and reads the complete response, whose body may have
// kMaxFetchedBodyBytes. The timeout applies to the whole call.
boost::asio::awaitable<Result<HttpResponse>> FetchOnce(const Endpoint& endpoint,
                                                       HttpRequest request, Duration timeout);

// As FetchOnce, for a document of up to kMaxDocumentBytes. The timeout applies to each step:
// connecting, sending, the first byte of the response and each pause after it.
boost::asio::awaitable<Result<HttpResponse>> FetchDocument(const Endpoint& endpoint,
                                                           HttpRequest request, Duration timeout);

}  // namespace savoryglade
