#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "logging/logger.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kEnded = "A request ended before it was handled.";

// Server that logs, with a handler that throws for some targets.
class UnhandledRequestTest : public testing::Test {
 protected:
  static constexpr std::size_t kHeaderSize = 1024;
  static constexpr std::size_t kBodySize = 2048;

  UnhandledRequestTest() {
    // Ends the windows in which earlier tests may have used up the rate limit.
    Logger::FlushAtExit();
    Logger::SetSink([this](const std::string& line) { AddLine(line); });
  }
  ~UnhandledRequestTest() override {
    pool_.Stop();
    Logger::SetSink(nullptr);
  }

  void Start(HttpLimits limits) {
    limits.header_size = kHeaderSize;
    limits.body_size = kBodySize;
    server_.emplace(pool_, limits, [](HttpExchange& exchange) { return Handle(exchange); });
    endpoint_ = *server_->Listen({.address = "127.0.0.1", .port = 0});
  }

  tcp::socket Connect() {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address(endpoint_.address), endpoint_.port});
    return socket;
  }

  // Sends text, closes this side if wanted, and waits until the server closes the connection.
  std::string Send(const std::string& text, bool closes = false) {
    tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(text));
    if (closes) {
      socket.shutdown(tcp::socket::shutdown_send);
    }
    return ReadToEnd(socket);
  }

  static std::string ReadToEnd(tcp::socket& socket) {
    std::string received;
    std::array<char, 1024> block{};
    boost::system::error_code error;
    while (!error) {
      received.append(block.data(), socket.read_some(asio::buffer(block), error));
    }
    return received;
  }

  // Waits for the first line that has this text. A failure shows as a test that does not end.
  std::string WaitForLine(const std::string& text) {
    std::unique_lock lock(mutex_);
    while (true) {
      for (const std::string& line : lines_) {
        if (line.find(text) != std::string::npos) {
          return line;
        }
      }
      added_.wait(lock);
    }
  }

  // Expects a line about a request of the first connection with these fields.
  void ExpectLine(const std::string& reason, const std::vector<std::string>& fields) {
    const std::string line = WaitForLine(kEnded);
    EXPECT_NE(line.find(fmt::format(" connection=1 reason={} ", reason)), std::string::npos)
        << line;
    for (const std::string& field : fields) {
      EXPECT_NE((line + " ").find(" " + field + " "), std::string::npos) << field << ": " << line;
    }
  }

  std::size_t CountLines() {
    const std::lock_guard lock(mutex_);
    return lines_.size();
  }

 private:
  static asio::awaitable<void> Handle(HttpExchange& exchange) {
    if (exchange.target() == "/throw") {
      throw std::runtime_error("no route");
    }
    if (exchange.target() == "/throw-number") {
      throw 7;  // NOLINT(hicpp-exception-baseclass)
    }
    co_await exchange.Respond(200, {}, "body");
  }

  void AddLine(const std::string& line) {
    const std::lock_guard lock(mutex_);
    lines_.push_back(line);
    added_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable added_;
  std::vector<std::string> lines_;
  asio::io_context context_;
  WorkerPool pool_{1};
  std::optional<HttpServer> server_;
  Endpoint endpoint_;
};

// Guards against requests that end without a trace in the log because no handler has seen them.
TEST_F(UnhandledRequestTest, MalformedRequestIsLogged) {
  Start({});
  const std::string text = "GET / HTTX/1.1\r\nHost: h\r\n\r\n";
  EXPECT_NE(Send(text).find(" 400 "), std::string::npos);
  ExpectLine("malformed", {"status=400", fmt::format("bytes={}", text.size()), "limit=-"});
}

TEST_F(UnhandledRequestTest, RequestThatEndsInItsHeaderIsLogged) {
  Start({});
  const std::string text = "GET / HTTP/1.1\r\nHost: h\r\n";
  Send(text, true);
  ExpectLine("truncated", {"status=400", fmt::format("bytes={}", text.size())});
}

TEST_F(UnhandledRequestTest, RequestThatEndsInItsBodyIsLogged) {
  Start({});
  const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nbody";
  Send(text, true);
  ExpectLine("truncated",
             {"status=400", fmt::format("bytes={}", text.size()), "content_length=100"});
}

TEST_F(UnhandledRequestTest, TooLargeHeaderIsLogged) {
  Start({});
  Send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(kHeaderSize, 'x') + "\r\n\r\n");
  ExpectLine("header_too_large", {"status=431", fmt::format("limit=\"{} bytes\"", kHeaderSize)});
}

TEST_F(UnhandledRequestTest, TooLargeBodyIsLogged) {
  Start({});
  const std::string text =
      fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", kBodySize + 1);
  Send(text);
  ExpectLine("body_too_large", {"status=413", fmt::format("bytes={}", text.size()),
                                fmt::format("content_length={}", kBodySize + 1),
                                fmt::format("limit=\"{} bytes\"", kBodySize)});
}

TEST_F(UnhandledRequestTest, UnsupportedCodingIsLogged) {
  Start({});
  Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
  ExpectLine("unsupported_coding", {"status=501", "limit=-"});
}

TEST_F(UnhandledRequestTest, RequestThatDoesNotArriveInTimeIsLogged) {
  Start({.read_timeout = 200ms});
  const std::string text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nbody";
  EXPECT_EQ(Send(text), "");
  ExpectLine("read_timeout", {"status=0", fmt::format("bytes={}", text.size()),
                              "content_length=100", "limit=\"200 ms\""});
}

TEST_F(UnhandledRequestTest, ConnectionBeyondTheLimitIsLogged) {
  Start({.connections = 1});
  tcp::socket first = Connect();
  // The response shows that the first connection is counted.
  asio::write(first, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::array<char, 1024> block{};
  ASSERT_GT(first.read_some(asio::buffer(block)), 0U);
  for (int connection = 2; connection <= 3; ++connection) {
    tcp::socket rejected = Connect();
    EXPECT_NE(ReadToEnd(rejected).find("too_many_connections"), std::string::npos);
    const std::string line = WaitForLine(fmt::format(
        "A connection was rejected because too many are open. connection={}", connection));
    EXPECT_NE(line.find("open_connections=1 limit=1"), std::string::npos) << line;
  }
}

// Guards against lines for connections that end between two requests.
TEST_F(UnhandledRequestTest, ConnectionWithoutARequestIsNotLogged) {
  Start({});
  Send("", true);
  Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", true);
  {
    tcp::socket socket = Connect();
    socket.set_option(asio::socket_base::linger(true, 0));
  }
  // A later connection, whose line comes last.
  Send("GET / HTTX/1.1\r\nHost: h\r\n\r\n");
  WaitForLine(kEnded);
  EXPECT_EQ(CountLines(), 1U);
}

// Guards against a request whose handler fails and whose line the rate limit drops.
TEST_F(UnhandledRequestTest, EachHandlerThatThrowsIsLogged) {
  Start({});
  constexpr int kRequests = 100;
  for (int i = 1; i <= kRequests; ++i) {
    const bool is_standard = i % 2 == 0;
    Send(fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n",
                     is_standard ? "/throw" : "/throw-number"));
    const std::string line = WaitForLine(fmt::format("connection={} ", i));
    EXPECT_EQ(line,
              fmt::format("error net: A request handler threw an exception; the connection is "
                          "closed. connection={} error=\"{}\"",
                          i, is_standard ? "no route" : "of an unknown type"));
  }
}

}  // namespace
}  // namespace savoryglade
