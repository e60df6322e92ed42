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
#include "net/memory_budget.h"
#include "net/request_reader.h"
#include "net/transfer_coding.h"
#include "net/unhandled_request.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Limits on the input that is discarded before a connection is closed, and on the time for which it
// is awaited once the peer has acknowledged all that was sent to it.
constexpr std::size_t kMaxLingerBytes = 1024 * 1024;
constexpr Duration kLingerTimeout = 1s;
// Interval at which a connection is checked for bytes that the peer has not acknowledged.
constexpr Duration kDeliveryCheckInterval = 50ms;

// Leased for each connection: socket, timers, parser and coroutine frames. 600 connections
// with a part of a head took 3 to 4 MB.
constexpr std::size_t kConnectionBytes = 8 * 1024;
// Bodies above this size, and those in chunks, are read only after a check of the head, which
// closes the connection if it refuses. Smaller ones are read first, so that their connection stays
// open.
constexpr std::size_t kHeadCheckBytes = 128 * 1024;
// Responses that a client need not have acknowledged for its next request to be read. Hosts delay
// the acknowledgement of a few small ones by 40 ms.
constexpr std::size_t kMaxUndeliveredBytes = 4 * 1024;
// Interval at which a client that has sent its next request is checked for whether it has received
// the last response.
constexpr Duration kUnreadCheckInterval = 10ms;

// Requests the body from a caller that withholds it until its header is accepted.
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kTooManyConnectionsResponse =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    "Savoryglade-Verdict: not_run\r\nSavoryglade-Reason: too_many_connections\r\n"
    "Retry-After: 1\r\nConnection: close\r\nContent-Length: 63\r\n\r\n"
    R"({"error":{"reason":"too_many_connections","verdict":"not_run"}})";

const Logger kLog("net");

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

// Returns the Content-Length header, cut off after the longest valid number.
std::string FindContentLength(const RequestParser& parser) {
  constexpr std::size_t kMaxDigits = std::numeric_limits<std::uint64_t>::digits10 + 1;
  const auto value = parser.get()[http::field::content_length];
  return std::string(value.substr(0, kMaxDigits));
}

// Returns the number of bytes sent to the peer that it has not acknowledged.
std::size_t UndeliveredBytes(tcp::socket& socket) {
  int unacknowledged = 0;
  const bool known = ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
  return known ? static_cast<std::size_t>(std::max(unacknowledged, 0)) : 0;
}

