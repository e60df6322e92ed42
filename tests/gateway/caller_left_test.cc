#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <future>
#include <memory>
#include <string>

#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr const char* kHoldingAttempt = "hold";

// Codec that holds the event loop of the gateway while it decodes one request, so that what other
// callers do meanwhile waits in the kernel.
class HoldingCodec : public platform::HeaderCodec {
 public:
  HoldingCodec(std::promise<void>& held, std::future<void>& release)
      : held_(held), release_(release) {}

  Result<RequestMetadata> DecodeRequest(const HttpRequest& request) const override {
    if (request["Attempt-Id"] == kHoldingAttempt) {
      held_.set_value();
      release_.wait();
    }
    return HeaderCodec::DecodeRequest(request);
  }

 private:
  std::promise<void>& held_;
  std::future<void>& release_;
};

// Caller that leaves without reading its answer.
class LeavingCaller {
 public:
  explicit LeavingCaller(const Endpoint& endpoint) : socket_(context_) {
    socket_.connect({asio::ip::make_address(endpoint.address), endpoint.port});
  }

  void Send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }

  // Closes the connection. Returns once the other side's kernel has acknowledged that.
  void Leave() {
    socket_.shutdown(tcp::socket::shutdown_send);
    tcp_info info{};
    info.tcpi_state = TCP_FIN_WAIT1;
    while (info.tcpi_state == TCP_FIN_WAIT1) {
      socklen_t size = sizeof(info);
      ASSERT_EQ(::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size), 0);
    }
    socket_.close();
  }

 private:
  asio::io_context context_;
  tcp::socket socket_;
};

class CallerLeftTest : public GatewayFixture {
 protected:
  CallerLeftTest() : GatewayFixture(1) {
    PutRoutes(1);
    gateway_.reset();
    gateway_ = MakeGateway("daemon-1", store_.endpoint, TestBounds(), {}, [this] {
      return std::make_unique<HoldingCodec>(held_, release_future_);
    });
    WaitUntilReady();
    KeepConnection("warm");
  }
  ~CallerLeftTest() override { gateway_.reset(); }

  // Leaves one more idle connection to the upstream, if all others are in use.
  void KeepConnection(const std::string& attempt) {
    EXPECT_EQ(SendRequest("GET", "/reads/1", attempt).status, 200U);
  }

  // Waits until the gateway has recorded that a caller left, or has given up its request.
  std::string MetricsAfterTheEnd() const {
    while (true) {
      std::string metrics = Metrics();
      if (metrics.find("callers_left_total") != std::string::npos ||
          metrics.find("deadline_exceeded") != std::string::npos) {
        return metrics;
      }
    }
  }

  static std::string LeftAt(const std::string& stage) {
    return fmt::format("savoryglade_gateway_callers_left_total{{stage=\"{}\"}} 1\n", stage);
  }

  std::promise<void> held_;
  std::promise<void> release_;
  std::future<void> release_future_ = release_.get_future();
};

// Guards against a daemon that reads a request late and sends it although its caller has given up.
TEST_F(CallerLeftTest, RequestThatIsReadAfterItsCallerLeftIsNotSent) {
  CallerConnection holding(gateway_->callers_endpoint());
  holding.Send(FormatRequest("GET", "/nowhere", kHoldingAttempt));
  held_.get_future().wait();
  LeavingCaller caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("GET", "/reads/2", "a1"));
  caller.Leave();
  release_.set_value();
  EXPECT_TRUE(holding.ReadAll());
  EXPECT_NE(MetricsAfterTheEnd().find(LeftAt("before_send")), std::string::npos) << Metrics();
  EXPECT_EQ(RunCount("a1"), 0);
}

// Guards against a daemon that does not see a close behind bytes that it has not read yet.
TEST_F(CallerLeftTest, CallerThatLeavesAfterFurtherBytesIsNoticed) {
  SetFaults(WorkerFault::kNoResponse, 1);
  LeavingCaller caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("POST", "/orders/1", "a1"));
  while (RunCount("a1") == 0) {
  }
  caller.Send("\r\n");
  caller.Leave();
  EXPECT_NE(MetricsAfterTheEnd().find(LeftAt("at_upstream")), std::string::npos) << Metrics();
}

// Guards against a daemon that serves the next request of a caller that has left.
TEST_F(CallerLeftTest, NextRequestOfACallerThatLeftIsNotSent) {
  SetFaults(WorkerFault::kNoResponse, 1);
  LeavingCaller caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("GET", "/reads/1", "a1"));
  while (RunCount("a1") == 0) {
  }
  KeepConnection("warm-2");
  caller.Send(FormatRequest("GET", "/reads/2", "a2"));
  caller.Leave();
  MetricsAfterTheEnd();
  KeepConnection("later");
  EXPECT_EQ(RunCount("a2"), 0);
}

TEST_F(CallerLeftTest, RequestsThatArriveTogetherAreAllAnswered) {
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("GET", "/reads/1", "a1") + FormatRequest("GET", "/reads/2", "a2"));
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), "GET /reads/1 ");
  caller.StartNextResponse();
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), "GET /reads/2 ");
}

}  // namespace
}  // namespace savoryglade::gateway
