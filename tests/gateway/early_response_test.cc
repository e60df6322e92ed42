#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Worker that writes a text once it has read the header of a request, and then resets the
// connection or ends it in order.
class RawWorker {
 public:
  enum class End { kReset, kInOrder };

  RawWorker()
      : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this] { Run(); }) {}
  ~RawWorker() {
    boost::system::error_code ignored;
    // Wakes the thread, which accepts connections until one brings no request.
    tcp::socket last(context_);
    stopping_ = true;
    last.connect(acceptor_.local_endpoint(), ignored);
    last.close(ignored);
    thread_.join();
  }
  RawWorker(const RawWorker&) = delete;
  RawWorker& operator=(const RawWorker&) = delete;

  // Sets the answer to later requests. The text may contain {id}, which is replaced by the id of
  // the attempt.
  void SetAnswer(std::string text, End end) {
    const std::lock_guard lock(mutex_);
    text_ = std::move(text);
    end_ = end;
  }

  Endpoint endpoint() const {
    return {.address = kLocal, .port = acceptor_.local_endpoint().port()};
  }

 private:
  void Run() {
    while (!stopping_) {
      boost::system::error_code error;
      tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      std::string head;
      std::array<char, 1024> buffer;
      while (!error && head.find("\r\n\r\n") == std::string::npos) {
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        head.append(buffer.data(), size);
      }
      if (error) {
        continue;
      }
      std::string answer;
      End end = End::kReset;
      {
        const std::lock_guard lock(mutex_);
        answer = text_;
        end = end_;
      }
      const std::size_t id = head.find("Attempt-Id: ");
      if (const std::size_t place = answer.find("{id}"); place != std::string::npos) {
        answer.replace(place, 4, head.substr(id + 12, head.find("\r\n", id) - id - 12));
      }
      asio::write(socket, asio::buffer(answer), error);
      if (end == End::kReset) {
        socket.set_option(asio::socket_base::linger(true, 0), error);
      } else {
        socket.shutdown(tcp::socket::shutdown_send, error);
        while (!error) {
          socket.read_some(asio::buffer(buffer), error);
        }
      }
    }
  }

  std::mutex mutex_;
  std::string text_;
  End end_ = End::kReset;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

class EarlyResponseTest : public GatewayFixture {
 protected:
  EarlyResponseTest() : GatewayFixture(0) {
    PutRoutes(1);
    RegisterUpstream("raw", worker_.endpoint(), "ready");
    WaitUntilReady();
  }

  // Sends requests until one has been sent to the worker. The worker is left for a moment after
  // answers that can't be used, and a request is refused after three losses, so each has a path and
  // an id of its own.
  template <typename Format>
  Response SendUntilSent(const Format& format) {
    Response response;
    do {
      ++number_;
      response = SendText(gateway_->callers_endpoint(), format(fmt::format("{}", number_)));
    } while (response.status == 503);
    return response;
  }

  static std::string Header(const std::string& status, const std::string& type) {
    return "HTTP/1.1 " + status +
           " X\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\nContent-Type: " + type + "\r\n";
  }

  static std::string ChunkedRequest(const std::string& path, const std::string& attempt,
                                    const std::string& body) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {}\r\nDeadline-Ms: 2500\r\nAuthorization: "
        "Bearer {}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        path, attempt, kApiKey, body.size(), body);
  }

  RawWorker worker_;
  int number_ = 0;
};

// Guards against a part of an answer that passes for the whole one: the worker answers a long
// upload at once, without a length, and resets the connection while the upload is being written.
TEST_F(EarlyResponseTest, AnswerThatIsResetDuringTheUploadIsNotComplete) {
  const std::string body(3 * 1024 * 1024, 'x');
  for (const char* path : {"/orders/", "/reads/", "/once/", "/stream/"}) {
    for (const char* type : {"application/json", "text/event-stream"}) {
      worker_.SetAnswer(Header("200", type) + "\r\nid: 1\ndata: token 1\n\n",
                        RawWorker::End::kReset);
      const Response whole = SendUntilSent([&](const std::string& number) {
        return FormatRequest("POST", path + number, "a" + number, kApiKey, body);
      });
      EXPECT_FALSE(whole.status == 200 && whole.complete) << path << type << whole.body;
      const Response chunked = SendUntilSent([&](const std::string& number) {
        return ChunkedRequest(path + number, "c" + number, body);
      });
      EXPECT_FALSE(chunked.status == 200 && chunked.complete) << path << type << chunked.body;
    }
  }
}

// Guards against an answer whose status is no status and reaches the caller.
TEST_F(EarlyResponseTest, AnswerWithoutAValidStatusIsNotPassedOn) {
  for (const char* status : {"000", "099", "20", "2", "1000", "2OO", "-20", "abc"}) {
    for (const RawWorker::End end : {RawWorker::End::kReset, RawWorker::End::kInOrder}) {
      worker_.SetAnswer(Header(status, "text/event-stream") +
                            "Content-Length: 21\r\n\r\nid: 1\ndata: token 1\n\n",
                        end);
      for (const char* path : {"/orders/", "/reads/", "/once/", "/stream/"}) {
        const Response response = SendUntilSent([&](const std::string& number) {
          return FormatRequest("POST", path + number, "a" + number);
        });
        EXPECT_TRUE(response.status == 502 || response.status == 504)
            << path << " " << status << " " << response.status;
      }
    }
  }
}

}  // namespace
}  // namespace savoryglade::gateway
