#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "core/boot_clock.h"
#include "emulator/caller_connection.h"
#include "gateway/gateway.h"
#include "net/tunnel.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Connection of a peer that reads only when the test tells it to.
class SlowReader {
 public:
  explicit SlowReader(const Endpoint& endpoint) {
    socket_.open(tcp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    socket_.connect({asio::ip::make_address(endpoint.address), endpoint.port});
  }

  void Send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }
  tcp::endpoint endpoint() const { return socket_.local_endpoint(); }

  // Waits until an answer has begun.
  void AwaitFirstByte() {
    std::array<char, 1> first{};
    asio::read(socket_, asio::buffer(first));
    received_.assign(first.data(), first.size());
  }

  // Returns all that arrives until the text, or until the connection ends.
  std::string ReadUntil(std::string_view end) {
    std::array<char, 16 * 1024> block{};
    boost::system::error_code error;
    while (!error && !received_.ends_with(end)) {
      received_.append(block.data(), socket_.read_some(asio::buffer(block), error));
    }
    return received_;
  }

 private:
  static constexpr int kReceiveBufferBytes = 4 * 1024;

  asio::io_context context_;
  tcp::socket socket_{context_};
  std::string received_;
};

// Each test looks at a moment at which a drain that does not wait for the work would be over.
class DrainWorkTest : public GatewayFixture {
 protected:
  static constexpr Duration kGracePeriod = 60s;

  void StartDrainingSoon(const std::string& more_routes = {},
                         const CodecFactory& make_codec = MakeHeaderCodec) {
    FleetBounds bounds = TestBounds();
    bounds.stop_grace = kGracePeriod;
    bounds.balancer_delay = 100ms;
    gateway_ = MakeGateway("daemon-1", store_.endpoint, bounds, {}, make_codec);
    PutRoutes(1, more_routes);
    WaitUntilReady();
  }

  static std::string OpenWorkLine(const char* kind, int count) {
    return fmt::format("savoryglade_gateway_open_work{{kind=\"{}\"}} {}\n", kind, count);
  }

