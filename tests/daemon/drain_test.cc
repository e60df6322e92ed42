#include <memory>
#include <string>
#include <string_view>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"
#include "tests/daemon/fleet_fixture.h"

namespace savoryglade {
namespace {

constexpr int kTokens = 40;
constexpr std::size_t kStallPosition = 20;
constexpr std::string_view kKeyHeader = "Idempotency-Key: drain-1\r\n";

// Guards against a drain that ends an open stream or accepts new requests.
TEST(DrainTest, OpenStreamCompletesWhileNewRequestsAreRejected) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  engine.engine.SetFault(EngineFault::kStall, kStallPosition);
  CallerConnection open(daemon->callers_endpoint());
  CallerConnection idle(daemon->callers_endpoint());
  open.Send(MakeChatRequest(kTokens, kKeyHeader));
  open.ReadUntilTokenCount(kStallPosition);
  daemon->BeginDrain();
  CallerConnection probe(daemon->callers_endpoint());
  probe.Send(MakePlainRequest("GET", "/readyz"));
  EXPECT_TRUE(probe.ReadAll());
  EXPECT_EQ(probe.status(), 503U);
  EXPECT_EQ(probe.body(), "draining\n");
  idle.Send(MakeChatRequest(kTokens));
  EXPECT_TRUE(idle.ReadAll());
  EXPECT_EQ(idle.status(), 503U);
  EXPECT_EQ(idle.Header("Savoryglade-Reason"), "draining");
  EXPECT_EQ(idle.Header("Savoryglade-Verdict"), "not_run");
  EXPECT_NE(idle.Header("Retry-After"), "");
  EXPECT_FALSE(daemon->drained());
  engine.engine.SetFault(EngineFault::kCrash);
  engine.engine.SetFault(EngineFault::kNone);
  EXPECT_TRUE(open.ReadAll());
  EXPECT_EQ(open.body(), expected);
  WaitFor([&] { return daemon->drained(); });
  daemon->Stop();
}

// Guards against a daemon that is stopped before it is ready and lets its callers keep their
// connections, and names another reason than the stop.
TEST(DrainTest, RequestBeforeTheDaemonIsReadyIsRejectedAsDraining) {
  FleetFixture fleet;
  fleet.Start(1, 1, {.outage = true});
  CallerConnection caller(fleet.daemon(0).callers_endpoint());
  caller.Send(MakePlainRequest("GET", "/readyz"));
  ASSERT_TRUE(caller.ReadAll());
  ASSERT_EQ(caller.body(), "starting\n");
  fleet.daemon(0).BeginDrain();
  caller.StartNextResponse();
  caller.Send(MakePlainRequest("GET", "/orders/1"));
  ASSERT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.status(), 503U);
  EXPECT_EQ(caller.Header("Savoryglade-Reason"), "draining");
  EXPECT_EQ(caller.Header("Connection"), "close");
  WaitFor([&] { return fleet.daemon(0).drained(); });
}

// Guards against a peer that begins a request, does not go on with it, and thereby keeps the daemon
// from ending, and against a listener that is open when the daemon has drained.
TEST(DrainTest, HalfSentRequestDelaysTheStopUpToTheLimit) {
  const auto daemon = StartDaemon({.dependencies = {.stop_limits = {.connections = 0s}}});
  CallerConnection half_sent(daemon->callers_endpoint());
  half_sent.Send(MakePlainRequest("GET", "/readyz") + "GET /orders/1 HTTP/1.1\r\n");
  EXPECT_TRUE(half_sent.ReadAll());
  daemon->BeginDrain();
  WaitFor([&] { return daemon->drained(); });
  EXPECT_FALSE(half_sent.ClosedByPeer());
  EXPECT_ANY_THROW(CallerConnection(daemon->callers_endpoint()));
  EXPECT_ANY_THROW(CallerConnection(daemon->administration_endpoint()));
}

// Guards against a drain timeout that ends a stream without a resume event, or with one from which
// the caller can't resume at another daemon.
TEST(DrainTest, DrainTimeoutEndsStreamsWithAResumeEvent) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  EngineServer engine;
  const auto directory = std::make_shared<InMemoryStreamDirectory>();
  const auto first =
      StartDaemon({.engines = {engine.endpoint}, .dependencies = {.streams = directory}});
  const auto second =
      StartDaemon({.engines = {engine.endpoint}, .dependencies = {.streams = directory}});
  engine.engine.SetFault(EngineFault::kStall, kStallPosition);
  CallerConnection open(first->callers_endpoint());
  open.Send(MakeChatRequest(kTokens, kKeyHeader));
  open.ReadUntilTokenCount(kStallPosition);
  first->BeginDrain();
  first->StartDrainTimeout(0s);
  EXPECT_TRUE(open.ReadAll());
  const std::size_t resume_event_offset = open.body().find("event: resume\n");
  ASSERT_NE(resume_event_offset, std::string::npos);
  EXPECT_EQ(open.body().substr(resume_event_offset),
            "event: resume\nid: drain-1:19\ndata: {\"request\":\"drain-1\",\"position\":20}\n\n");
  WaitFor([&] { return first->drained(); });
  first->Stop();
  engine.engine.SetFault(EngineFault::kNone);
  CallerConnection after(second->callers_endpoint());
  after.Send(MakeChatRequest(kTokens, std::string(kKeyHeader) + "Last-Event-ID: drain-1:19\r\n"));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(open.body().substr(0, resume_event_offset) + after.body(), expected);
  EXPECT_EQ(engine.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
}

// Guards against a queued request that is dispatched, or gets no response, when the drain times
// out.
TEST(DrainTest, DrainTimeoutRejectsQueuedRequestsAsNotRun) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}, .concurrency = 1});
  engine.engine.SetFault(EngineFault::kStall, 1);
  CallerConnection running(daemon->callers_endpoint());
  running.Send(MakeChatRequest(kTokens));
  running.ReadUntilTokenCount(1);
  CallerConnection queued(daemon->callers_endpoint());
  queued.Send(MakeChatRequest(kTokens));
  Counter& requests =
      daemon->metrics().GetCounter("savoryglade_requests_total", {{"service", "assistant"}});
  WaitFor([&] { return requests.value() == 2; });
  daemon->BeginDrain();
  daemon->StartDrainTimeout(0s);
  EXPECT_TRUE(queued.ReadAll());
  EXPECT_EQ(queued.status(), 503U);
  EXPECT_EQ(queued.Header("Savoryglade-Reason"), "draining");
  EXPECT_EQ(queued.Header("Savoryglade-Verdict"), "not_run");
  EXPECT_EQ(engine.engine.counts().submitted, 1U);
}

}  // namespace
}  // namespace savoryglade
