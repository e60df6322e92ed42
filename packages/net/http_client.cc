#include "net/http_client.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <utility>

#include "net/log_exception.h"
#include "net/transfer_coding.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadChunkBytes = 8 * 1024;
// Statuses are numbers from 100 to 999.
constexpr unsigned kFirstStatus = 100;
constexpr std::size_t kMaxHealthBodyBytes = 4 * 1024;

ErrorCode CodeOf(beast::error_code error) {
  if (error == beast::error::timeout) {
    return ErrorCode::kTimeout;
  }
  const bool connection_ended =
      error == http::error::end_of_stream || error == http::error::partial_message;
  const bool is_parse_error =
      error.category() == make_error_code(http::error::bad_version).category();
  return is_parse_error && !connection_ended ? ErrorCode::kInvalid : ErrorCode::kUnavailable;
}

Error MakeError(const char* action, const Endpoint& endpoint, beast::error_code error) {
  return {.code = CodeOf(error),
          .message = fmt::format("{} {} failed: {}.", action, ToString(endpoint), error.message())};
}

// Returns the status of a response, or kInvalid if the protocol has no such status or the length of
// the response is ambiguous.
Result<unsigned> CheckHeader(const http::response_header<>& header, const Endpoint& endpoint) {
  const auto invalid = [&](std::string detail) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid,
              .message = fmt::format("The response of {} has {}.", ToString(endpoint), detail)});
  };
  const unsigned status = header.result_int();
  if (status < kFirstStatus) {
    return invalid(fmt::format("the invalid status {:03}", status));
  }
  if (HasUnsupportedTransferCoding(header, header.version())) {
    return invalid("an unsupported transfer coding");
  }
  return status;
}

Result<HttpResponse> CheckResponse(HttpResponse response, const Endpoint& endpoint) {
  const Result<unsigned> status = CheckHeader(response, endpoint);
  if (!status) {
    return tl::make_unexpected(status.error());
  }
  return response;
}

}  // namespace

asio::awaitable<Result<std::unique_ptr<HttpConnection>>> HttpConnection::Connect(
    const Endpoint& endpoint, Duration timeout, std::string source_address) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  beast::error_code parse_error;
  const tcp::endpoint address(asio::ip::make_address(endpoint.address, parse_error), endpoint.port);
  if (!source_address.empty()) {
    beast::error_code bind_error;
    const tcp::endpoint source(asio::ip::make_address(source_address, bind_error), 0);
    if (!bind_error) {
      stream.socket().open(source.protocol(), bind_error);
    }
    if (!bind_error) {
      stream.socket().bind(source, bind_error);
    }
    if (bind_error) {
      co_return tl::make_unexpected(MakeError("Binding a socket for", endpoint, bind_error));
    }
  }
  stream.expires_after(timeout);
  const auto [error] = co_await stream.async_connect(address, kAwait);
  if (error) {
    co_return tl::make_unexpected(MakeError("Connecting to", endpoint, error));
  }
  stream.socket().set_option(tcp::no_delay(true));
  // A closed socket would otherwise retransmit a request for minutes after its attempt has ended.
  stream.socket().set_option(asio::socket_base::linger(true, 0));
  stream.expires_never();
  co_return std::make_unique<HttpConnection>(std::move(stream), endpoint);
}

asio::awaitable<Result<void>> HttpConnection::Send(const HttpRequest& request, Duration timeout) {
  reusable_ = false;
  expects_body_ = request.method() != http::verb::head;
  stream_.expires_after(timeout);
  const auto [error, size] = co_await http::async_write(stream_, request, kAwait);
  stream_.expires_never();
  if (error) {
    co_return tl::make_unexpected(MakeError("Sending to", endpoint_, error));
  }
  co_return Result<void>();
}