  // Waits until one step of the drain has decided on this stage with this work. Returns false if
  // the drain finishes before.
  bool AwaitStep(int stage, const std::string& first_line, const std::string& second_line = {}) {
    const std::string stage_line = fmt::format("savoryglade_gateway_drain_stage {}\n", stage);
    while (!gateway_->DrainFinished()) {
      const std::string metrics = Metrics();
      if (metrics.find(stage_line) != std::string::npos &&
          metrics.find(first_line) != std::string::npos &&
          metrics.find(second_line) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  void AwaitDrainFinished() const {
    while (!gateway_->DrainFinished()) {
      std::this_thread::yield();
    }
  }
};

// Runs a hook while the daemon reads a request.
class HookedCodec : public platform::HeaderCodec {
 public:
  explicit HookedCodec(const std::function<void()>& hook) : hook_(hook) {}
  Result<RequestMetadata> DecodeRequest(const HttpRequest& request) const override {
    hook_();
    return HeaderCodec::DecodeRequest(request);
  }

 private:
  const std::function<void()>& hook_;
};

// Guards against a request that is accepted later than the stop order allows, because the event
// loop is busy when the order arrives.
TEST_F(DrainWorkTest, OrderAppliesToRequestsBeforeTheEventLoopHandlesIt) {
  std::function<void()> hook = [] {};
  StartDrainingSoon({}, [&hook] { return std::make_unique<HookedCodec>(hook); });
  hook = [this] { gateway_->BeginDrain(BootNow() - 5s); };
  EXPECT_EQ(SendRequest("POST", "/stream/1", "a1").reason, "draining");
  EXPECT_EQ(RunCount("a1"), 0);
  gateway_.reset();
}

// Guards against the end of a daemon in the middle of a body that arrives in chunks.
TEST_F(DrainWorkTest, RefusesARequestWhoseChunksArriveWhileItStops) {
  StartDrainingSoon();
  CallerConnection half_sent(gateway_->callers_endpoint());
  half_sent.Send(
      fmt::format("POST /orders/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nDeadline-Ms: 2500\r\n"
                  "Authorization: Bearer {}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n",
                  kApiKey));
  // The response to a later request shows that the gateway has read the first chunk.
  ASSERT_EQ(SendRequest("GET", "/reads/1", "a2").status, 200U);
  gateway_->BeginDrain(BootNow());
  ASSERT_TRUE(AwaitStep(2, OpenWorkLine("reading", 1), OpenWorkLine("requests", 0)));
  const Response response = SendText(half_sent, "0\r\n\r\n");
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "draining");
  EXPECT_EQ(RunCount("a1"), 0);
  AwaitDrainFinished();
}

// Upstream that answers with one byte, and with the rest once the caller has sent one more byte.
struct HeldAnswerService {
  static asio::awaitable<void> Handle(HttpExchange& exchange) {
    HttpHeaders headers;
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Response-Seal", "seal");
    co_await exchange.StartStream(200, std::move(headers), "x");
    char byte = 0;
    co_await exchange.stream().async_read_some(asio::buffer(&byte, 1),
                                               asio::as_tuple(asio::use_awaitable));
    co_await exchange.WriteChunk("y");
    co_await exchange.EndStream();
    exchange.Abort();
  }
};

// Guards against a daemon that exits while it relays an answer for a peer.
TEST_F(DrainWorkTest, WaitsForTheAnswerThatItRelaysForAPeer) {
  ServiceServer<HeldAnswerService> held;
  RegisterUpstream("held", held.endpoint, "ready");
  StartDrainingSoon();
  CallerConnection tunnel(gateway_->peers_endpoint());
  tunnel.Send(fmt::format("CONNECT {0} HTTP/1.1\r\nHost: {0}\r\n{1}: held\r\n{2}: 60000\r\n\r\n",
                          ToString(held.endpoint), kTunnelTargetHeader, kTunnelLifetimeHeader));
  ASSERT_TRUE(tunnel.ReadAll());
  ASSERT_EQ(tunnel.status(), 200U);
  tunnel.StartNextResponse();
  tunnel.Send(FormatRequest("GET", "/reads/1", "a1"));
  tunnel.ReadUntil([](const std::string& body) { return body == "x"; });
  // The time in which requests are accepted is over.
  gateway_->BeginDrain(BootNow() - kGracePeriod / 2);
  ASSERT_TRUE(AwaitStep(1, OpenWorkLine("tunnels", 1)));
  tunnel.Send("r");
  EXPECT_TRUE(tunnel.ReadAll());
  EXPECT_EQ(tunnel.body(), "xy");
  AwaitDrainFinished();
}

// Guards against a daemon that exits in the middle of the routes that a peer fetches from it.
TEST_F(DrainWorkTest, WaitsForTheRoutesThatItSendsToAPeer) {
  // More than the buffers of a connection to a peer that does not read take.
  constexpr std::size_t kDocumentBytes = 2'900'000;
  const std::string more_routes = fmt::format(
      R"(,{{"name":"long","host":"h","prefix":"/long/{}/","route_kind":"idempotent","service":"s"}})",
      std::string(kDocumentBytes, 'x'));
  StartDrainingSoon(more_routes);
  SlowReader peer(gateway_->peers_endpoint());
  peer.Send("GET /routes HTTP/1.1\r\nHost: h\r\n\r\n");
  peer.AwaitFirstByte();
  // A caller that has sent half a request keeps the daemon from exiting in the step that closes.
  CallerConnection half_sent(gateway_->callers_endpoint());
  half_sent.Send("GET /reads/1 HTTP/1.1\r\n");
  gateway_->BeginDrain(BootNow());
  ASSERT_TRUE(AwaitStep(2, OpenWorkLine("transfers", 1), OpenWorkLine("reading", 1)));
  half_sent.Close();
  EXPECT_TRUE(AwaitStep(2, OpenWorkLine("transfers", 1), OpenWorkLine("connections", 0)));
  EXPECT_GT(peer.ReadUntil("]}]}").size(), kDocumentBytes);
  AwaitDrainFinished();
}

// Upstream whose answer is in the kernels of both hosts before its caller reads it.
struct FinishedAnswerService {
  // More than the connection to a caller that does not read takes, and less than that and the
  // connection to the upstream take together.
  static constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;

  asio::awaitable<void> Handle(HttpExchange& exchange) {
    HttpHeaders headers;
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Response-Seal", "seal");
    co_await exchange.StartStream(200, std::move(headers), std::string(kBodyBytes, 'x'));
    finished = co_await exchange.EndStream();
  }

  std::atomic<bool> finished{false};
};

// Guards against the interruption of an answer whose upstream has finished it, and which waits for
// a caller that reads slowly.
TEST_F(DrainWorkTest, AnswerOfAFinishedUpstreamGoesOnAfterTheInterruption) {
  ServiceServer<FinishedAnswerService> upstream;
  RegisterWorker(0, "draining");
  RegisterWorker(1, "draining");
  RegisterUpstream("finished", upstream.endpoint, "ready");
  StartDrainingSoon();
  SlowReader caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("GET", "/reads/1", "a1"));
  caller.AwaitFirstByte();
  while (!upstream.service.finished) {
    std::this_thread::yield();
  }
  gateway_->BeginDrain(BootNow() - kGracePeriod * 93 / 100);
  ASSERT_TRUE(AwaitStep(2, OpenWorkLine("requests", 1)));
  EXPECT_GT(caller.ReadUntil("0\r\n\r\n").size(), FinishedAnswerService::kBodyBytes);
  AwaitDrainFinished();
}

// Returns the descriptor of this process that is connected to the endpoint, or -1.
int DescriptorOfPeer(const tcp::endpoint& peer) {
  constexpr int kMaxDescriptors = 4096;
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    tcp::endpoint connected;
    auto size = static_cast<socklen_t>(connected.capacity());
    if (::getpeername(descriptor, connected.data(), &size) == 0 && connected == peer) {
      return descriptor;
    }
  }
  return -1;
}

