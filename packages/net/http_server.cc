#include "net/http_server.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iterator>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "logging/logger.h"
#include "net/acceptor.h"
#include "net/transfer_coding.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using RequestParser = http::request_parser<http::string_body>;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Holds the hexadecimal size and the line end of a chunk.
constexpr std::size_t kMaxChunkHeaderBytes = 20;
// Most bytes of a body that are kept unparsed: the header of a chunk, or the trailer.
constexpr std::size_t kMaxUnparsedBodyBytes = 16 * 1024;
// Limits on the input that is discarded before a connection is closed, and on the time for which it
// is awaited once the peer has acknowledged all that was sent to it.
constexpr std::size_t kMaxLingerBytes = 1024 * 1024;
constexpr Duration kLingerTimeout = 1s;
// Interval at which a connection is checked for bytes that the peer has not acknowledged.
constexpr Duration kDeliveryCheckInterval = 50ms;

// Requests the body from a caller that withholds it until its header is accepted.
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kTooManyConnectionsResponse =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    "Savoryglade-Verdict: not_run\r\nSavoryglade-Reason: too_many_connections\r\n"
    "Retry-After: 1\r\nConnection: close\r\nContent-Length: 63\r\n\r\n"
    R"({"error":{"reason":"too_many_connections","verdict":"not_run"}})";

const Logger kLog("net");

// Reason phrase of a status that the HTTP library does not list; callers ignore reason phrases.
constexpr const char* kUnlistedReason = "Unlisted Status";

// Counts something in progress, on any thread, for as long as the object lives.
class ScopedAtomicCount {
 public:
  explicit ScopedAtomicCount(std::atomic<std::size_t>& count) : count_(&count) { ++count; }
  ScopedAtomicCount(ScopedAtomicCount&& other) noexcept
      : count_(std::exchange(other.count_, nullptr)) {}
  ~ScopedAtomicCount() {
    if (count_ != nullptr) {
      --*count_;
    }
  }
  ScopedAtomicCount(const ScopedAtomicCount&) = delete;
  ScopedAtomicCount& operator=(const ScopedAtomicCount&) = delete;
  ScopedAtomicCount& operator=(ScopedAtomicCount&&) = delete;

 private:
  std::atomic<std::size_t>* count_;
};

// Returns the header of a response with any status from 100 to 999.
http::response_header<> MakeHeader(unsigned status, unsigned version) {
  http::response_header<> header;
  header.version(version);
  header.result(status);
  if (http::int_to_status(status) == http::status::unknown) {
    header.reason(kUnlistedReason);
  }
  return header;
}

// Request that ends before its handler is called.
struct UnhandledRequest {
  std::uint64_t connection_id = 0;
  beast::error_code error;
  bool has_unsupported_coding = false;
  // Bytes received, including those that are not parsed.
  std::size_t bytes = 0;
  // Value of the Content-Length header, or empty.
  std::string content_length;
  // Time since the first byte.
  Duration time{};
};

// Why a request ends before its handler is called.
struct UnhandledReason {
  const char* name;
  // Status of the response, or zero if none is sent.
  unsigned status = 0;
  // Reason in the response.
  const char* response_reason = "";
  // Limit that was exceeded, or empty.
  std::string limit;
};

UnhandledReason FindReason(const UnhandledRequest& request, const HttpLimits& limits) {
  const beast::error_code& error = request.error;
  if (error == beast::error::timeout) {
    return {.name = "read_timeout", .limit = fmt::format("{} ms", limits.read_timeout / 1ms)};
  }
  if (error.category() != make_error_code(http::error::bad_method).category()) {
    return {.name = "connection_lost"};
  }
  if (request.has_unsupported_coding) {
    return {.name = "unsupported_coding", .status = 501, .response_reason = "malformed_request"};
  }
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    const std::size_t limit = error == http::error::header_limit
                                  ? limits.header_size
                                  : limits.header_size + kMaxUnparsedBodyBytes;
    return {.name = "header_too_large",
            .status = 431,
            .response_reason = "request_too_large",
            .limit = fmt::format("{} bytes", limit)};
  }
  if (error == http::error::body_limit) {
    return {.name = "body_too_large",
            .status = 413,
            .response_reason = "request_too_large",
            .limit = fmt::format("{} bytes", limits.body_size)};
  }
  return {.name = error == http::error::partial_message ? "truncated" : "malformed",
          .status = 400,
          .response_reason = "malformed_request"};
}

