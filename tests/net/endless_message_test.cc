#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Part of a message that never ends: a text, and another one that is repeated after it.
struct EndlessPart {
  const char* name;
  std::string begin;
  std::string repeated;
};

const std::vector<EndlessPart>& EndlessParts() {
  static const std::vector<EndlessPart> kParts = {
      {"chunk size", "", "0"},
      {"chunk extension", "10;", "a"},
      {"extension of a later chunk", "1\r\nx\r\n10;", "a"},
      {"extension of the last chunk", "1\r\nx\r\n0;", "a"},
      {"trailer line", "1\r\nx\r\n0\r\nT: ", "a"},
      {"trailer lines", "1\r\nx\r\n0\r\n", "T: a\r\n"}};
  return kParts;
}

constexpr const char* kChunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kChunkedRequest =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

// Bytes of an endless part that are sent; more than any reader may keep.
constexpr std::size_t kSentBytes = 1024 * 1024;
// Time that no test waits for: a reader that keeps all bytes would wait for more.
constexpr Duration kTimeout = 20s;

std::string TextOf(const std::string& head, const EndlessPart& part) {
  std::string text = head + part.begin;
  while (text.size() < kSentBytes) {
    text += part.repeated;
  }
  return text;
}

// Peer that reads one request, sends a text, and then waits until the connection is closed.
class SilentPeer {
 public:
  explicit SilentPeer(std::string text)
      : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this, text = std::move(text)] { Serve(text); }) {}

  Endpoint endpoint() const {
    return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }

 private:
  void Serve(const std::string& text) {
    tcp::socket socket(context_);
    acceptor_.accept(socket);
    asio::streambuf request;
    boost::system::error_code error;
    asio::read_until(socket, request, "\r\n\r\n", error);
    asio::write(socket, asio::buffer(text), error);
    std::array<char, 16> block{};
    while (!error) {
      socket.read_some(asio::buffer(block), error);
    }
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::jthread thread_;
};

using Reader = asio::awaitable<Result<void>> (*)(HttpConnection&);

asio::awaitable<Result<void>> ReadPieces(HttpConnection& connection) {
  const Result<unsigned> status = co_await connection.ReadHeader(kTimeout);
  if (!status) {
    co_return tl::make_unexpected(status.error());
  }
  std::string body;
  while (true) {
    const Result<bool> more = co_await connection.ReadSome(body, kTimeout);
    if (!more) {
      co_return tl::make_unexpected(more.error());
    }
    if (!*more) {
      co_return Result<void>();
    }
  }
}

asio::awaitable<Result<void>> ReadWhole(HttpConnection& connection) {
  const auto response = co_await connection.ReadResponse(kMaxDocumentBytes, kTimeout);
  co_return response ? Result<void>() : tl::make_unexpected(response.error());
}

asio::awaitable<Result<void>> ReadDocument(HttpConnection& connection) {
  const auto response =
      co_await connection.ReadLargeResponse(kMaxDocumentBytes, kTimeout, kTimeout);
  co_return response ? Result<void>() : tl::make_unexpected(response.error());
}

Result<void> Receive(const std::string& text, Reader read) {
  SilentPeer peer(text);
  Result<void> result;
  asio::io_context context;
  const auto receive = [&]() -> asio::awaitable<void> {
    auto connection = co_await HttpConnection::Connect(peer.endpoint(), kTimeout);
    HttpRequest request(boost::beast::http::verb::get, "/", 11);
    request.set(boost::beast::http::field::host, "h");
    co_await (*connection)->Send(request, kTimeout);
    result = co_await read(**connection);
  };
  asio::co_spawn(context, receive, asio::detached);
  context.run();
  return result;
}

// Guards against a response whose framing never ends and fills the memory of the VM, so that the
// requests of all callers end with the process.
TEST(EndlessMessageTest, ResponseWithEndlessFramingIsInvalid) {
  for (const EndlessPart& part : EndlessParts()) {
    for (const Reader read : {&ReadPieces, &ReadWhole, &ReadDocument}) {
      const Result<void> result = Receive(TextOf(kChunkedResponse, part), read);
      ASSERT_FALSE(result) << part.name;
      EXPECT_EQ(result.error().code, ErrorCode::kInvalid) << part.name;
    }
  }
}

// Guards against limits that reject long but sound framing.
TEST(EndlessMessageTest, ResponseWithLongFramingIsRead) {
  const std::string filler(8 * 1024, 'a');
  const std::string text =
      std::string(kChunkedResponse) + "1;" + filler + "\r\nx\r\n0\r\nT: " + filler + "\r\n\r\n";
  for (const Reader read : {&ReadPieces, &ReadWhole, &ReadDocument}) {
    EXPECT_TRUE(Receive(text, read));
  }
}

// Guards against answers of a few bytes whose bodies never end: each call could hold megabytes.
TEST(EndlessMessageTest, FetchOnceRejectsALargeBody) {
  SilentPeer peer("HTTP/1.1 200 OK\r\n\r\n" + std::string(kSentBytes, 'x'));
  Result<HttpResponse> response;
  asio::io_context context;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        response = co_await FetchOnce(
            peer.endpoint(), HttpRequest(boost::beast::http::verb::get, "/", 11), kTimeout);
      },
      asio::detached);
  context.run();
  ASSERT_FALSE(response);
  EXPECT_EQ(response.error().code, ErrorCode::kInvalid);
}

// Guards against a request whose framing never ends and fills the memory of the VM.
TEST(EndlessMessageTest, RequestWithEndlessFramingIsRejected) {
  for (const EndlessPart& part : EndlessParts()) {
    WorkerPool pool{1};
    HttpServer server(pool, HttpLimits{.read_timeout = kTimeout},
                      [](HttpExchange& exchange) -> asio::awaitable<void> {
                        ADD_FAILURE() << "The request was handled.";
                        co_await exchange.Respond(200, {}, {});
                      });
    const Result<Endpoint> endpoint = server.Listen({.address = "127.0.0.1", .port = 0});
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), endpoint->port});
    boost::system::error_code error;
    // The server may close the connection while the text is on the way.
    asio::write(socket, asio::buffer(TextOf(kChunkedRequest, part)), error);
    std::string received(64, '\0');
    received.resize(socket.read_some(asio::buffer(received), error));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 431 ")) << part.name << ": " << received;
    pool.Stop();
  }
}

}  // namespace
}  // namespace savoryglade
