#include "net/transfer_coding.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kTimeout = 20s;

// Message whose length RFC 9112, section 6, defines or leaves ambiguous. The body of a request is
// itself a request.
struct Framing {
  const char* version;
  std::string fields;
  // Status with which a server answers a request like this.
  int request_status;
  bool response_is_valid;
};

const std::vector<Framing>& Framings() {
  static const std::vector<Framing> kFramings = {
      {"1.1", "Transfer-Encoding: chunked\r\n", 200, true},
      {"1.1", "transfer-encoding: Chunked\r\n", 200, true},
      {"1.1", "Transfer-Encoding: gzip\r\n", 501, false},
      {"1.1", "Transfer-Encoding: identity\r\n", 501, false},
      {"1.1", "Transfer-Encoding: x\r\n", 501, false},
      {"1.1", "Transfer-Encoding: gzip, chunked\r\n", 501, false},
      {"1.1", "Transfer-Encoding: chunked, gzip\r\n", 501, false},
      {"1.1", "Transfer-Encoding: chunked, chunked\r\n", 501, false},
      {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", 501, false},
      {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", 400, false},
      {"1.1", "Transfer-Encoding:\r\n", 501, false},
      {"1.1", "Transfer-Encoding : chunked\r\n", 400, false},
      {"1.0", "Transfer-Encoding: chunked\r\n", 501, false},
      {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", 400, false},
      {"1.1", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400, false},
      {"1.1", "Content-Length: 3\r\nContent-Length: 4\r\n", 400, false},
      {"1.1", "Content-Length: -3\r\n", 400, false},
      {"1.1", "Content-Length: 3x\r\n", 400, false},
      {"1.1", "Content-Length:\r\n", 400, false}};
  return kFramings;
}

constexpr const char* kSmuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";

// Returns a chunked body that is a request by itself.
std::string Body() {
  const std::string text = kSmuggled;
  constexpr const char* kHexSize = "23";
  EXPECT_EQ(text.size(), 0x23U);
  return std::string(kHexSize) + "\r\n" + text + "\r\n0\r\n\r\n";
}

// Guards against a body that runs as a request of its own, because its length was misread.
TEST(TransferCodingTest, RequestOfAmbiguousLengthIsRejected) {
  for (const Framing& framing : Framings()) {
    std::atomic<int> smuggled = 0;
    WorkerPool pool{1};
    HttpServer server(pool, HttpLimits{}, [&](HttpExchange& exchange) -> asio::awaitable<void> {
      smuggled += exchange.target() == "/smuggled" ? 1 : 0;
      exchange.CloseAfterResponse();
      co_await exchange.Respond(200, {}, {});
    });
    const Result<Endpoint> endpoint = server.Listen({.address = "127.0.0.1", .port = 0});
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), endpoint->port});
    // The body is at once one with a length that contains a request, and one in chunks.
    const std::string text = std::string("POST / HTTP/") + framing.version + "\r\nHost: h\r\n" +
                             framing.fields + "\r\n" + Body() + kSmuggled;
    boost::system::error_code error;
    asio::write(socket, asio::buffer(text), error);
    std::string received;
    std::array<char, 1024> block{};
    while (!error) {
      received.append(block.data(), socket.read_some(asio::buffer(block), error));
    }
    EXPECT_EQ(received.substr(9, 3), std::to_string(framing.request_status)) << framing.fields;
    EXPECT_EQ(smuggled, 0) << framing.fields;
    pool.Stop();
  }
}

// Guards against a response whose body is relayed with another meaning, or another length.
TEST(TransferCodingTest, ResponseOfAmbiguousLengthIsInvalid) {
  for (const Framing& framing : Framings()) {
    WorkerPool pool{1};
    const std::string text =
        std::string("HTTP/") + framing.version + " 200 OK\r\n" + framing.fields + "\r\n" + Body();
    HttpServer server(pool, HttpLimits{}, [&text](HttpExchange& exchange) -> asio::awaitable<void> {
      co_await asio::async_write(exchange.stream(), asio::buffer(text), asio::use_awaitable);
      exchange.CloseAfterResponse();
    });
    const Result<Endpoint> endpoint = server.Listen({.address = "127.0.0.1", .port = 0});
    bool whole = false;
    bool in_pieces = false;
    asio::io_context context;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          HttpRequest request(boost::beast::http::verb::get, "/", 11);
          request.set(boost::beast::http::field::host, "h");
          whole = (co_await FetchOnce(*endpoint, request, kTimeout)).has_value();
          auto connection = co_await HttpConnection::Connect(*endpoint, kTimeout);
          co_await (*connection)->Send(request, kTimeout);
          in_pieces = (co_await (*connection)->ReadHeader(kTimeout)).has_value();
        },
        asio::detached);
    context.run();
    EXPECT_EQ(whole, framing.response_is_valid) << framing.fields;
    EXPECT_EQ(in_pieces, framing.response_is_valid) << framing.fields;
    pool.Stop();
  }
}

}  // namespace
}  // namespace savoryglade
