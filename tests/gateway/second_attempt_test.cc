#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <thread>

#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Upstream whose connection ends behind the header of a stream without length or chunks.
class HeaderOnlyService {
 public:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const std::string text = fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: seal\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        std::string(exchange.Header("Attempt-Id")));
    co_await asio::async_write(exchange.stream(), asio::buffer(text), kAwait);
    exchange.CloseAfterResponse();
  }
};

// Upstream that sends a comment and then nothing until its peer closes the connection.
class CommentService {
 public:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    HttpHeaders headers;
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Response-Seal", "seal");
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers), ": thinking\n\n");
    has_sent = true;
    char byte = 0;
    co_await exchange.stream().async_read_some(asio::buffer(&byte, 1), kAwait);
    exchange.Abort();
  }

  std::atomic<bool> has_sent{false};
};

// A stream or a call whose upstream is silent, beside a second upstream that registers later.
class SecondAttemptTest : public GatewayFixture {
 protected:
  SecondAttemptTest() : GatewayFixture(1) {
    workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(1)));
  }

  void UseAttempts(int max_attempts) {
    PutRoutes(
        1,
        fmt::format(
            R"(,{{"name":"talks","host":"h","prefix":"/talks/","route_kind":"streaming","timeout_ms":20000,)"
            R"("goal_ms":5,"itl_target_ms":5,"service":"s","resumable":true,"max_attempts":{0}}},)"
            R"({{"name":"patient","host":"h","prefix":"/patient/","route_kind":"streaming",)"
            R"("timeout_ms":20000,"itl_target_ms":6000,"service":"s","resumable":true,"max_attempts":{0}}},)"
            R"({{"name":"looks","host":"h","prefix":"/looks/","route_kind":"idempotent",)"
            R"("timeout_ms":20000,"goal_ms":5,"service":"s","max_attempts":{0}}})",
            max_attempts));
    WaitUntilReady();
  }

  WorkerService& Upstream(int i) { return workers_[static_cast<std::size_t>(i)]->service; }

  static std::string Request(const std::string& path) {
    std::string request = FormatRequest("POST", path, "a1", kApiKey, "prompt");
    request.replace(request.find("2500"), 4, "20000");
    return request;
  }

  // Begins a stream whose upstream falls silent after the third event.
  void BeginSilentStream(CallerConnection& caller) {
    Upstream(0).SetFault(WorkerFault::kSilentInStream, 1);
    caller.Send(Request("/talks/stream/1"));
    caller.ReadUntil(
        [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
  }

  void WaitForMetric(const std::string& text) const {
    while (Metrics().find(text) == std::string::npos) {
    }
  }

  // Waits until the second upstream is silent as well, or has been left.
  void AwaitSecondSilence() {
    WaitForMetric(R"(savoryglade_gateway_silences_total{stage="before"} )");
  }
};

// Guards against a stream that is given up for an answer without one event, and looks complete.
TEST_F(SecondAttemptTest, AnswerWithoutAnEventIsNotAtHand) {
  ServiceServer<HeaderOnlyService> ended;
  UseAttempts(2);
  CallerConnection caller(gateway_->callers_endpoint());
  BeginSilentStream(caller);
  RegisterUpstream("ended", ended.endpoint, "ready");
  WaitForMetric(R"(savoryglade_gateway_lost_attempts_total{reason="broken_off"} 1)");
  Upstream(0).GoOn();
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), CompleteStream());
}

// Guards against a broken stream that seems to end whole because the upstream that goes on with it
// has closed its connection before an event.
TEST_F(SecondAttemptTest, ResumptionThatEndsBeforeAnEventIsNoEnd) {
  ServiceServer<HeaderOnlyService> ended;
  UseAttempts(2);
  Upstream(0).SetFault(WorkerFault::kSilentInStream, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/patient/stream/1"));
  caller.ReadUntil(
      [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
  RegisterUpstream("ended", ended.endpoint, "ready");
  Upstream(0).BreakOff();
  EXPECT_FALSE(caller.ReadAll());
}

// Guards against a stream that is given up for a comment.
TEST_F(SecondAttemptTest, CommentIsNoAnswerAtHand) {
  ServiceServer<CommentService> thinking;
  UseAttempts(2);
  CallerConnection caller(gateway_->callers_endpoint());
  BeginSilentStream(caller);
  RegisterUpstream("thinking", thinking.endpoint, "ready");
  while (!thinking.service.has_sent) {
    std::this_thread::yield();
  }
  Upstream(0).GoOn();
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), CompleteStream());
}

// Guards against a second attempt that is given up before a third upstream is known.
TEST_F(SecondAttemptTest, SilentAttemptIsKeptIfThereIsNoOtherUpstream) {
  UseAttempts(3);
  Upstream(1).SetFault(WorkerFault::kSilentBeforeResponse, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  BeginSilentStream(caller);
  RegisterWorker(1, "ready");
  AwaitSecondSilence();
  Upstream(0).BreakOff();
  WaitForMetric(R"(savoryglade_gateway_lost_attempts_total{reason="broken_off"} 1)");
  EXPECT_EQ(Upstream(1).abandoned_requests(), 0);
  Upstream(1).GoOn();
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), CompleteStream());
}

// Guards against giving up the only attempt in hand because it is silent too.
TEST_F(SecondAttemptTest, SilentAttemptIsKeptAfterTheEndOfTheFirst) {
  UseAttempts(3);
  Upstream(0).SetFault(WorkerFault::kSilentBeforeResponse, 1);
  Upstream(1).SetFault(WorkerFault::kSilentBeforeResponse, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/looks/1"));
  AwaitSecondSilence();
  RegisterWorker(1, "ready");
  while (Upstream(1).silent_requests() + Upstream(1).abandoned_requests() == 0) {
    std::this_thread::yield();
  }
  Upstream(0).BreakOff();
  WaitForMetric(R"(savoryglade_gateway_silences_total{stage="before"} 2)");
  Upstream(1).GoOn();
  caller.ReadAll();
  EXPECT_EQ(caller.status(), 200U);
  EXPECT_EQ(caller.body(), "POST /looks/1 prompt");
}

// Guards against staying with a frozen upstream until the deadline because the only other one had
// no place for a moment.
TEST_F(SecondAttemptTest, UpstreamThatHasRejectedTheAttemptIsAskedAgain) {
  UseAttempts(2);
  Upstream(1).SetFault(WorkerFault::kRejectNotExecuted, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  BeginSilentStream(caller);
  RegisterWorker(1, "ready");
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), CompleteStream());
  EXPECT_EQ(Upstream(1).arrivals(), 2);
}

}  // namespace
}  // namespace savoryglade::gateway
