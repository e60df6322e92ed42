#include <memory>
#include <string>
#include <string_view>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

constexpr int kTokens = 40;
constexpr std::size_t kFaultPosition = 20;
constexpr std::string_view kKeyHeader = "Idempotency-Key: stream-1\r\n";

// Returns the headers of a request that resumes after the last complete event.
std::string ResumeHeaders(const std::string& received) {
  const std::size_t end = received.rfind("\n\n");
  const std::size_t start = received.rfind("id: ", end);
  const std::string id = received.substr(start + 4, received.find('\n', start) - start - 4);
  return std::string(kKeyHeader) + "Last-Event-ID: " + id + "\r\n";
}

// Returns the complete events in a stream whose connection was lost.
std::string CompleteEvents(const std::string& received) {
  return received.substr(0, received.rfind("\n\n") + 2);
}

UpstreamClientOptions ShortSilenceTimeout() {
  UpstreamClientOptions options;
  options.silence_timeout = 100ms;
  return options;
}

// Guards against a lost stream when its entry VM stops although another daemon has its record.
TEST(StreamTest, StreamOfAStoppedDaemonIsResumedThroughAnotherWithoutRecomputing) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  EngineServer engine;
  const auto directory = std::make_shared<InMemoryStreamDirectory>();
  auto first = StartDaemon({.engines = {engine.endpoint}, .dependencies = {.streams = directory}});
  // Stalls the stream half-way until its daemon has stopped.
  engine.engine.SetFault(EngineFault::kStall, kFaultPosition);
  CallerConnection before(first->callers_endpoint());
  before.Send(MakeChatRequest(kTokens, kKeyHeader));
  before.ReadUntilTokenCount(kFaultPosition);
  first.reset();
  EXPECT_FALSE(before.ReadAll());
  engine.engine.SetFault(EngineFault::kNone);
  const std::string received = CompleteEvents(before.body());

  const auto second =
      StartDaemon({.engines = {engine.endpoint}, .dependencies = {.streams = directory}});
  CallerConnection after(second->callers_endpoint());
  after.Send(MakeChatRequest(kTokens, ResumeHeaders(received)));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(received + after.body(), expected);
  EXPECT_EQ(engine.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
  EXPECT_EQ(engine.engine.counts().resumed, 1U);
  EXPECT_EQ(second->metrics().GetCounter("savoryglade_streams_resumed_total").value(), 1U);
}

// Guards against a changed response, or positions that are sent twice, when both the record of a
// stream and its upstream are lost.
TEST(StreamTest, StreamWithoutRecordIsGeneratedAgainAndSkipsDeliveredPositions) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  EngineServer lost;
  EngineServer other;
  auto first = StartDaemon({.engines = {lost.endpoint}});
  lost.engine.SetFault(EngineFault::kStall, kFaultPosition);
  CallerConnection before(first->callers_endpoint());
  before.Send(MakeChatRequest(kTokens, kKeyHeader));
  before.ReadUntilTokenCount(kFaultPosition);
  first.reset();
  EXPECT_FALSE(before.ReadAll());
  const std::string received = CompleteEvents(before.body());

  const auto second = StartDaemon({.engines = {other.endpoint}});
  CallerConnection after(second->callers_endpoint());
  after.Send(MakeChatRequest(kTokens, ResumeHeaders(received)));
  EXPECT_TRUE(after.ReadAll());
  EXPECT_EQ(received + after.body(), expected);
  EXPECT_EQ(second->metrics().GetCounter("savoryglade_tokens_recomputed_total").value(),
            kFaultPosition);
  EXPECT_EQ(other.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
}

// Guards against a reused key that returns the stream of a different request.
TEST(StreamTest, ReusedKeyWithDifferentBodyIsRejected) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  CallerConnection first(daemon->callers_endpoint());
  first.Send(MakeChatRequest(kTokens, kKeyHeader));
  EXPECT_TRUE(first.ReadAll());
  CallerConnection second(daemon->callers_endpoint());
  second.Send(MakeChatRequest(kTokens + 1, kKeyHeader));
  EXPECT_TRUE(second.ReadAll());
  EXPECT_EQ(second.status(), 422U);
  EXPECT_EQ(second.Header("Savoryglade-Reason"), "idempotency_key_reused");
}

// Guards against streams that end with their engine, for a crash, a stall and silent connections.
TEST(StreamTest, StreamContinuesAtAnotherEngineAfterAFault) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  for (const EngineFault fault :
       {EngineFault::kCrash, EngineFault::kStall, EngineFault::kSilentConnections}) {
    EngineServer a;
    EngineServer b;
    const auto daemon = StartDaemon(
        {.engines = {a.endpoint, b.endpoint}, .dependencies = {.path = ShortSilenceTimeout()}});
    // The fault affects only the engine that gets the request first: at the other one the stream
    // begins at the position of the fault.
    a.engine.SetFault(fault, kFaultPosition);
    b.engine.SetFault(fault, kFaultPosition);
    CallerConnection caller(daemon->callers_endpoint());
    caller.Send(MakeChatRequest(kTokens, kKeyHeader));
    EXPECT_TRUE(caller.ReadAll());
    EXPECT_EQ(caller.body(), expected) << static_cast<int>(fault);
    MetricRegistry& metrics = daemon->metrics();
    EXPECT_EQ(metrics.GetCounter("savoryglade_streams_continued_total").value(), 1U);
    // The daemon has the text generated so far, so only the prompt is processed again.
    EXPECT_EQ(a.engine.counts().submitted + b.engine.counts().submitted, 2U);
    EXPECT_EQ(metrics.GetCounter("savoryglade_tokens_recomputed_total").value(), 0U);
  }
}

