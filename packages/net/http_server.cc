#include "net/http_server.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "logging/logger.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using RequestParser = http::request_parser<http::string_body>;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

const Logger kLog("net");

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

asio::awaitable<bool> HttpExchange::WriteRaw(std::string_view data) {
  stream_.expires_after(limits_.write_timeout);
  const auto [error, size] = co_await asio::async_write(stream_, asio::buffer(data), kAwait);
  stream_.expires_never();
  if (error) {
    keep_alive_ = false;
  }
  co_return !error;
}

asio::awaitable<bool> HttpExchange::Respond(unsigned status, HttpHeaders headers,
                                            std::string body) {
  http::response<http::string_body> response(http::int_to_status(status), request_.version());
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

asio::awaitable<bool> HttpExchange::StartStream(unsigned status, HttpHeaders headers) {
  http::response<http::empty_body> response(http::int_to_status(status), request_.version());
  for (const auto& [name, value] : headers) {
    response.set(name, value);
  }
  response.keep_alive(request_.keep_alive() && keep_alive_);
  response.chunked(true);
  keep_alive_ = response.keep_alive();
  http::response_serializer<http::empty_body> serializer(response);
  stream_.expires_after(limits_.write_timeout);
  const auto [error, size] = co_await http::async_write_header(stream_, serializer, kAwait);
  stream_.expires_never();
  if (error) {
    keep_alive_ = false;
  }
  co_return !error;
}

asio::awaitable<bool> HttpExchange::WriteChunk(std::string_view data) {
  if (data.empty()) {
    co_return true;
  }
  const std::string chunk = fmt::format("{:x}\r\n{}\r\n", data.size(), data);
  co_return co_await WriteRaw(chunk);
}

asio::awaitable<bool> HttpExchange::EndStream() { co_return co_await WriteRaw("0\r\n\r\n"); }

void HttpExchange::Abort() {
  keep_alive_ = false;
  stream_.close();
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(WorkerPool& worker_pool, HttpLimits http_limits, HttpHandler http_handler)
      : pool(worker_pool), limits(http_limits), handler(std::move(http_handler)) {}

  asio::awaitable<void> Accept() {
    while (true) {
      asio::io_context& context = pool.Next();
      auto [error, socket] = co_await acceptor->async_accept(context, kAwait);
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        continue;
      }
      if (connections.load() >= limits.connections) {
        kLog.Warning("Connection refused because too many are open.",
                     {{"limit", limits.connections}});
        continue;
      }
      socket.set_option(tcp::no_delay(true));
      ++connections;
      asio::co_spawn(
          context, Serve(shared_from_this(), beast::tcp_stream(std::move(socket))),
          [self = shared_from_this()](const std::exception_ptr&) { --self->connections; });
    }
  }

  // Answers a request that can't be parsed. Timeouts and closed connections get no answer.
  static asio::awaitable<void> RespondToBadRequest(beast::tcp_stream& stream,
                                                   const HttpLimits& limits,
                                                   beast::error_code error) {
    if (error.category() != make_error_code(http::error::bad_method).category() ||
        error == http::error::end_of_stream || error == http::error::partial_message) {
      co_return;
    }
    unsigned status = 400;
    const char* reason = "malformed_request";
    if (error == http::error::header_limit) {
      status = 431;
      reason = "request_too_large";
    } else if (error == http::error::body_limit) {
      status = 413;
      reason = "request_too_large";
    }
    HttpExchange exchange(stream, HttpRequest{http::verb::get, "/", 11}, limits);
    HttpHeaders headers = ContentType("application/json");
    headers.emplace_back("Savoryglade-Verdict", "not_run");
    headers.emplace_back("Savoryglade-Reason", reason);
    std::string body =
        fmt::format(R"({{"error":{{"reason":"{}","verdict":"not_run","message":"{}"}}}})", reason,
                    error.message());
    exchange.CloseAfterResponse();
    co_await exchange.Respond(status, std::move(headers), std::move(body));
  }

  static asio::awaitable<void> Serve(std::shared_ptr<State> state, beast::tcp_stream stream) {
    beast::flat_buffer buffer;
    while (true) {
      std::optional<RequestParser> parser(std::in_place);
      parser->header_limit(static_cast<std::uint32_t>(state->limits.header_size));
      parser->body_limit(state->limits.body_size);
      if (buffer.size() == 0) {
        stream.expires_after(state->limits.idle_timeout);
        const auto [wait_error] =
            co_await stream.socket().async_wait(tcp::socket::wait_read, kAwait);
        if (wait_error) {
          break;
        }
      }
      stream.expires_after(state->limits.read_timeout);
      const auto [error, size] = co_await http::async_read(stream, buffer, *parser, kAwait);
      stream.expires_never();
      if (error) {
        co_await RespondToBadRequest(stream, state->limits, error);
        break;
      }
      HttpExchange exchange(stream, parser->release(), state->limits);
      parser.reset();
      ++state->exchanges;
      try {
        co_await state->handler(exchange);
      } catch (const std::exception& exception) {
        kLog.Error("A request handler failed.", {{"error", exception.what()}});
        exchange.Abort();
      }
      --state->exchanges;
      if (!exchange.keep_alive()) {
        break;
      }
    }
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  WorkerPool& pool;
  HttpLimits limits;
  HttpHandler handler;
  std::optional<tcp::acceptor> acceptor;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> exchanges{0};
};

HttpServer::HttpServer(WorkerPool& pool, HttpLimits limits, HttpHandler handler)
    : state_(std::make_shared<State>(pool, limits, std::move(handler))) {}

HttpServer::~HttpServer() { StopAccepting(); }

Result<Endpoint> HttpServer::Listen(const Endpoint& endpoint) {
  beast::error_code error;
  const tcp::endpoint address(asio::ip::make_address(endpoint.address, error), endpoint.port);
  tcp::acceptor acceptor(state_->pool.context(0));
  if (!error) {
    acceptor.open(address.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(address, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(Error{
        .code = ErrorCode::kUnavailable,
        .message = fmt::format("Can't listen on {}: {}.", ToString(endpoint), error.message())});
  }
  const std::uint16_t port = acceptor.local_endpoint().port();
  state_->acceptor.emplace(std::move(acceptor));
  asio::co_spawn(
      state_->pool.context(0),
      [state = state_]() -> asio::awaitable<void> { return state->Accept(); }, asio::detached);
  return Endpoint{.address = endpoint.address, .port = port};
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

std::size_t HttpServer::active_exchanges() const { return state_->exchanges.load(); }

}  // namespace savoryglade