// Upstream that writes a small event, and a large one together with the end of its stream once it
// is told to.
struct FinishedStreamService {
  static constexpr std::size_t kEventBytes = 200 * 1024;

  asio::awaitable<void> Handle(HttpExchange& exchange) {
    HttpHeaders headers;
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Response-Seal", "seal");
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers), "id: 1\ndata: x\n\n");
    while (!may_finish) {
      co_await asio::post(asio::use_awaitable);
    }
    const std::string event = "id: 2\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
    const std::string text = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", event.size(), event);
    co_await asio::async_write(exchange.stream(), asio::buffer(text),
                               asio::as_tuple(asio::use_awaitable));
    finished = true;
  }

  std::atomic<bool> may_finish{false};
  std::atomic<bool> finished{false};
};

// Guards against the interruption of a stream that the daemon has read to its end, and which waits
// for a caller that reads slowly.
TEST_F(DrainWorkTest, StreamOfAFinishedUpstreamGoesOnAfterTheInterruption) {
  ServiceServer<FinishedStreamService> upstream;
  RegisterWorker(0, "draining");
  RegisterWorker(1, "draining");
  RegisterUpstream("finished", upstream.endpoint, "ready");
  StartDrainingSoon();
  SlowReader caller(gateway_->callers_endpoint());
  caller.Send(FormatRequest("POST", "/stream/1", "a1", kApiKey, "prompt"));
  caller.AwaitFirstByte();
  const int to_caller = DescriptorOfPeer(caller.endpoint());
  const int to_upstream =
      DescriptorOfPeer({asio::ip::make_address(upstream.endpoint.address), upstream.endpoint.port});
  ASSERT_GE(std::min(to_caller, to_upstream), 0);
  const int send_buffer_bytes = 8 * 1024;
  ASSERT_EQ(
      ::setsockopt(to_caller, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof(send_buffer_bytes)),
      0);
  upstream.service.may_finish = true;
  int unread = 1;
  while (!upstream.service.finished || unread > 0) {
    ASSERT_EQ(::ioctl(to_upstream, FIONREAD, &unread), 0);
  }
  gateway_->BeginDrain(BootNow() - kGracePeriod * 93 / 100);
  ASSERT_TRUE(AwaitStep(2, OpenWorkLine("requests", 1)));
  const std::string received = caller.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_GT(received.size(), FinishedStreamService::kEventBytes);
  EXPECT_TRUE(received.ends_with("\r\n0\r\n\r\n"));
  AwaitDrainFinished();
}

}  // namespace
}  // namespace savoryglade::gateway