asio::awaitable<Result<void>> HttpConnection::Send(const HttpRequest& head, const std::string& body,
                                                   Duration timeout) {
  using BodyView = http::span_body<const char>;
  http::request<BodyView> request(http::request_header<>(head.base()),
                                  beast::span<const char>(body.data(), body.size()));
  reusable_ = false;
  expects_body_ = head.method() != http::verb::head;
  stream_.expires_after(timeout);
  const auto [error, size] = co_await http::async_write(stream_, request, kAwait);
  stream_.expires_never();
  if (error) {
    co_return tl::make_unexpected(MakeError("Sending to", endpoint_, error));
  }
  co_return Result<void>();
}

asio::awaitable<Result<unsigned>> HttpConnection::ReadHeader(Duration timeout) {
  parser_.emplace();
  parser_->body_limit(boost::none);
  parser_->skip(!expects_body_);
  stream_.expires_after(timeout);
  const auto [error, size] = co_await http::async_read_header(stream_, buffer_, *parser_, kAwait);
  stream_.expires_never();
  if (error) {
    co_return tl::make_unexpected(MakeError("Reading from", endpoint_, error));
  }
  co_return CheckHeader(parser_->get(), endpoint_);
}

asio::awaitable<Result<bool>> HttpConnection::ReadSome(std::string& text, Duration timeout) {
  if (parser_->is_done()) {
    reusable_ = parser_->keep_alive();
    co_return false;
  }
  std::array<char, kReadChunkBytes> chunk;
  parser_->get().body().data = chunk.data();
  parser_->get().body().size = chunk.size();
  parser_->get().body().more = true;
  stream_.expires_after(timeout);
  auto [error, size] = co_await http::async_read_some(stream_, buffer_, *parser_, kAwait);
  stream_.expires_never();
  if (error && error != http::error::need_buffer) {
    co_return tl::make_unexpected(MakeError("Reading from", endpoint_, error));
  }
  text.append(chunk.data(), chunk.size() - parser_->get().body().size);
  co_return true;
}

asio::awaitable<Result<HttpResponse>> HttpConnection::ReadResponse(std::size_t body_limit,
                                                                   Duration timeout) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(body_limit);
  stream_.expires_after(timeout);
  const auto [error, size] = co_await http::async_read(stream_, buffer_, parser, kAwait);
  stream_.expires_never();
  if (error) {
    co_return tl::make_unexpected(MakeError("Reading from", endpoint_, error));
  }
  reusable_ = parser.keep_alive();
  co_return CheckResponse(parser.release(), endpoint_);
}

asio::awaitable<Result<HttpResponse>> HttpConnection::ReadLargeResponse(std::size_t body_limit,
                                                                        Duration timeout,
                                                                        Duration progress_timeout) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(body_limit);
  parser.eager(true);
  const TimePoint begun_at = std::chrono::steady_clock::now();
  std::size_t received = 0;
  while (!parser.is_done()) {
    const TimePoint give_up_at =
        begun_at + timeout + FromSeconds(static_cast<double>(received) / kMinTransferRate);
    const Duration remaining = give_up_at - std::chrono::steady_clock::now();
    stream_.expires_after(received == 0 ? remaining : std::min(remaining, progress_timeout));
    const auto [error, size] = co_await http::async_read_some(stream_, buffer_, parser, kAwait);
    stream_.expires_never();
    if (error) {
      co_return tl::make_unexpected(MakeError("Reading from", endpoint_, error));
    }
    received += size;
  }
  reusable_ = parser.keep_alive();
  co_return CheckResponse(parser.release(), endpoint_);
}

asio::awaitable<Result<HttpResponse>> HttpConnection::CheckHealth(Duration timeout) {
  HttpRequest request(http::verb::get, "/health", 11);
  request.set(http::field::host, ToString(endpoint_));
  const Result<void> sent = co_await Send(request, timeout);
  if (!sent) {
    co_return tl::make_unexpected(sent.error());
  }
  co_return co_await ReadResponse(kMaxHealthBodyBytes, timeout);
}

const http::fields& HttpConnection::response_header() const { return parser_->get().base(); }

