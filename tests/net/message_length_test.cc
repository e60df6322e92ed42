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
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr Duration kTimeout = 20s;
constexpr unsigned kOk = 200;

// Request that has a length, or one that is ambiguous by RFC 9112, section 6. Another request
// follows it. Equal values of a length count as one, and a folded line as a space (section 5.2).
struct RequestCase {
  std::string name;
  std::string head;
  std::string body;
  std::string status;
};

std::string Post(const std::string& fields, const char* version = "1.1") {
  return std::string("POST / HTTP/") + version + "\r\nHost: h\r\n" + fields + "\r\n";
}

std::vector<RequestCase> RequestCases() {
  return {
      {"no length", Post(""), "", "200"},
      {"length", Post("Content-Length: 3\r\n"), "abc", "200"},
      {"leading zeros", Post("Content-Length: 003\r\n"), "abc", "200"},
      {"space around", Post("Content-Length: \t3 \r\n"), "abc", "200"},
      {"list of equal values", Post("Content-Length: 3, 3\r\n"), "abc", "200"},
      {"list of different values", Post("Content-Length: 3, 4\r\n"), "abc", "400"},
      {"equal fields", Post("Content-Length: 3\r\nContent-Length: 3\r\n"), "abc", "200"},
      {"different fields", Post("Content-Length: 3\r\nContent-Length: 4\r\n"), "abc", "400"},
      {"equal numbers in different form", Post("Content-Length: 3\r\nContent-Length: 03\r\n"),
       "abc", "200"},
      {"plus sign", Post("Content-Length: +3\r\n"), "abc", "400"},
      {"minus sign", Post("Content-Length: -3\r\n"), "abc", "400"},
      {"minus zero", Post("Content-Length: -0\r\n"), "", "400"},
      {"hexadecimal", Post("Content-Length: 0x3\r\n"), "abc", "400"},
      {"fraction", Post("Content-Length: 3.0\r\n"), "abc", "400"},
      {"space within", Post("Content-Length: 3 3\r\n"), "abc", "400"},
      {"quotes", Post("Content-Length: \"3\"\r\n"), "abc", "400"},
      {"empty", Post("Content-Length:\r\n"), "", "400"},
      {"more than 64 bits", Post("Content-Length: 18446744073709551619\r\n"), "abc", "400"},
      {"space before the colon", Post("Content-Length : 3\r\n"), "abc", "400"},
      {"folded length", Post("Content-Length:\r\n 3\r\n"), "abc", "200"},
      {"folded coding", Post("Transfer-Encoding:\r\n chunked\r\n"), "0\r\n\r\n", "200"},
      {"folded coding that is not chunked", Post("Transfer-Encoding: chunked,\r\n gzip\r\n"),
       "0\r\n\r\n", "501"},
      {"folded other field", Post("X: a\r\n b\r\nContent-Length: 3\r\n"), "abc", "200"},
      {"space before the first field", "POST / HTTP/1.1\r\n Host: h\r\nHost: h\r\n\r\n", "", "400"},
      {"null in a value", Post(std::string("X: a\0b\r\n", 8)), "", "400"},
      {"chunks", Post("Transfer-Encoding: chunked\r\n"), "3\r\nabc\r\n0\r\n\r\n", "200"},
      {"chunk extension", Post("Transfer-Encoding: chunked\r\n"), "3;a=b\r\nabc\r\n0\r\n\r\n",
       "200"},
      {"trailer", Post("Transfer-Encoding: chunked\r\n"), "0\r\nX: y\r\n\r\n", "200"},
      {"chunk size with a sign", Post("Transfer-Encoding: chunked\r\n"), "+3\r\nabc\r\n0\r\n\r\n",
       "400"},
      {"hexadecimal prefix of a chunk size", Post("Transfer-Encoding: chunked\r\n"),
       "0x3\r\nabc\r\n0\r\n\r\n", "400"},
      {"chunk size of more than 64 bits", Post("Transfer-Encoding: chunked\r\n"),
       "10000000000000003\r\nabc\r\n0\r\n\r\n", "400"},
      {"empty chunk size", Post("Transfer-Encoding: chunked\r\n"), "\r\nabc\r\n0\r\n\r\n", "400"},
      {"chunk without line end", Post("Transfer-Encoding: chunked\r\n"), "3\r\nabcd\r\n0\r\n\r\n",
       "400"},
      {"bare line feeds in chunks", Post("Transfer-Encoding: chunked\r\n"), "3\nabc\n0\n\n", "400"},
      {"length in the trailer", Post("Transfer-Encoding: chunked\r\n"),
       "0\r\nContent-Length: 3\r\n\r\n", "400"}};
}

