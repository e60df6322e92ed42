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

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns headers that hold a content type only. g++ 12 rejects braced lists of headers inside some
// co_await expressions, so they are built by functions or named variables.
inline HttpHeaders ContentType(std::string type) {
  HttpHeaders headers;
  headers.emplace_back("Content-Type", std::move(type));
  return headers;
}

// Limits of one listener. Sizes are in bytes.
struct HttpLimits {
  std::size_t header_size = 16 * 1024;
  std::size_t body_size = 4 * 1024 * 1024;
  std::size_t connections = 10'000;
  // Longest time between two requests on a connection.
  Duration idle_timeout = 60s;
  // Longest time for a whole request to arrive once its first byte has.
  Duration read_timeout = 10s;
  // Longest time for one write to a slow reader.
  Duration write_timeout = 30s;
};

// One request on a connection and the means to answer it. Used by one coroutine at a time.
class HttpExchange {
 public:
  HttpExchange(boost::beast::tcp_stream& stream, HttpRequest request, const HttpLimits& limits,
               std::uint64_t connection_id = 0)
      : stream_(stream),
        request_(std::move(request)),
        limits_(limits),
        connection_id_(connection_id) {}

  const HttpRequest& request() const { return request_; }
  // Path and query of the request.
  std::string_view target() const;
  // Value of a header, or an empty string.
  std::string_view Header(std::string_view name) const;
  // Token of an "Authorization: Bearer" header, or an empty string.
  std::string_view BearerToken() const;

  // Sends a whole answer. Returns false if the peer is gone.
  boost::asio::awaitable<bool> Respond(unsigned status, HttpHeaders headers, std::string body);
  // Sends the header of a chunked answer together with the first chunk, if that is not empty.
  // Returns false if the peer is gone.
  boost::asio::awaitable<bool> StartStream(unsigned status, HttpHeaders headers,
                                           std::string_view first_chunk = {});
  // Sends one chunk; waits while the peer reads slowly. Returns false if the peer is gone.
  boost::asio::awaitable<bool> WriteChunk(std::string_view data);
  // Ends a chunked answer. Returns false if the peer is gone.
  boost::asio::awaitable<bool> EndStream();
  // Asks for the connection to be closed after the answer; call before Respond or StartStream.
  void CloseAfterResponse() { keep_alive_ = false; }
  // Closes the connection at once, even in the middle of an answer.
  void Abort();

  bool keep_alive() const { return keep_alive_; }
  // Number of the connection, unique within its listener and rising in the order of acceptance.
  std::uint64_t connection_id() const { return connection_id_; }
  // Returns the body of the request and leaves it empty, so that a long answer does not hold it.
  std::string TakeBody() { return std::move(request_.body()); }
  boost::beast::tcp_stream& stream() { return stream_; }

 private:
  boost::asio::awaitable<bool> WriteParts(std::string_view before, std::string_view data,
                                          std::string_view after);

  boost::beast::tcp_stream& stream_;
  HttpRequest request_;
  const HttpLimits& limits_;
  std::uint64_t connection_id_;
  bool keep_alive_ = true;
};

// Answers one request. Exceptions end the connection only.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

// HTTP/1.1 listener that runs a handler for each request. Connections are spread over the workers
// of the pool, which must be stopped before the server is destroyed.
class HttpServer {
 public:
  HttpServer(WorkerPool& pool, HttpLimits limits, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen and returns the endpoint with the port in use. The error names the address.
  Result<Endpoint> Listen(const Endpoint& endpoint);

  // Changes the limits of requests that come from now on; the number of connections stays. Only for
  // a server on a pool of one worker.
  void SetLimits(const HttpLimits& limits);

  // Takes no further connections; open ones go on.
  void StopAccepting();

  // Number of requests being answered now.
  std::size_t active_exchanges() const;

  // Number of connections refused because too many were open.
  std::size_t refused_connections() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace savoryglade