// Returns the Content-Length header, cut off after the longest valid number.
std::string FindContentLength(const RequestParser& parser) {
  constexpr std::size_t kMaxDigits = std::numeric_limits<std::uint64_t>::digits10 + 1;
  const auto value = parser.get()[http::field::content_length];
  return std::string(value.substr(0, kMaxDigits));
}

// Returns true if the peer has not acknowledged all that was sent to it.
bool HasUndeliveredBytes(tcp::socket& socket) {
  int unacknowledged = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) { return beast::iequals(a, b); }

}  // namespace

std::string_view HttpExchange::target() const {
  return {request_.target().data(), request_.target().size()};
}

std::string_view HttpExchange::Header(std::string_view name) const {
  const auto found = request_.find(beast::string_view(name.data(), name.size()));
  if (found == request_.end()) {
    return {};
  }
  return {found->value().data(), found->value().size()};
}

std::string_view HttpExchange::BearerToken() const {
  static constexpr std::string_view kPrefix = "Bearer ";
  const std::string_view value = Header("Authorization");
  if (value.size() <= kPrefix.size() ||
      !EqualsIgnoringCase(value.substr(0, kPrefix.size()), kPrefix)) {
    return {};
  }
  return value.substr(kPrefix.size());
}

asio::awaitable<bool> HttpExchange::WriteBuffers(std::string_view before, std::string_view data,
                                                 std::string_view after) {
  const std::array<asio::const_buffer, 3> parts = {asio::buffer(before.data(), before.size()),
                                                   asio::buffer(data.data(), data.size()),
                                                   asio::buffer(after.data(), after.size())};
  stream_.expires_after(limits_.write_timeout);
  const auto [error, size] = co_await asio::async_write(stream_, parts, kAwait);
  stream_.expires_never();
  if (error) {
    keep_alive_ = false;
  }
  co_return !error;
}

asio::awaitable<bool> HttpExchange::Respond(unsigned status, HttpHeaders headers,
                                            std::string body) {
  http::response<http::string_body> response(MakeHeader(status, request_.version()));
  for (const auto& [name, value] : headers) {
    response.set(name, value);
  }
  response.keep_alive(request_.keep_alive() && keep_alive_);
  keep_alive_ = response.keep_alive();
  response.body() = std::move(body);
  response.prepare_payload();
  stream_.expires_after(limits_.write_timeout);
  const auto [error, size] = co_await http::async_write(stream_, response, kAwait);
  stream_.expires_never();
  if (error) {
    keep_alive_ = false;
  }
  co_return !error;
}

asio::awaitable<bool> HttpExchange::StartStream(unsigned status, HttpHeaders headers,
                                                std::string_view first_chunk) {
  http::response<http::empty_body> response(MakeHeader(status, request_.version()));
  for (const auto& [name, value] : headers) {
    response.set(name, value);
  }
  response.keep_alive(request_.keep_alive() && keep_alive_);
  response.chunked(true);
  keep_alive_ = response.keep_alive();
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(response.reason()));
  for (const auto& field : response) {
    text.append(field.name_string()).append(": ").append(field.value()).append("\r\n");
  }
  text += "\r\n";
  if (first_chunk.empty()) {
    co_return co_await WriteBuffers(text, {}, {});
  }
  fmt::format_to(std::back_inserter(text), "{:x}\r\n", first_chunk.size());
  co_return co_await WriteBuffers(text, first_chunk, "\r\n");
}

asio::awaitable<bool> HttpExchange::WriteChunk(std::string_view data) {
  if (data.empty()) {
    co_return true;
  }
  std::array<char, kMaxChunkHeaderBytes> header;
  const auto end = fmt::format_to_n(header.data(), header.size(), "{:x}\r\n", data.size());
  co_return co_await WriteBuffers({header.data(), end.size}, data, "\r\n");
}

asio::awaitable<bool> HttpExchange::EndStream() {
  co_return co_await WriteBuffers("0\r\n\r\n", {}, {});
}