bool HasUndeliveredBytes(tcp::socket& socket) { return UndeliveredBytes(socket) > 0; }

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(WorkerPool& worker_pool, HttpLimits http_limits, HttpHandler http_handler,
        HttpServerOptions http_options)
      : pool(worker_pool),
        limits(http_limits),
        handler(std::move(http_handler)),
        options(std::move(http_options)) {}

  // One connection while it is served. Used on its own worker, apart from the lease.
  struct Connection {
    Connection(State& state, beast::tcp_stream& connected)
        : stream(connected),
          id(state.next_connection_id.fetch_add(1)),
          buffer(state.limits.header_size + kMaxUnparsedBodyBytes),
          eviction(std::make_shared<Eviction>(Eviction{.stream = &connected})),
          lease(state.options.budget, &state, std::chrono::steady_clock::now(),
                [eviction = eviction, executor = connected.get_executor()] {
                  asio::post(executor, [eviction] { eviction->Close(); });
                }) {}
    ~Connection() { eviction->stream = nullptr; }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void SetEvictable(bool evictable) {
      eviction->allowed = evictable;
      eviction->is_idle = false;
      lease.SetEvictable(evictable, std::chrono::steady_clock::now());
    }

    // Returns the memory of the last request.
    void BecomeIdle() {
      lease.Set(MemoryPurpose::kBody, 0);
      lease.Set(MemoryPurpose::kHead, buffer.size());
      SetEvictable(true);
      eviction->is_idle = true;
      lease.OnIdle();
    }

    // Closes the connection later, unless its request is being handled by then.
    struct Eviction {
      beast::tcp_stream* stream = nullptr;
      bool allowed = true;
      // Whether the connection waits for a request.
      bool is_idle = false;

      void Close() const {
        beast::error_code ignored;
        // Closing it with a request unread would leave its caller in doubt whether that has run.
        const bool has_request =
            stream != nullptr && is_idle && stream->socket().available(ignored) > 0;
        if (stream != nullptr && allowed && !has_request) {
          kLog.Info(
              "Closed a connection without progress, because memory or connections are short.");
          stream->close();
        }
      }
    };

    beast::tcp_stream& stream;
    const std::uint64_t id;
    beast::flat_buffer buffer;
    std::shared_ptr<Eviction> eviction;
    MemoryLease lease;
  };

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
      if (connections.load() + lingering.load() >= limits.connections && !EvictOldest()) {
        RejectConnection(socket);
        continue;
      }
      socket.set_option(tcp::no_delay(true));
      asio::co_spawn(context,
                     Serve(shared_from_this(), beast::tcp_stream(std::move(socket)),
                           ScopedAtomicCount(connections)),
                     asio::detached);
    }
  }

  template <typename Socket>
  void RejectConnection(Socket& socket) {
    // The send buffer of a new connection is empty, so this write does not block.
    beast::error_code error;
    socket.non_blocking(true, error);
    socket.write_some(asio::buffer(kTooManyConnectionsResponse), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    ++rejected;
    kLog.Warning("A connection was rejected because too many are open.",
                 {{"connection", next_connection_id.fetch_add(1)},
                  {"open_connections", connections.load()},
                  {"limit", limits.connections}});
  }

  // Closes a connection without progress in favour of a new one. Returns false if there is none.
  bool EvictOldest() {
    return options.budget && options.budget->EvictOldest(this, std::chrono::steady_clock::now());
  }

  void CountRefusal(MemoryRefusal refusal) {
    if (options.budget) {
      options.budget->CountRefusal(refusal);
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
    if (reason.retry_after_s > 0) {
      headers.emplace_back("Retry-After", std::to_string(reason.retry_after_s));
    }
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

  // Responds to a request on the basis of its head, if the check refuses it. Returns true if it was
  // refused.
  static asio::awaitable<bool> RefuseByHead(State& state, Connection& connection,
                                            RequestParser& parser) {
    const bool is_small =
        !parser.chunked() && parser.content_length().value_or(0) <= kHeadCheckBytes;
    if (!state.options.head_check || is_small) {
      co_return false;
    }
    HttpExchange exchange(connection.stream, HttpRequest(parser.get().base()), state.limits,
                          connection.id, &connection.lease);
    exchange.CloseAfterResponse();
    co_return co_await state.options.head_check(exchange);
  }

  // Reads a request of which the first byte has arrived. Returns what is known of it if it can't be
  // handled.
  static asio::awaitable<std::optional<UnhandledRequest>> ReadRequest(State& state,
                                                                      Connection& connection,
                                                                      RequestParser& parser) {
    const ScopedAtomicCount partial(state.partial_requests);
    const TimePoint begun_at = std::chrono::steady_clock::now();
    beast::tcp_stream& stream = connection.stream;
    connection.SetEvictable(true);
    stream.expires_after(state.limits.read_timeout);
    RequestReader reader(stream, connection.buffer, state.limits, connection.lease);
    beast::error_code error = co_await reader.ReadHead(parser);
    const bool has_unsupported_coding =
        !error && HasUnsupportedTransferCoding(parser.get(), parser.get().version());
    if (has_unsupported_coding) {
      error = http::error::bad_transfer_encoding;
    }
    if (!error && !parser.is_done()) {
      if (co_await RefuseByHead(state, connection, parser)) {
        co_return UnhandledRequest{.is_answered = true};
      }
      // The check may have replaced the time to read.
      stream.expires_at(begun_at + state.limits.read_timeout);
      if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        std::size_t ignored = 0;
        std::tie(error, ignored) =
            co_await asio::async_write(stream, asio::buffer(kContinueResponse), kAwait);
      }
      if (!error) {
        error = co_await reader.ReadBody(parser);
      }
    }
    stream.expires_never();
    connection.SetEvictable(false);
    if (!error) {
      connection.lease.OnRequestRead();
      co_return std::nullopt;
    }
    if (reader.refusal() != ReadRefusal::kNone) {
      state.CountRefusal(reader.refusal() == ReadRefusal::kNoMemory
                             ? MemoryRefusal::kRequest
                             : MemoryRefusal::kTooManyFields);
    }
    co_return UnhandledRequest{.connection_id = connection.id,
                               .error = error,
                               .has_unsupported_coding = has_unsupported_coding,
                               .bytes = reader.bytes() + connection.buffer.size(),
                               .content_length = FindContentLength(parser),
                               .refusal = reader.refusal(),
                               .time = std::chrono::steady_clock::now() - begun_at};
  }

  // Waits until the peer has received the responses to its earlier requests, so that one that does
  // not read them can't have more requests read. Returns false after the time for a write.
  static asio::awaitable<bool> AwaitDelivery(State& state, beast::tcp_stream& stream) {
    const TimePoint deadline = std::chrono::steady_clock::now() + state.limits.write_timeout;
    asio::steady_timer timer(stream.get_executor());
    while (stream.socket().is_open() && UndeliveredBytes(stream.socket()) > kMaxUndeliveredBytes) {
      if (std::chrono::steady_clock::now() >= deadline) {
        co_return false;
      }
      timer.expires_after(kUnreadCheckInterval);
      co_await timer.async_wait(kAwait);
    }
    co_return true;
  }

  // Waits for the next request and for the peer to receive the last response. Returns false if the
  // connection ends.
  static asio::awaitable<bool> AwaitNextRequest(State& state, Connection& connection) {
    connection.BecomeIdle();
    if (connection.buffer.size() == 0) {
      const bool has_request = co_await AwaitRequest(state, connection.id, connection.stream);
      if (!has_request) {
        co_return false;
      }
    }
    const bool delivered = co_await AwaitDelivery(state, connection.stream);
    co_return delivered;
  }

  static asio::awaitable<void> Serve(std::shared_ptr<State> state, beast::tcp_stream stream,
                                     ScopedAtomicCount count) {
    // g++ 12 destroys the parameters of a coroutine in their order, so the state would end before
    // a parameter that refers to it.
    std::optional<ScopedAtomicCount> open(std::move(count));
    auto connection = std::make_unique<Connection>(*state, stream);
    bool has_memory = true;
    if (state->limits.body_size <= kReservedBodyBytes) {
      connection->lease.Set(MemoryPurpose::kConnection, kConnectionBytes);
    } else {
      has_memory = connection->lease.TrySet(MemoryPurpose::kConnection, kConnectionBytes,
                                            std::chrono::steady_clock::now());
    }
    if (has_memory) {
      co_await ServeRequests(*state, *connection);
    } else {
      state->CountRefusal(MemoryRefusal::kConnection);
      state->RejectConnection(stream.socket());
    }
    connection.reset();
    co_await Linger(*state, stream.socket(), std::move(open));
  }

  static asio::awaitable<void> ServeRequests(State& state, Connection& connection) {
    while (true) {
      std::optional<RequestParser> parser(std::in_place);
      parser->header_limit(static_cast<std::uint32_t>(state.limits.header_size));
      parser->body_limit(state.limits.body_size);
      if (!co_await AwaitNextRequest(state, connection)) {
        co_return;
      }
      std::optional<UnhandledRequest> unhandled = co_await ReadRequest(state, connection, *parser);
      if (unhandled) {
        parser.reset();
        // A connection that ends between two requests has no request to report.
        if (!unhandled->is_answered && unhandled->error != http::error::end_of_stream &&
            unhandled->bytes > 0) {
          co_await RespondToBadRequest(connection.stream, state.limits, *unhandled);
        }
        co_return;
      }
      HttpExchange exchange(connection.stream, parser->release(), state.limits, connection.id,
                            &connection.lease);
      parser.reset();
      if (connection.buffer.size() == 0) {
        connection.buffer.shrink_to_fit();
      }
      if (state.closing) {
        exchange.CloseAfterResponse();
      }
      ++state.exchanges;
      try {
        co_await state.handler(exchange);
      } catch (const std::exception& exception) {
        CloseAfterException(exchange, exception.what());
      } catch (...) {
        CloseAfterException(exchange, "of an unknown type");
      }
      --state.exchanges;
      if (!exchange.keep_alive()) {
        co_return;
      }
    }
  }

  WorkerPool& pool;
  HttpLimits limits;
  HttpHandler handler;
  HttpServerOptions options;
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

HttpServer::HttpServer(WorkerPool& pool, HttpLimits limits, HttpHandler handler,
                       HttpServerOptions options)
    : state_(std::make_shared<State>(pool, limits, std::move(handler), std::move(options))) {}

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
