#include <memory>
#include <string>
#include <string_view>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

constexpr int kTokens = 40;
constexpr std::size_t kHalf = 20;
constexpr std::string_view kKey = "Idempotency-Key: stream-1\r\n";

// Returns the headers of a caller that resumes after the last event it has received whole.
std::string ResumeHeaders(const std::string& received) {
  const std::size_t end = received.rfind("\n\n");
  const std::size_t start = received.rfind("id: ", end);
  const std::string id = received.substr(start + 4, received.find('\n', start) - start - 4);
  return std::string(kKey) + "Last-Event-ID: " + id + "\r\n";
}

// Returns what a caller keeps when its connection breaks: whole events only.
std::string WholeEvents(const std::string& received) {
  return received.substr(0, received.rfind("\n\n") + 2);
}

UpstreamClientOptions ShortSilence() {
  UpstreamClientOptions options;
  options.silence_timeout = 100ms;
  return options;
}

// Guards against a lost entry VM that costs the caller its answer although the stream is known.
TEST(StreamTest, StreamOfAStoppedDaemonIsResumedThroughAnotherWithoutRecomputing) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  EngineServer engine;
  const auto directory = std::make_shared<InMemoryStreamDirectory>();
  auto first = StartDaemon({.engines = {engine.endpoint}, .parts = {.streams = directory}});
  // Holds the stream half-way until its daemon is gone.
  engine.engine.SetFault(EngineFault::kStall, kHalf);
  CallerConnection before(first->callers_endpoint());
  before.Send(MakeChatRequest(kTokens, kKey));
  before.ReadUntilTokenCount(kHalf);
  first.reset();
  EXPECT_FALSE(before.ReadAll());
  engine.engine.SetFault(EngineFault::kNone);
  const std::string received = WholeEvents(before.body());

  const auto second = StartDaemon({.engines = {engine.endpoint}, .parts = {.streams = directory}});
  CallerConnection after(second->callers_endpoint());
  after.Send(MakeChatRequest(kTokens, ResumeHeaders(received)));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(received + after.body(), expected);
  EXPECT_EQ(engine.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
  EXPECT_EQ(engine.engine.counts().resumed, 1U);
  EXPECT_EQ(second->metrics().GetCounter("savoryglade_streams_resumed_total").value(), 1U);
}

// Guards against an answer that changes, or positions sent twice, when neither the record of a
// stream nor its upstream is left.
TEST(StreamTest, StreamWithoutRecordIsGeneratedAgainAndSkipsDeliveredPositions) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  EngineServer lost;
  EngineServer other;
  auto first = StartDaemon({.engines = {lost.endpoint}});
  lost.engine.SetFault(EngineFault::kStall, kHalf);
  CallerConnection before(first->callers_endpoint());
  before.Send(MakeChatRequest(kTokens, kKey));
  before.ReadUntilTokenCount(kHalf);
  first.reset();
  EXPECT_FALSE(before.ReadAll());
  const std::string received = WholeEvents(before.body());

  const auto second = StartDaemon({.engines = {other.endpoint}});
  CallerConnection after(second->callers_endpoint());
  after.Send(MakeChatRequest(kTokens, ResumeHeaders(received)));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(received + after.body(), expected);
  EXPECT_EQ(second->metrics().GetCounter("savoryglade_tokens_recomputed_total").value(), kHalf);
  EXPECT_EQ(other.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
}

// Guards against a key that gives one caller the stream of another request.
TEST(StreamTest, SameKeyWithAnotherBodyIsRefused) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  CallerConnection first(daemon->callers_endpoint());
  first.Send(MakeChatRequest(kTokens, kKey));
  EXPECT_TRUE(first.ReadAll());
  CallerConnection second(daemon->callers_endpoint());
  second.Send(MakeChatRequest(kTokens + 1, kKey));
  EXPECT_TRUE(second.ReadAll());
  EXPECT_EQ(second.status(), 422U);
  EXPECT_EQ(second.Header("Savoryglade-Reason"), "idempotency_key_reused");
}

// Guards against an engine whose loss ends its streams, in each way in which it can be lost.
TEST(StreamTest, StreamGoesOnAtAnotherEngineAfterAFault) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  for (const EngineFault fault :
       {EngineFault::kCrash, EngineFault::kStall, EngineFault::kSilentConnections}) {
    EngineServer a;
    EngineServer b;
    const auto daemon =
        StartDaemon({.engines = {a.endpoint, b.endpoint}, .parts = {.path = ShortSilence()}});
    // Only the engine that gets the request first shows the fault: at the other one the stream
    // begins at that position.
    a.engine.SetFault(fault, kHalf);
    b.engine.SetFault(fault, kHalf);
    CallerConnection caller(daemon->callers_endpoint());
    caller.Send(MakeChatRequest(kTokens, kKey));
    EXPECT_TRUE(caller.ReadAll());
    EXPECT_EQ(caller.body(), expected) << static_cast<int>(fault);
    MetricRegistry& metrics = daemon->metrics();
    EXPECT_EQ(metrics.GetCounter("savoryglade_streams_continued_total").value(), 1U);
    // The text so far is known to the daemon, so only its prompt is processed again.
    EXPECT_EQ(a.engine.counts().submitted + b.engine.counts().submitted, 2U);
    EXPECT_EQ(metrics.GetCounter("savoryglade_tokens_recomputed_total").value(), 0U);
  }
}

