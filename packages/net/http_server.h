#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "net/endpoint.h"
#include "net/worker_pool.h"

namespace savoryglade {

class MemoryBudget;
class MemoryLease;
enum class MemoryPurpose : std::uint8_t;

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns headers with only a Content-Type. g++ 12 rejects braced lists of headers inside some
// co_await expressions, so headers are built by functions or in named variables.
inline HttpHeaders ContentType(std::string type) {
  HttpHeaders headers;
  headers.emplace_back("Content-Type", std::move(type));
  return headers;
}

// Limits of one listener. Sizes are in bytes.
struct HttpLimits {
  std::size_t header_size = 16 * 1024;
  // Each field costs memory of its own. Clients send a few dozen.
  std::size_t header_fields = 200;
  std::size_t body_size = 4 * 1024 * 1024;
  std::size_t connections = 10'000;
  // Maximum time between two requests on a connection.
  Duration idle_timeout = 60s;
  // Maximum time from the first byte of a request until the complete request has arrived.
  Duration read_timeout = 10s;
  // Maximum time for one write to a slow reader.
  Duration write_timeout = 30s;
};

// Request received on a connection, and its response. Used by one coroutine at a time.
class HttpExchange {
 public:
  HttpExchange(boost::beast::tcp_stream& stream, HttpRequest request, const HttpLimits& limits,
               std::uint64_t connection_id = 0, MemoryLease* lease = nullptr)
      : stream_(stream),
        request_(std::move(request)),
        limits_(limits),
        connection_id_(connection_id),
        lease_(lease) {}

  const HttpRequest& request() const { return request_; }
  // Returns the path and query of the request.
  std::string_view target() const;
  // Returns the value of a header, or an empty string.
  std::string_view Header(std::string_view name) const;
  // Returns the token of an "Authorization: Bearer" header, or an empty string.
  std::string_view BearerToken() const;

  // Sends a complete response. Frees the body of the request before. Returns false if the peer has
  // disconnected.
  boost::asio::awaitable<bool> Respond(unsigned status, HttpHeaders headers, std::string body);
  // Sends the header of a chunked response together with the first chunk, if that is not empty.
  // Returns false if the peer has disconnected.
  boost::asio::awaitable<bool> StartStream(unsigned status, HttpHeaders headers,
                                           std::string_view first_chunk = {});
  // Sends one chunk; waits while the peer reads slowly. Returns false if the peer has disconnected.
  boost::asio::awaitable<bool> WriteChunk(std::string_view data);
  // Ends a chunked response. Returns false if the peer has disconnected.
  boost::asio::awaitable<bool> EndStream();
  // Closes the connection after the response. Must be called before Respond or StartStream.
  void CloseAfterResponse() { keep_alive_ = false; }
  // Closes the connection immediately, even in the middle of a response.
  void Abort();

  bool keep_alive() const { return keep_alive_; }
  // Returns an id that is unique within the listener and increases in the order of acceptance.
  std::uint64_t connection_id() const { return connection_id_; }
  // Moves the body out of the request, so that it is not kept in memory during a long response.
  std::string TakeBody() { return std::move(request_.body()); }
  boost::beast::tcp_stream& stream() { return stream_; }
  // Counts memory that the connection uses for this purpose.
  void SetLease(MemoryPurpose purpose, std::size_t bytes);
  // As SetLease, but returns false and changes nothing if there is no room.
  bool TryLease(MemoryPurpose purpose, std::size_t bytes);

 private:
  boost::asio::awaitable<bool> WriteBuffers(std::string_view before, std::string_view data,
                                            std::string_view after);

  boost::beast::tcp_stream& stream_;
  HttpRequest request_;
  const HttpLimits& limits_;
  std::uint64_t connection_id_;
  // Null without a budget.
  MemoryLease* lease_;
  bool keep_alive_ = true;
};

// Responds to one request. An exception closes only the connection.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

// Decides on a request before its body is read. Sends a response and returns true to refuse it; the
// connection is closed then. Called only for large bodies and those of unknown length.
using HeadCheck = std::function<boost::asio::awaitable<bool>(HttpExchange&)>;

// Dependencies that a server may have.
struct HttpServerOptions {
  // Shared by all servers of a process. Without one, memory is not limited.
  std::shared_ptr<MemoryBudget> budget;
  HeadCheck head_check;
};

// HTTP/1.1 server that runs a handler for each request. Distributes connections over the workers of
// the pool, which must be stopped before the server is destroyed.
class HttpServer {
 public:
  HttpServer(WorkerPool& pool, HttpLimits limits, HttpHandler handler,
             HttpServerOptions options = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen and returns the endpoint with the actual port. The error names the address.
  Result<Endpoint> Listen(const Endpoint& endpoint);

  // Replaces the limits for subsequent requests and connections; open connections stay open. Only
  // for a server on a pool of one worker.
  void SetLimits(const HttpLimits& limits);

  // Stops accepting connections; open ones stay open.
  void StopAccepting();

  // Stops accepting connections and closes the open ones: those without a request at once, the
  // others after the response to the request that is being read or answered. Returns immediately.
  void Close();

  // Returns the number of open connections, without those that await only the end of the peer's
  // input after it has acknowledged the last response.
  std::size_t open_connections() const;

  // Returns the number of open connections that close as soon as the peer has acknowledged the last
  // response.
  std::size_t undelivered_responses() const;

  // Returns the number of requests of which some bytes have arrived, but not all.
  std::size_t partial_requests() const;

  // Returns the number of requests in progress.
  std::size_t active_exchanges() const;

  // Returns the number of connections rejected because too many were open.
  std::size_t rejected_connections() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace savoryglade