std::optional<std::size_t> HttpConnection::UnacknowledgedBytes() {
  int bytes = 0;
  if (!stream_.socket().is_open() ||
      ::ioctl(stream_.socket().native_handle(), SIOCOUTQ, &bytes) != 0) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(bytes);
}

bool HttpConnection::IsOpenAndIdle() {
  if (!stream_.socket().is_open() || buffer_.size() > 0) {
    return false;
  }
  char byte = 0;
  const auto size =
      ::recv(stream_.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<Result<std::unique_ptr<HttpConnection>>> ConnectionPool::Acquire(
    const Endpoint& endpoint, Duration timeout) {
  auto& idle = idle_[endpoint];
  while (!idle.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(idle.back().connection);
    idle.pop_back();
    // Discards a connection that the peer has closed or that has unread input, such as a late
    // response.
    if (connection->IsOpenAndIdle()) {
      co_return connection;
    }
  }
  co_return co_await HttpConnection::Connect(endpoint, timeout);
}

void ConnectionPool::Release(std::unique_ptr<HttpConnection> connection) {
  auto& idle = idle_[connection->endpoint()];
  if (connection->reusable() && idle.size() < options_.max_idle_per_endpoint) {
    idle.push_back(
        {.connection = std::move(connection), .idle_since = std::chrono::steady_clock::now()});
  }
}

asio::awaitable<void> ConnectionPool::RunHealthChecks() {
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  while (true) {
    timer.expires_after(options_.health_interval);
    co_await timer.async_wait(asio::use_awaitable);
    const TimePoint limit = std::chrono::steady_clock::now() - options_.health_interval;
    for (auto& [endpoint, idle] : idle_) {
      for (IdleConnection& entry : idle) {
        if (entry.idle_since <= limit) {
          asio::co_spawn(executor, CheckHealth(std::move(entry.connection)),
                         LogException("health check"));
        }
      }
      std::erase_if(idle, [](const IdleConnection& entry) { return entry.connection == nullptr; });
    }
  }
}

asio::awaitable<void> ConnectionPool::CheckHealth(std::unique_ptr<HttpConnection> connection) {
  if (!connection->IsOpenAndIdle()) {
    co_return;
  }
  const auto response = co_await connection->CheckHealth(options_.health_timeout);
  if (response) {
    Release(std::move(connection));
    co_return;
  }
  if (unresponsive_connections_ != nullptr) {
    unresponsive_connections_->Add();
  }
}

namespace {

void PrepareSingleRequest(HttpRequest& request, const Endpoint& endpoint) {
  request.set(http::field::host, ToString(endpoint));
  request.keep_alive(false);
  request.prepare_payload();
}

}  // namespace

asio::awaitable<Result<HttpResponse>> FetchOnce(const Endpoint& endpoint, HttpRequest request,
                                                Duration timeout) {
  const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
  const auto remaining = [deadline] {
    return std::max<Duration>(deadline - std::chrono::steady_clock::now(), Duration::zero());
  };
  auto connection = co_await HttpConnection::Connect(endpoint, timeout);
  if (!connection) {
    co_return tl::make_unexpected(connection.error());
  }
  PrepareSingleRequest(request, endpoint);
  const Result<void> sent = co_await (*connection)->Send(request, remaining());
  if (!sent) {
    co_return tl::make_unexpected(sent.error());
  }
  co_return co_await (*connection)->ReadResponse(kMaxFetchedBodyBytes, remaining());
}

asio::awaitable<Result<HttpResponse>> FetchDocument(const Endpoint& endpoint, HttpRequest request,
                                                    Duration timeout) {
  auto connection = co_await HttpConnection::Connect(endpoint, timeout);
  if (!connection) {
    co_return tl::make_unexpected(connection.error());
  }
  PrepareSingleRequest(request, endpoint);
  const Result<void> sent = co_await (*connection)->Send(request, timeout);
  if (!sent) {
    co_return tl::make_unexpected(sent.error());
  }
  co_return co_await (*connection)->ReadLargeResponse(kMaxDocumentBytes, timeout, timeout);
}

}  // namespace savoryglade