// Guards against a cancellation of the failed attempt that also ends the next one at the same
// engine.
TEST(StreamTest, StreamResumesAtTheSameEngineAfterASilentConnection) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  EngineServer engine;
  const auto daemon =
      StartDaemon({.engines = {engine.endpoint}, .dependencies = {.path = ShortSilenceTimeout()}});
  engine.engine.SetFault(EngineFault::kSilentConnections, kFaultPosition);
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(kTokens, kKeyHeader));
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.body(), expected);
  EXPECT_EQ(engine.engine.counts().generated_tokens, static_cast<std::uint64_t>(kTokens));
  EXPECT_EQ(engine.engine.counts().cancelled, 0U);
}

// Guards against events of other requests and duplicate events that reach the caller.
TEST(StreamTest, ForeignAndDuplicateEventsAreDroppedAndCountedByReason) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
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
    caller.Send(MakeChatRequest(kTokens, kKeyHeader));
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

// Guards against events from before a resumption that are delivered again.
TEST(StreamTest, LateEventsOfAResumedStreamAreDropped) {
  const std::string expected = ReferenceStream(kTokens, kKeyHeader);
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  CallerConnection before(daemon->callers_endpoint());
  engine.engine.SetFault(EngineFault::kStall, kFaultPosition);
  before.Send(MakeChatRequest(kTokens, kKeyHeader));
  before.ReadUntilTokenCount(kFaultPosition);
  const std::string received = CompleteEvents(before.body());
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

// Guards against an engine that continues for a caller that has disconnected and can't resume.
TEST(StreamTest, GenerationIsCancelledWhenACallerWithoutKeyDisconnects) {
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

// Guards against a daemon that does not see a disconnect behind bytes that it has not read yet.
TEST(StreamTest, GenerationIsCancelledWhenACallerDisconnectsAfterFurtherBytes) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  engine.engine.SetFault(EngineFault::kStall, 1);
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(4));
  caller.ReadUntilTokenCount(1);
  caller.Send("\r\n");
  caller.Close();
  Counter& disconnected =
      daemon->metrics().GetCounter("savoryglade_callers_gone_total", {{"stage", "running"}});
  WaitFor([&] { return disconnected.value() == 1; });
}

// Guards against running a request whose caller disconnected while it was queued.
TEST(StreamTest, QueuedRequestOfADisconnectedCallerIsNeverDispatched) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}, .concurrency = 1});
  engine.engine.SetFault(EngineFault::kStall, 1);
  CallerConnection running(daemon->callers_endpoint());
  running.Send(MakeChatRequest(2));
  running.ReadUntilTokenCount(1);
  CallerConnection queued(daemon->callers_endpoint());
  queued.Send(MakeChatRequest(2));
  queued.Close();
  Counter& disconnected_queued =
      daemon->metrics().GetCounter("savoryglade_callers_gone_total", {{"stage", "queued"}});
  WaitFor([&] { return disconnected_queued.value() == 1; });
  // Frees the slot for any request that is still queued.
  running.Close();
  Counter& disconnected_running =
      daemon->metrics().GetCounter("savoryglade_callers_gone_total", {{"stage", "running"}});
  WaitFor([&] { return disconnected_running.value() == 1; });
  EXPECT_EQ(engine.engine.counts().submitted, 1U);
}

// Guards against a non-streamed response that changes when it is continued after an engine crash.
TEST(StreamTest, NonStreamedResponseIsUnchangedByAnEngineCrash) {
  EngineServer a;
  EngineServer b;
  const auto daemon = StartDaemon({.engines = {a.endpoint, b.endpoint}});
  CallerConnection reference(daemon->callers_endpoint());
  reference.Send(MakeChatRequest(kTokens, "Idempotency-Key: whole-1\r\n", false));
  EXPECT_TRUE(reference.ReadAll());
  a.engine.SetFault(EngineFault::kCrash);
  a.engine.SetFault(EngineFault::kNone);
  b.engine.SetFault(EngineFault::kCrash);
  b.engine.SetFault(EngineFault::kNone);
  // Both engines have lost the generation. The one that gets the request again crashes half-way.
  a.engine.SetFault(EngineFault::kCrash, kFaultPosition);
  b.engine.SetFault(EngineFault::kCrash, kFaultPosition);
  CallerConnection caller(daemon->callers_endpoint());
  caller.Send(MakeChatRequest(kTokens, "Idempotency-Key: whole-1\r\n", false));
  EXPECT_TRUE(caller.ReadAll());
  EXPECT_EQ(caller.status(), 200U);
  EXPECT_EQ(caller.body(), reference.body());
  EXPECT_EQ(daemon->metrics().GetCounter("savoryglade_retries_total").value(), 1U);
}

}  // namespace
}  // namespace savoryglade
