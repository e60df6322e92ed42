#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <thread>

#include "emulator/caller_connection.h"
#include "emulator/worker_service.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

constexpr int kAlways = 1'000'000;

// Upstreams that are sound, fall silent for longer than the gateway expects, and go on.
class SilentUpstreamTest : public GatewayFixture {
 protected:
  explicit SilentUpstreamTest(int upstreams = 2) : GatewayFixture(upstreams) {
    PutImpatientRoutes();
    WaitUntilReady();
  }

  // Routes whose pauses and objectives are so short that a silence is noticed at once.
  void PutImpatientRoutes(int max_attempts = 2, int version = 1) {
    const std::string attempts = std::to_string(max_attempts);
    PutRoutes(
        version,
        R"(,{"name":"talks","host":"h","prefix":"/talks/","route_kind":"streaming","timeout_ms":20000,)"
        R"("goal_ms":5,"itl_target_ms":5,"service":"s","resumable":true,"max_attempts":)" +
            attempts +
            R"(},{"name":"patient","host":"h","prefix":"/patient/","route_kind":"streaming",)"
            R"("timeout_ms":20000,"itl_target_ms":6000,"service":"s","resumable":true,"max_attempts":)" +
            attempts +
            R"(},{"name":"slow","host":"h","prefix":"/slow/","route_kind":"streaming",)"
            R"("timeout_ms":20000,"goal_ms":60000,"itl_target_ms":5,"service":"s","resumable":true,"max_attempts":)" +
            attempts +
            R"(},{"name":"looks","host":"h","prefix":"/looks/","route_kind":"idempotent",)"
            R"("timeout_ms":20000,"goal_ms":5,"service":"s","max_attempts":)" +
            attempts + "}");
  }

  // Starts the gateway anew with an empty retry budget.
  void StartWithoutRetryBudget() {
    FleetBounds bounds = TestBounds();
    bounds.retry_ratio = 0;
    bounds.retry_allowance = 0;
    gateway_.reset();
    gateway_ = MakeGateway("daemon-1", store_.endpoint, bounds);
    WaitUntilReady();
  }

  WorkerService& Upstream(int i) { return workers_[static_cast<std::size_t>(i)]->service; }

  static std::string Request(const std::string& path, const std::string& attempt) {
    std::string request = FormatRequest("POST", path, attempt, kApiKey, "prompt");
    request.replace(request.find("2500"), 4, "20000");
    return request;
  }

  // Sends a request and does something once the gateway has noticed a silence. Returns the answer.
  Response SendThroughSilence(const std::string& path, const std::string& attempt,
                              const std::function<void()>& on_silence) {
    const int silences = Silences();
    CallerConnection caller(gateway_->callers_endpoint());
    caller.Send(Request(path, attempt));
    while (Silences() == silences) {
    }
    on_silence();
    return ReadResponse(caller);
  }

  static Response ReadResponse(CallerConnection& caller) {
    Response response;
    response.complete = caller.ReadAll();
    response.status = caller.status();
    response.body = caller.body();
    return response;
  }

  // Returns how many silences the gateway has noticed.
  int Silences() const {
    const std::string name = "savoryglade_gateway_silences_total{";
    const std::string metrics = Metrics();
    int sum = 0;
    for (std::size_t at = metrics.find(name); at != std::string::npos;
         at = metrics.find(name, at + 1)) {
      sum += std::stoi(metrics.substr(metrics.find("} ", at) + 2));
    }
    return sum;
  }

  // Returns how many silences of this stage the gateway has noticed.
  int Silences(const std::string& stage) const {
    const std::string name = "silences_total{stage=\"" + stage + "\"} ";
    const std::string metrics = Metrics();
    const std::size_t at = metrics.find(name);
    return at == std::string::npos ? 0 : std::stoi(metrics.substr(at + name.size()));
  }

  void LetAllGoOn() {
    for (const auto& worker : workers_) {
      worker->service.GoOn();
    }
  }

  // Lets the other upstream serve once one of the two is silent.
  void LetOtherServe(const std::string& attempt) {
    // The other one may have begun and be silent, too.
    const int other = workers_[0]->service.RunCount(attempt) > 0 ? 1 : 0;
    Upstream(other).SetFault(WorkerFault::kNone, 0);
    Upstream(other).GoOn();
  }

  // Waits until no upstream is silent, because each has answered or has lost its connection.
  void AwaitNoSilence() {
    while (Upstream(0).silent_requests() + Upstream(1).silent_requests() > 0) {
      std::this_thread::yield();
    }
  }