void HttpExchange::Abort() {
  keep_alive_ = false;
  stream_.close();
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(WorkerPool& worker_pool, HttpLimits http_limits, HttpHandler http_handler)
      : pool(worker_pool), limits(http_limits), handler(std::move(http_handler)) {}

  asio::awaitable<void> AcceptConnections() {
    while (true) {
      asio::io_context& context = pool.Next();
      auto [error, socket] = co_await acceptor->async_accept(context, kAwait);
      if (error == asio::error::operation_aborted || !acceptor->is_open()) {
        co_return;
      }
      if (error) {
        continue;
      }
      if (connections.load() + lingering.load() >= limits.connections) {
        // The send buffer of a new connection is empty, so this write does not block.
        socket.non_blocking(true, error);
        socket.write_some(asio::buffer(kTooManyConnectionsResponse), error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        ++rejected;
        kLog.Warning("A connection was rejected because too many are open.",
                     {{"connection", next_connection_id.fetch_add(1)},
                      {"open_connections", connections.load()},
                      {"limit", limits.connections}});
        continue;
      }
      socket.set_option(tcp::no_delay(true));
      asio::co_spawn(context,
                     Serve(shared_from_this(), beast::tcp_stream(std::move(socket)),
                           ScopedAtomicCount(connections)),
                     asio::detached);
    }
  }

  // Logs a request that can't be parsed, is too large, does not arrive completely, or has a
  // transfer coding that is not supported, and responds to it. Sends no response after a timeout or
  // to a connection that is lost.
  static asio::awaitable<void> RespondToBadRequest(beast::tcp_stream& stream,
                                                   const HttpLimits& limits,
                                                   const UnhandledRequest& request) {
    const UnhandledReason reason = FindReason(request, limits);
    kLog.Info("A request ended before it was handled.",
              {{"connection", request.connection_id},
               {"reason", reason.name},
               {"status", reason.status},
               {"bytes", request.bytes},
               {"content_length", request.content_length.empty() ? "-" : request.content_length},
               {"ms", request.time / 1ms},
               {"limit", reason.limit.empty() ? "-" : reason.limit},
               {"error", request.error.message()}});
    if (reason.status == 0) {
      co_return;
    }
    HttpExchange exchange(stream, HttpRequest{http::verb::get, "/", 11}, limits);
    HttpHeaders headers = ContentType("application/json");
    headers.emplace_back("Savoryglade-Verdict", "not_run");
    headers.emplace_back("Savoryglade-Reason", reason.response_reason);
    std::string body =
        fmt::format(R"({{"error":{{"reason":"{}","verdict":"not_run","message":"{}"}}}})",
                    reason.response_reason, request.error.message());
    exchange.CloseAfterResponse();
    co_await exchange.Respond(reason.status, std::move(headers), std::move(body));
  }

  // Ends a connection whose peer may still send. Closing a connection with unread input resets it,
  // and the peer loses the bytes that are on their way to it (RFC 9112, section 9.6), so input is
  // discarded until the peer ends its side, or until a limit on the bytes or the time is reached.
  // The connection counts as open until the peer has acknowledged all that was sent to it.
  static asio::awaitable<void> Linger(State& state, tcp::socket& socket,
                                      std::optional<ScopedAtomicCount> connection) {
    using asio::experimental::awaitable_operators::operator||;
    beast::error_code error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    if (!error) {
      socket.non_blocking(true, error);
    }
    std::optional<ScopedAtomicCount> undelivered(std::in_place, state.undelivered);
    std::optional<ScopedAtomicCount> lingering;
    asio::steady_timer timer(socket.get_executor());
    TimePoint deadline = std::chrono::steady_clock::now() + state.limits.write_timeout;
    std::array<char, 4096> discarded;
    std::size_t total = 0;
    while (!error && total <= kMaxLingerBytes) {
      total += socket.read_some(asio::buffer(discarded), error);
      if (error != asio::error::would_block) {
        continue;
      }
      const TimePoint now = std::chrono::steady_clock::now();
      if (undelivered && !HasUndeliveredBytes(socket)) {
        lingering.emplace(state.lingering);
        undelivered.reset();
        connection.reset();
        deadline = now + kLingerTimeout;
      }
      if (now >= deadline) {
        break;
      }
      timer.expires_at(undelivered ? std::min(deadline, now + kDeliveryCheckInterval) : deadline);
      co_await (socket.async_wait(tcp::socket::wait_read, kAwait) || timer.async_wait(kAwait));
      error = {};
    }
  }

  // Registers a connection that waits for a request, so that Close can end the wait.
  class IdleRegistration {
   public:
    IdleRegistration(State& state, std::uint64_t connection_id, beast::tcp_stream& stream)
        : state_(state), connection_id_(connection_id) {
      const std::lock_guard lock(state_.idle_mutex);
      state_.idle_connections.emplace(connection_id, &stream);
    }
    ~IdleRegistration() {
      const std::lock_guard lock(state_.idle_mutex);
      state_.idle_connections.erase(connection_id_);
    }
    IdleRegistration(const IdleRegistration&) = delete;
    IdleRegistration& operator=(const IdleRegistration&) = delete;

   private:
    State& state_;
    std::uint64_t connection_id_;
  };

  // Waits for the next request. Returns false if the connection ended, or if no byte of a request
  // has arrived when the server closes or the idle timeout has passed.
  static asio::awaitable<bool> AwaitRequest(State& state, std::uint64_t connection_id,
                                            beast::tcp_stream& stream) {
    const IdleRegistration registration(state, connection_id, stream);
    if (!state.closing) {
      // The timeout of the stream does not apply to a wait of its socket.
      asio::steady_timer timer(stream.get_executor(), state.limits.idle_timeout);
      timer.async_wait([self = state.shared_from_this(), connection_id](beast::error_code expired) {
        if (!expired) {
          self->CancelIdleWait(connection_id);
        }
      });
      const auto [error] = co_await stream.socket().async_wait(tcp::socket::wait_read, kAwait);
      if (!error) {
        co_return true;
      }
    }
    // Bytes that arrived just before the wait was cancelled belong to a request.
    beast::error_code ignored;
    co_return stream.socket().available(ignored) > 0;
  }

  // Ends the wait of a connection for its next request. Runs on the connection's worker.
  void CancelIdleWait(std::uint64_t connection_id) {
    const std::lock_guard lock(idle_mutex);
    const auto found = idle_connections.find(connection_id);
    if (found != idle_connections.end()) {
      beast::error_code ignored;
      found->second->socket().cancel(ignored);
    }
  }

  void CloseIdleConnections() {
    const std::lock_guard lock(idle_mutex);
    for (const auto& [id, stream] : idle_connections) {
      // A socket may be used on its own worker only, where the connection may have a request by
      // then.
      asio::post(stream->get_executor(),
                 [self = shared_from_this(), id = id] { self->CancelIdleWait(id); });
    }
  }

  static void CloseAfterException(HttpExchange& exchange, std::string_view error) {
    kLog.Essential("A request handler threw an exception; the connection is closed.",
                   {{"connection", exchange.connection_id()}, {"error", error}}, LogLevel::kError);
    exchange.Abort();
  }

  // Reads a request of which the first byte has arrived. Returns what is known of it if it can't be
  // handled.
  static asio::awaitable<std::optional<UnhandledRequest>> ReadRequest(State& state,
                                                                      std::uint64_t connection_id,
                                                                      beast::tcp_stream& stream,
                                                                      beast::flat_buffer& buffer,
                                                                      RequestParser& parser) {
    const ScopedAtomicCount partial(state.partial_requests);
    const TimePoint begun_at = std::chrono::steady_clock::now();
    stream.expires_after(state.limits.read_timeout);
    auto [error, size] = co_await http::async_read_header(stream, buffer, parser, kAwait);
    std::size_t bytes = size;
    const bool has_unsupported_coding =
        !error && HasUnsupportedTransferCoding(parser.get(), parser.get().version());
    if (has_unsupported_coding) {
      error = http::error::bad_transfer_encoding;
    }
    if (!error && !parser.is_done()) {
      if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        std::tie(error, size) =
            co_await asio::async_write(stream, asio::buffer(kContinueResponse), kAwait);
      }
      if (!error) {
        std::tie(error, size) = co_await http::async_read(stream, buffer, parser, kAwait);
        bytes += size;
      }
    }
    stream.expires_never();
    if (!error) {
      co_return std::nullopt;
    }
    co_return UnhandledRequest{.connection_id = connection_id,
                               .error = error,
                               .has_unsupported_coding = has_unsupported_coding,
                               .bytes = bytes + buffer.size(),
                               .content_length = FindContentLength(parser),
                               .time = std::chrono::steady_clock::now() - begun_at};
  }

  static asio::awaitable<void> Serve(std::shared_ptr<State> state, beast::tcp_stream stream,
                                     ScopedAtomicCount count) {
    // g++ 12 destroys the parameters of a coroutine in their order, so the state would end before
    // a parameter that refers to it.
    ScopedAtomicCount connection = std::move(count);
    const std::uint64_t connection_id = state->next_connection_id.fetch_add(1);
    beast::flat_buffer buffer(state->limits.header_size + kMaxUnparsedBodyBytes);
    while (true) {
      std::optional<RequestParser> parser(std::in_place);
      parser->header_limit(static_cast<std::uint32_t>(state->limits.header_size));
      parser->body_limit(state->limits.body_size);
      if (buffer.size() == 0 && !co_await AwaitRequest(*state, connection_id, stream)) {
        break;
      }
      const std::optional<UnhandledRequest> unhandled =
          co_await ReadRequest(*state, connection_id, stream, buffer, *parser);
      if (unhandled) {
        // A connection that ends between two requests has no request to report.
        if (unhandled->error != http::error::end_of_stream && unhandled->bytes > 0) {
          co_await RespondToBadRequest(stream, state->limits, *unhandled);
        }
        break;
      }
      HttpExchange exchange(stream, parser->release(), state->limits, connection_id);
      parser.reset();
      if (buffer.size() == 0) {
        buffer.shrink_to_fit();
      }
      if (state->closing) {
        exchange.CloseAfterResponse();
      }
      ++state->exchanges;
      try {
        co_await state->handler(exchange);
      } catch (const std::exception& exception) {
        CloseAfterException(exchange, exception.what());
      } catch (...) {
        CloseAfterException(exchange, "of an unknown type");
      }
      --state->exchanges;
      if (!exchange.keep_alive()) {
        break;
      }
    }
    co_await Linger(*state, stream.socket(), std::move(connection));
  }

  WorkerPool& pool;
  HttpLimits limits;
  HttpHandler handler;
  std::optional<tcp::acceptor> acceptor;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> undelivered{0};
  std::atomic<std::size_t> lingering{0};
  std::atomic<std::size_t> partial_requests{0};
  std::atomic<std::size_t> exchanges{0};
  std::atomic<std::size_t> rejected{0};
  std::atomic<std::uint64_t> next_connection_id{1};
  std::atomic<bool> closing{false};
  std::mutex idle_mutex;
  // Connections that wait for a request, by their ids.
  std::map<std::uint64_t, beast::tcp_stream*> idle_connections;
};