// Guards against a cancellation of the failed attempt that hits the next one at the same engine.
TEST(StreamTest, StreamIsTakenUpAtTheSameEngineAfterASilentConnection) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  EngineServer engine;
  const auto daemon =
      StartDaemon({.engines = {engine.endpoint}, .parts = {.path = ShortSilence()}});
  engine.engine.SetFault(EngineFault::kSilentConnections, kHalf);
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(kTokens, kKey));
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), expected);
  EXPECT_EQ(engine.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
  EXPECT_EQ(engine.engine.counts().cancelled, 0U);
}

// Guards against events of other requests, or events sent again, that reach the caller.
TEST(StreamTest, ForeignAndRepeatedEventsAreDroppedAndCountedApart) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  struct Case {
    EngineFault fault;
    std::string reason;
  };
  for (const Case& test : {Case{EngineFault::kRepeatEvents, "duplicate"},
                           Case{EngineFault::kCrossEvents, "crossed"}}) {
    EngineServer engine;
    const auto daemon = StartDaemon({.engines = {engine.endpoint}});
    engine.engine.SetFault(test.fault);
    CallerConnection caller(daemon->callers_endpoint());
    caller.Send(MakeChatRequest(kTokens, kKey));
    EXPECT_TRUE(caller.ReadAll());
    EXPECT_EQ(caller.body(), expected) << test.reason;
    for (const std::string reason : {"late", "crossed", "duplicate"}) {
      EXPECT_EQ(daemon->metrics()
                    .GetCounter("savoryglade_events_dropped_total", {{"reason", reason}})
                    .value(),
                reason == test.reason ? static_cast<std::uint64_t>(kTokens) : 0U)
          << reason;
    }
  }
}

// Guards against positions from before a resumption that are delivered once more.
TEST(StreamTest, LateEventsOfAResumedStreamAreDropped) {
  const std::string expected = ReferenceStream(kTokens, kKey);
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  CallerConnection before(daemon->callers_endpoint());
  engine.engine.SetFault(EngineFault::kStall, kHalf);
  before.Send(MakeChatRequest(kTokens, kKey));
  before.ReadUntilTokenCount(kHalf);
  const std::string received = WholeEvents(before.body());
  before.Close();
  engine.engine.SetFault(EngineFault::kLateEvents);
  CallerConnection after(daemon->callers_endpoint());
  after.Send(MakeChatRequest(kTokens, ResumeHeaders(received)));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(received + after.body(), expected);
  EXPECT_EQ(daemon->metrics()
                .GetCounter("savoryglade_events_dropped_total", {{"reason", "late"}})
                .value(),
            1U);
}

// Guards against an engine that goes on for a caller that left and can't come back.
TEST(StreamTest, CallerThatLeavesWithoutAKeyIsCancelledAtTheEngine) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(1'000'000));
  caller.ReadUntilTokenCount(1);
  caller.Close();
  WaitFor([&] { return engine.engine.counts().cancelled == 1; });
  EXPECT_EQ(daemon->metrics()
                .GetCounter("savoryglade_callers_gone_total", {{"stage", "running"}})
                .value(),
            1U);
}

// Guards against work for a caller that left while its request was queued.
TEST(StreamTest, CallerThatLeavesTheQueueIsNeverDispatched) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}, .concurrency = 1});
  engine.engine.SetFault(EngineFault::kStall, 1);
  CallerConnection running(daemon->callers_endpoint());
  running.Send(MakeChatRequest(2));
  running.ReadUntilTokenCount(1);
  CallerConnection queued(daemon->callers_endpoint());
  queued.Send(MakeChatRequest(2));
  queued.Close();
  Counter& gone =
      daemon->metrics().GetCounter("savoryglade_callers_gone_total", {{"stage", "queued"}});
  WaitFor([&] { return gone.value() == 1; });
  // Leaves the slot to whatever is still queued.
  running.Close();
  Counter& left =
      daemon->metrics().GetCounter("savoryglade_callers_gone_total", {{"stage", "running"}});
  WaitFor([&] { return left.value() == 1; });
  EXPECT_EQ(engine.engine.counts().submitted, 1U);
}

// Guards against a whole answer that differs from the streamed one after an engine crash.
TEST(StreamTest, WholeAnswerSurvivesAnEngineCrash) {
  EngineServer a;
  EngineServer b;
  const auto daemon = StartDaemon({.engines = {a.endpoint, b.endpoint}});
  CallerConnection undisturbed(daemon->callers_endpoint());
  undisturbed.Send(MakeChatRequest(kTokens, "Idempotency-Key: whole-1\r\n", false));
  EXPECT_TRUE(undisturbed.ReadAll());
  a.engine.SetFault(EngineFault::kCrash);
  a.engine.SetFault(EngineFault::kNone);
  b.engine.SetFault(EngineFault::kCrash);
  b.engine.SetFault(EngineFault::kNone);
  // Both engines have forgotten the answer. The one that gets it again crashes half-way.
  a.engine.SetFault(EngineFault::kCrash, kHalf);
  b.engine.SetFault(EngineFault::kCrash, kHalf);
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(kTokens, "Idempotency-Key: whole-1\r\n", false));
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.status(), 200U);
  EXPECT_EQ(caller.body(), undisturbed.body());
  EXPECT_EQ(daemon->metrics().GetCounter("savoryglade_retries_total").value(), 1U);
}

}  // namespace
}  // namespace savoryglade