// Guards against a request whose length is read in another way than by its sender, so that a part
// of it runs as a request of its own, or a request behind it is lost in it.
TEST(MessageLengthTest, AmbiguousRequestsAreRejected) {
  for (const RequestCase& tested : RequestCases()) {
    std::atomic<int> followers = 0;
    WorkerPool pool{1};
    HttpServer server(pool, HttpLimits{}, [&](HttpExchange& exchange) -> asio::awaitable<void> {
      if (exchange.target() == "/next") {
        ++followers;
        exchange.CloseAfterResponse();
      }
      co_await exchange.Respond(kOk, {}, {});
    });
    const Result<Endpoint> endpoint = server.Listen({.address = "127.0.0.1", .port = 0});
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), endpoint->port});
    const std::string text = tested.head + tested.body + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::system::error_code error;
    asio::write(socket, asio::buffer(text), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string received;
    std::array<char, 1024> block{};
    error = {};
    while (!error) {
      received.append(block.data(), socket.read_some(asio::buffer(block), error));
    }
    const bool is_valid = tested.status == "200";
    EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 " + tested.status) << tested.name;
    EXPECT_EQ(followers, is_valid ? 1 : 0) << tested.name;
    pool.Stop();
  }
}

// Response to a request, and its body if it has a length that its reader can tell.
struct ResponseCase {
  std::string name;
  http::verb method;
  std::string text;
  // Whether it is an answer.
  bool is_valid;
  std::string body;
  // Whether the connection may be used again.
  bool is_reusable;
};

std::vector<ResponseCase> ResponseCases() {
  const auto get = http::verb::get;
  const auto head = http::verb::head;
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return {
      {"length", get, ok + "Content-Length: 3\r\n\r\nabc", true, "abc", true},
      {"chunks", get, ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true, "abc",
       true},
      {"neither length nor chunks", get, ok + "\r\nabc", true, "abc", false},
      {"neither in HTTP/1.0", get, "HTTP/1.0 200 OK\r\n\r\nabc", true, "abc", false},
      {"cut off length", get, ok + "Content-Length: 4\r\n\r\nabc", false, "", false},
      {"cut off chunks", get, ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, "",
       false},
      {"list of equal values", get, ok + "Content-Length: 3, 3\r\n\r\nabc", true, "abc", true},
      {"list of different values", get, ok + "Content-Length: 3, 4\r\n\r\nabc", false, "", false},
      {"different fields", get, ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", false, "",
       false},
      {"plus sign", get, ok + "Content-Length: +3\r\n\r\nabc", false, "", false},
      {"hexadecimal", get, ok + "Content-Length: 0x3\r\n\r\nabc", false, "", false},
      {"empty", get, ok + "Content-Length:\r\n\r\nabc", false, "", false},
      {"more than 64 bits", get, ok + "Content-Length: 18446744073709551619\r\n\r\nabc", false, "",
       false},
      {"space before the colon", get, ok + "Content-Length : 3\r\n\r\nabc", false, "", false},
      {"100 with length", get, "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n", true, "",
       true},
      {"103 with chunks", get, "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
       true, "", true},
      {"head with length", head, ok + "Content-Length: 3\r\n\r\n", true, "", true},
      {"head with chunks", head, ok + "Transfer-Encoding: chunked\r\n\r\n", true, "", true},
      {"head without length", head, ok + "\r\n", true, "", true},
      {"204", get, "HTTP/1.1 204 No Content\r\n\r\n", true, "", true},
      {"204 with length", get, "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n", true, "",
       true},
      {"204 with chunks", get, "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
       true, "", true},
      {"304", get, "HTTP/1.1 304 Not Modified\r\n\r\n", true, "", true},
      {"304 with length", get, "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", true, "",
       true},
      {"304 with chunks", get, "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
       true, "", true}};
}

// Guards against responses whose end is not where their sender has put it: a part of a response
// would be taken for the whole one, or for the next one.
TEST(MessageLengthTest, AmbiguousResponsesAreInvalid) {
  for (const ResponseCase& tested : ResponseCases()) {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const Endpoint endpoint{.address = "127.0.0.1", .port = acceptor.local_endpoint().port()};
    bool is_valid = true;
    bool is_reusable = false;
    std::string body;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
          std::string request;
          co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                          asio::use_awaitable);
          co_await asio::async_write(socket, asio::buffer(tested.text), asio::use_awaitable);
          socket.shutdown(tcp::socket::shutdown_send);
        },
        asio::detached);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          HttpRequest request(tested.method, "/", 11);
          request.set(http::field::host, "h");
          auto connection = co_await HttpConnection::Connect(endpoint, kTimeout);
          co_await (*connection)->Send(request, kTimeout);
          is_valid = (co_await (*connection)->ReadHeader(kTimeout)).has_value();
          bool has_more = is_valid;
          while (has_more) {
            const Result<bool> read = co_await (*connection)->ReadSome(body, kTimeout);
            is_valid = read.has_value();
            has_more = is_valid && *read;
          }
          is_reusable = (*connection)->reusable();
        },
        asio::detached);
    context.run();
    EXPECT_EQ(is_valid, tested.is_valid) << tested.name;
    if (tested.is_valid) {
      EXPECT_EQ(body, tested.body) << tested.name;
    }
    EXPECT_EQ(is_reusable, tested.is_reusable) << tested.name;
  }
}

}  // namespace
}  // namespace savoryglade