HttpServer::HttpServer(WorkerPool& pool, HttpLimits limits, HttpHandler handler)
    : state_(std::make_shared<State>(pool, limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  // Connections that are still open on other workers keep the state alive longer than the
  // io_context of the acceptor.
  state_->acceptor.reset();
}

Result<Endpoint> HttpServer::Listen(const Endpoint& endpoint) {
  Result<tcp::acceptor> acceptor = OpenAcceptor(state_->pool.context(0), endpoint);
  if (!acceptor) {
    return tl::make_unexpected(acceptor.error());
  }
  const std::uint16_t port = acceptor->local_endpoint().port();
  state_->acceptor.emplace(std::move(*acceptor));
  asio::co_spawn(
      state_->pool.context(0),
      [state = state_]() -> asio::awaitable<void> { return state->AcceptConnections(); },
      asio::detached);
  return Endpoint{.address = endpoint.address, .port = port};
}

void HttpServer::SetLimits(const HttpLimits& limits) {
  asio::post(state_->pool.context(0), [state = state_, limits] { state->limits = limits; });
}

void HttpServer::StopAccepting() {
  if (!state_->acceptor) {
    return;
  }
  asio::post(state_->pool.context(0), [state = state_] {
    beast::error_code ignored;
    state->acceptor->close(ignored);
  });
}

void HttpServer::Close() {
  state_->closing = true;
  StopAccepting();
  state_->CloseIdleConnections();
}

std::size_t HttpServer::open_connections() const { return state_->connections.load(); }

std::size_t HttpServer::undelivered_responses() const { return state_->undelivered.load(); }

std::size_t HttpServer::partial_requests() const { return state_->partial_requests.load(); }

std::size_t HttpServer::active_exchanges() const { return state_->exchanges.load(); }

std::size_t HttpServer::rejected_connections() const { return state_->rejected.load(); }

}  // namespace savoryglade
