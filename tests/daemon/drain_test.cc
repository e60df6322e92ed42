#include <memory>
#include <string>
#include <string_view>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

constexpr int kTokens = 40;
constexpr std::size_t kHalf = 20;
constexpr std::string_view kKey = "Idempotency-Key: drain-1\r\n";

// Guards against a planned stop that cuts off a stream or takes new work.
TEST(DrainTest, OpenStreamEndsWholeWhileNewWorkIsRefused) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  engine.engine.SetFault(EngineFault::kStall, kHalf);
  CallerConnection open(daemon->callers_endpoint());
  CallerConnection idle(daemon->callers_endpoint());
  open.Send(MakeChatRequest(kTokens, kKey));
  open.ReadUntilTokenCount(kHalf);
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

// Guards against a second signal that cuts streams off, or an event by which they can't be resumed.
TEST(DrainTest, LimitedDrainEndsStreamsWithAResumeEvent) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  EngineServer engine;
  const auto directory = std::make_shared<InMemoryStreamDirectory>();
  const auto first = StartDaemon({.engines = {engine.endpoint}, .parts = {.streams = directory}});
  const auto second = StartDaemon({.engines = {engine.endpoint}, .parts = {.streams = directory}});
  engine.engine.SetFault(EngineFault::kStall, kHalf);
  CallerConnection open(first->callers_endpoint());
  open.Send(MakeChatRequest(kTokens, kKey));
  open.ReadUntilTokenCount(kHalf);
  first->BeginDrain();
  first->StartDrainTimeout(0s);
  EXPECT_TRUE(open.ReadAll());
  const std::size_t at = open.body().find("event: resume\n");
  ASSERT_NE(at, std::string::npos);
  EXPECT_EQ(open.body().substr(at),
            "event: resume\nid: drain-1:19\ndata: {\"request\":\"drain-1\",\"position\":20}\n\n");
  WaitFor([&] { return first->drained(); });
  first->Stop();
  engine.engine.SetFault(EngineFault::kNone);
  CallerConnection after(second->callers_endpoint());
  after.Send(MakeChatRequest(kTokens, std::string(kKey) + "Last-Event-ID: drain-1:19\r\n"));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(open.body().substr(0, at) + after.body(), expected);
  EXPECT_EQ(engine.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
}

// Guards against a queued request that is dispatched, or left without answer, when the drain is
// limited.
TEST(DrainTest, LimitedDrainRefusesQueuedRequestsAsNotRun) {
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