  static void ExpectWholeStream(const Response& response) {
    EXPECT_EQ(response.status, 200U);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, CompleteStream());
  }
};

class OnlyUpstreamTest : public SilentUpstreamTest {
 protected:
  OnlyUpstreamTest() : SilentUpstreamTest(1) {}
};

// Guards against a stream that is cut off during a silence of its upstream although no other
// upstream can go on with it.
TEST_F(OnlyUpstreamTest, StreamGoesOnIfThereIsNoOtherUpstream) {
  Upstream(0).SetFault(WorkerFault::kSilentInStream, 1);
  ExpectWholeStream(SendThroughSilence("/talks/stream/1", "a1", [this] { LetAllGoOn(); }));
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against a stream that is given up before its first event although no other upstream can
// begin it.
TEST_F(OnlyUpstreamTest, StreamBeginsIfThereIsNoOtherUpstream) {
  Upstream(0).SetFault(WorkerFault::kSilentBeforeResponse, 1);
  ExpectWholeStream(SendThroughSilence("/talks/stream/1", "a1", [this] { LetAllGoOn(); }));
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against a call that is given up although no other upstream can answer it.
TEST_F(OnlyUpstreamTest, CallIsAnsweredIfThereIsNoOtherUpstream) {
  Upstream(0).SetFault(WorkerFault::kSilentBeforeResponse, 1);
  const Response response = SendThroughSilence("/looks/1", "a1", [this] { LetAllGoOn(); });
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(response.body, "POST /looks/1 prompt");
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against a stream that is cut off during a silence because the other upstreams are full.
TEST_F(OnlyUpstreamTest, StreamGoesOnIfAnotherUpstreamRejectsIt) {
  workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(1)));
  Upstream(1).SetFault(WorkerFault::kRejectNotExecuted, kAlways);
  Upstream(0).SetFault(WorkerFault::kSilentInStream, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/talks/stream/1", "a1"));
  caller.ReadUntil(
      [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
  RegisterWorker(1, "ready");
  while (Upstream(1).arrivals() == 0 && !caller.ClosedByPeer()) {
    std::this_thread::yield();
  }
  Upstream(0).GoOn();
  ExpectWholeStream(ReadResponse(caller));
}

// Guards against a stream that is cut off in the instant in which its upstream breaks, because the
// next one is not known or has no place yet.
TEST_F(OnlyUpstreamTest, StreamThatHasLostItsUpstreamWaitsForAnotherOne) {
  workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(1)));
  Upstream(0).SetFault(WorkerFault::kTruncateStream, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/patient/stream/1", "a1"));
  while (Metrics().find(R"(lost_attempts_total{reason="broken_off"})") == std::string::npos) {
  }
  RegisterWorker(1, "ready");
  ExpectWholeStream(ReadResponse(caller));
}

// Guards against a stream that is cut off during a silence because the retry budget is used up.
TEST_F(SilentUpstreamTest, StreamGoesOnIfTheRetryBudgetAllowsNoOtherAttempt) {
  StartWithoutRetryBudget();
  SetFaults(WorkerFault::kSilentInStream, 1);
  ExpectWholeStream(SendThroughSilence("/talks/stream/1", "a1", [this] { LetAllGoOn(); }));
  EXPECT_EQ(RunCount("a1"), 1);
}

// Guards against a caller that waits for an upstream that has frozen.
TEST_F(SilentUpstreamTest, AnotherUpstreamTakesOverTheStreamOfAFrozenOne) {
  SetFaults(WorkerFault::kSilentInStream, 1);
  ExpectWholeStream(SendThroughSilence("/talks/stream/1", "a1", [this] { LetOtherServe("a1"); }));
  EXPECT_EQ(RunCount("a1"), 2);
  AwaitNoSilence();
}

TEST_F(SilentUpstreamTest, AnotherUpstreamBeginsTheStreamOfAFrozenOne) {
  SetFaults(WorkerFault::kSilentBeforeResponse, 1);
  ExpectWholeStream(SendThroughSilence("/talks/stream/1", "a1", [this] { LetOtherServe("a1"); }));
  EXPECT_EQ(RunCount("a1"), 2);
  AwaitNoSilence();
}

TEST_F(SilentUpstreamTest, AnotherUpstreamAnswersTheCallOfAFrozenOne) {
  SetFaults(WorkerFault::kSilentBeforeResponse, 1);
  const Response response = SendThroughSilence("/looks/1", "a1", [this] { LetOtherServe("a1"); });
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(response.body, "POST /looks/1 prompt");
  EXPECT_EQ(RunCount("a1"), 2);
  AwaitNoSilence();
}

class ThreeUpstreamsTest : public SilentUpstreamTest {
 protected:
  ThreeUpstreamsTest() : SilentUpstreamTest(3) {
    PutImpatientRoutes(3, 2);
    // The routes are in force once they allow a third attempt.
    gateway_.reset();
    gateway_ = MakeGateway("daemon-1", store_.endpoint);
    WaitUntilReady();
  }

  int SilentUpstreams() const {
    int silent = 0;
    for (const auto& worker : workers_) {
      silent += worker->service.silent_requests() + worker->service.abandoned_requests();
    }
    return silent;
  }
};

// Guards against a caller that waits for a second upstream that has frozen as well.
TEST_F(ThreeUpstreamsTest, ThirdUpstreamTakesOverFromTwoFrozenOnes) {
  SetFaults(WorkerFault::kSilentInStream, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/talks/stream/1", "a1"));
  while (SilentUpstreams() < 2 && !caller.ClosedByPeer()) {
    std::this_thread::yield();
  }
  for (int i = 0; i < 3; ++i) {
    if (Upstream(i).silent_requests() + Upstream(i).abandoned_requests() == 0) {
      Upstream(i).SetFault(WorkerFault::kNone, 0);
    }
  }
  // The third upstream may have been asked before.
  if (SilentUpstreams() == 3) {
    LetAllGoOn();
  }
  ExpectWholeStream(ReadResponse(caller));
}

// Guards against a pause that is taken for the wait for the first event, which may be long.
TEST_F(OnlyUpstreamTest, SilenceAfterTheFirstEventsIsNoticedByTheLongestPause) {
  Upstream(0).SetFault(WorkerFault::kSilentInStream, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/slow/stream/1", "a1"));
  while (Silences() == 0 && !caller.ClosedByPeer()) {
  }
  EXPECT_EQ(Silences(), 1);
  Upstream(0).GoOn();
  ExpectWholeStream(ReadResponse(caller));
}

// Guards against a counter of silences that misses one, counts one twice or confuses their stages.
TEST_F(OnlyUpstreamTest, EachSilenceIsCountedOnceByItsStage) {
  Upstream(0).SetFault(WorkerFault::kSilentBeforeResponse, 1);
  ExpectWholeStream(SendThroughSilence("/talks/stream/1", "a1", [this] { LetAllGoOn(); }));
  EXPECT_EQ(Silences("before"), 1);
  EXPECT_EQ(Silences("in_response"), 0);
  Upstream(0).SetFault(WorkerFault::kSilentInStream, 1);
  ExpectWholeStream(SendThroughSilence("/talks/stream/1", "a2", [this] { LetAllGoOn(); }));
  EXPECT_EQ(Silences("before"), 1);
  EXPECT_EQ(Silences("in_response"), 1);
}

// Guards against a moved stream that waits for its source, which has stopped it and leaves the
// connection open.
TEST_F(SilentUpstreamTest, MovedStreamContinuesFromItsCopyIfItsSourceStaysSilent) {
  PutImpatientRoutes(1, 2);
  gateway_.reset();
  gateway_ = MakeGateway("daemon-1", store_.endpoint);
  WaitUntilReady();
  SetFaults(WorkerFault::kSilentAfterMigration, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/talks/stream/1", "a1"));
  caller.ReadUntil(
      [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
  const int source = workers_[0]->service.RunCount("a1") > 0 ? 0 : 1;
  Upstream(1 - source).SetFault(WorkerFault::kNone, 0);
  RegisterWorker(source, "draining");
  ExpectWholeStream(ReadResponse(caller));
  EXPECT_EQ(Upstream(1 - source).migrated_runs(), 1);
}

// Guards against a stream that is cut off because the only upstream that could go on with it has
// rejected it once.
TEST_F(OnlyUpstreamTest, StreamReturnsToAnUpstreamThatHasRejectedIt) {
  workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(1)));
  Upstream(0).SetFault(WorkerFault::kTruncateStream, 1);
  Upstream(1).SetFault(WorkerFault::kRejectNotExecuted, 1);
  CallerConnection caller(gateway_->callers_endpoint());
  caller.Send(Request("/patient/stream/1", "a1"));
  while (Metrics().find(R"(lost_attempts_total{reason="broken_off"})") == std::string::npos) {
  }
  RegisterWorker(1, "ready");
  ExpectWholeStream(ReadResponse(caller));
  EXPECT_EQ(Upstream(1).arrivals(), 2);
}

// Upstream whose failure has a long body that breaks off.
struct LongFailureService {
  static boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    HttpHeaders headers;
    headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
    headers.emplace_back("Response-Seal", "seal");
    co_await exchange.StartStream(500, std::move(headers), std::string(600 * 1024, 'x'));
    exchange.Abort();
  }
};

// Guards against events behind the body of a failure.
TEST_F(OnlyUpstreamTest, NothingFollowsALongFailureThatBreaksOff) {
  ServiceServer<LongFailureService> failing;
  RegisterUpstream("worker-failing", failing.endpoint, "ready");
  Response response;
  for (int i = 0; i < 1000 && response.status != 500; ++i) {
    CallerConnection caller(gateway_->callers_endpoint());
    caller.Send(Request(fmt::format("/talks/stream/{}", i), fmt::format("f{}", i)));
    response = ReadResponse(caller);
  }
  EXPECT_EQ(response.status, 500U);
  EXPECT_FALSE(response.complete);
  EXPECT_EQ(response.body.find("data:"), std::string::npos);
}

// Sends a stream whose first upstream is silent after some events while the second attempt is
// silent before its first one.
class TwoSilentUpstreamsTest : public SilentUpstreamTest {
 protected:
  TwoSilentUpstreamsTest() : SilentUpstreamTest(1) {
    workers_.push_back(std::make_unique<ServiceServer<WorkerService>>(WorkerName(1)));
    Upstream(0).SetFault(WorkerFault::kSilentInStream, 1);
    Upstream(1).SetFault(WorkerFault::kSilentBeforeResponse, 1);
    caller_ = std::make_unique<CallerConnection>(gateway_->callers_endpoint());
    caller_->Send(Request("/talks/stream/1", "a1"));
    caller_->ReadUntil(
        [](const std::string& body) { return body.find("id: 3\n") != std::string::npos; });
    RegisterWorker(1, "ready");
    while (Upstream(1).silent_requests() == 0 && !caller_->ClosedByPeer()) {
      std::this_thread::yield();
    }
  }

  std::unique_ptr<CallerConnection> caller_;
};

// Guards against two upstreams that go on with one stream.
TEST_F(TwoSilentUpstreamsTest, SecondAttemptEndsIfTheFirstUpstreamGoesOn) {
  Upstream(0).GoOn();
  ExpectWholeStream(ReadResponse(*caller_));
  AwaitNoSilence();
  EXPECT_EQ(Upstream(1).abandoned_requests(), 1);
}

// Guards against a stream that ends with its first attempt while a second one is on its way.
TEST_F(TwoSilentUpstreamsTest, SecondAttemptGoesOnIfTheFirstOneBreaks) {
  Upstream(0).BreakOff();
  while (Upstream(0).silent_requests() > 0) {
    std::this_thread::yield();
  }
  Upstream(1).GoOn();
  ExpectWholeStream(ReadResponse(*caller_));
}

// Guards against a stream that ends with its second attempt although the first upstream is sound.
TEST_F(TwoSilentUpstreamsTest, FirstUpstreamGoesOnIfTheSecondAttemptBreaks) {
  Upstream(1).BreakOff();
  while (Upstream(1).silent_requests() > 0) {
    std::this_thread::yield();
  }
  Upstream(0).GoOn();
  ExpectWholeStream(ReadResponse(*caller_));
}

// Guards against events of both attempts in one stream.
TEST_F(TwoSilentUpstreamsTest, LateBytesOfTheFirstUpstreamAreDropped) {
  Upstream(1).GoOn();
  ExpectWholeStream(ReadResponse(*caller_));
  Upstream(0).GoOn();
  AwaitNoSilence();
  EXPECT_EQ(SendRequest("POST", "/orders/1", "a2").status, 200U);
}

// Guards against sound requests that are refused as ones that crash upstreams, because upstreams
// were silent for a while.
TEST_F(SilentUpstreamTest, SilenceIsNoCrash) {
  for (int i = 0; i < 5; ++i) {
    const std::string attempt = fmt::format("s{}", i);
    SetFaults(WorkerFault::kSilentInStream, 1);
    ExpectWholeStream(SendThroughSilence("/talks/stream/1", attempt,
                                         [this, &attempt] { LetOtherServe(attempt); }));
    SetFaults(WorkerFault::kNone, 0);
    AwaitNoSilence();
  }
  EXPECT_EQ(Metrics().find(R"(event="recorded")"), std::string::npos);
}

}  // namespace
}  // namespace savoryglade::gateway
