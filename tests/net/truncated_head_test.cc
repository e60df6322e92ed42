#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <string>
#include <thread>
#include <utility>

#include "net/http_client.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Upstream that reads one request, writes some bytes and closes the connection in order.
class ClosingUpstream {
 public:
  explicit ClosingUpstream(std::string response)
      : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this, response = std::move(response)] { Serve(response); }) {}

  Endpoint endpoint() const {
    return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }

 private:
  void Serve(const std::string& response) {
    tcp::socket socket(context_);
    acceptor_.accept(socket);
    asio::streambuf request;
    asio::read_until(socket, request, "\r\n\r\n");
    asio::write(socket, asio::buffer(response));
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::jthread thread_;
};

struct ReadResult {
  // Zero if no header was read.
  unsigned status = 0;
  bool complete = false;
  std::string body;
};

// Reads the response to one request, past interim responses.
ReadResult ReadFrom(const std::string& response) {
  ClosingUpstream upstream(response);
  ReadResult result;
  asio::io_context context;
  const auto read = [&]() -> asio::awaitable<void> {
    auto connection = co_await HttpConnection::Connect(upstream.endpoint(), 5s);
    HttpRequest request(boost::beast::http::verb::get, "/", 11);
    request.set(boost::beast::http::field::host, "h");
    co_await (*connection)->Send(request, 5s);
    Result<unsigned> status = co_await (*connection)->ReadHeader(5s);
    while (status && *status < 200) {
      status = co_await (*connection)->ReadHeader(5s);
    }
    if (!status) {
      co_return;
    }
    result.status = *status;
    while (true) {
      const Result<bool> more = co_await (*connection)->ReadSome(result.body, 5s);
      if (!more || !*more) {
        result.complete = more.has_value();
        co_return;
      }
    }
  };
  asio::co_spawn(context, read, asio::detached);
  context.run();
  return result;
}

constexpr const char* kHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: seal\r\n";

// Guards against an upstream that stops in the middle of its response's head, whose callers get a
// success with an empty or short body that looks complete.
TEST(TruncatedHeadTest, ResponseThatEndsInItsHeadIsNoResponse) {
  const std::string head = std::string(kHead) + "Content-Length: 5\r\n\r\n";
  for (const char* interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      const ReadResult result = ReadFrom(interim + head.substr(0, size));
      EXPECT_EQ(result.status, 0U) << size;
    }
  }
}

TEST(TruncatedHeadTest, ResponseThatEndsInItsBodyIsNotComplete) {
  const std::string sized = std::string(kHead) + "Content-Length: 5\r\n\r\n";
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
  const std::size_t chunked_head = chunked.find("\r\n\r\n") + 4;
  for (const std::string body : {"", "w", "whol"}) {
    EXPECT_FALSE(ReadFrom(sized + body).complete) << body;
  }
  for (std::size_t size = chunked_head; size <= chunked.size(); ++size) {
    EXPECT_FALSE(ReadFrom(chunked.substr(0, size)).complete) << size;
  }
  EXPECT_TRUE(ReadFrom(sized + "whole").complete);
  EXPECT_TRUE(ReadFrom(chunked + "\r\n").complete);
}

}  // namespace
}  // namespace savoryglade
