#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"
#include "tests/daemon/daemon_process.h"

namespace savoryglade {
namespace {

constexpr int kTokens = 40;
constexpr std::size_t kStallPosition = 20;
constexpr std::string_view kKeyHeader = "Idempotency-Key: signal-1\r\n";
constexpr std::string_view kInterruptLine = "Requests in flight are interrupted";

// A daemon process with an engine, and a stream that the engine has begun and not ended.
class StopSignalTest : public testing::Test {
 protected:
  StopSignalTest()
      : expected_(ReferenceStream(kTokens, kKeyHeader)),
        configuration_path_(
            fmt::format("{}savoryglade_signal_{}.json", testing::TempDir(), ::getpid())) {
    std::ofstream(configuration_path_) << MakeConfigurationJson({.engines = {engine_.endpoint}});
  }
  ~StopSignalTest() override { std::remove(configuration_path_.c_str()); }

  std::string MakeSettings() const {
    return fmt::format(
        R"({{"daemon":"daemon-1","callers_address":"127.0.0.1:0",
             "administration_address":"127.0.0.1:0",
             "platform":{{"kind":"embedded","configuration_file":"{}"}}}})",
        configuration_path_);
  }

  // Lets the engine end the stream. The daemon goes on with it at the last position.
  void EndStream() {
    engine_.engine.SetFault(EngineFault::kCrash);
    engine_.engine.SetFault(EngineFault::kNone);
  }

  static void RequestDrain(const Endpoint& administration) {
    CallerConnection operator_connection(administration);
    operator_connection.Send(MakePlainRequest("POST", "/v1/drain", "Connection: close\r\n"));
    EXPECT_TRUE(operator_connection.ReadAll());
    EXPECT_EQ(operator_connection.status(), 200U);
    operator_connection.WaitForClose();
  }

  EngineServer engine_;
  std::string expected_;
  std::string configuration_path_;
};

// Guards against a signal that follows an operator's drain request, as in an ordinary restart, and
// interrupts the requests in flight like a second signal.
TEST_F(StopSignalTest, FirstSignalAfterAnOperatorsDrainDoesNotInterruptRequests) {
  DaemonProcess process(MakeSettings());
  const std::string endpoints = process.WaitForLogLine("Listening.");
  ASSERT_NE(endpoints, "");
  engine_.engine.SetFault(EngineFault::kStall, kStallPosition);
  CallerConnection open(DaemonProcess::FindEndpoint(endpoints, "callers"));
  open.Send(MakeChatRequest(kTokens, kKeyHeader));
  open.ReadUntilTokenCount(kStallPosition);
  // Operators repeat a request whose response they have lost.
  const Endpoint administration = DaemonProcess::FindEndpoint(endpoints, "administration");
  RequestDrain(administration);
  ASSERT_NE(process.WaitForLogLine("Draining."), "");
  RequestDrain(administration);
  process.WaitForSignalsTaken();
  process.SendSignal(SIGTERM);
  process.WaitForSignalsTaken();
  EndStream();
  EXPECT_TRUE(open.ReadAll());
  EXPECT_EQ(open.body(), expected_);
  EXPECT_EQ(process.WaitForExit(), 0);
  EXPECT_EQ(process.log().find(kInterruptLine), std::string::npos) << process.log();
}

// Guards against a third signal that starts the time of the second anew, and against a second
// signal that ends the process at once.
TEST_F(StopSignalTest, OnlyTheSecondSignalSetsTheTimeToInterruptRequests) {
  DaemonProcess process(MakeSettings());
  const std::string endpoints = process.WaitForLogLine("Listening.");
  ASSERT_NE(endpoints, "");
  engine_.engine.SetFault(EngineFault::kStall, kStallPosition);
  CallerConnection open(DaemonProcess::FindEndpoint(endpoints, "callers"));
  open.Send(MakeChatRequest(kTokens, kKeyHeader));
  open.ReadUntilTokenCount(kStallPosition);
  process.SendSignal(SIGTERM);
  ASSERT_NE(process.WaitForLogLine("Draining."), "");
  process.SendSignal(SIGTERM);
  ASSERT_NE(process.WaitForLogLine(kInterruptLine), "");
  process.SendSignal(SIGTERM);
  process.WaitForSignalsTaken();
  EndStream();
  EXPECT_TRUE(open.ReadAll());
  EXPECT_EQ(open.body(), expected_);
  EXPECT_EQ(process.WaitForExit(), 0);
  EXPECT_EQ(process.log().find(kInterruptLine), process.log().rfind(kInterruptLine))
      << process.log();
}

// Guards against a process that ends between the first and the last byte of a request, and against
// idle connections that end with the process only.
TEST_F(StopSignalTest, HalfReadRequestIsAnsweredAfterIdleConnectionsAreClosed) {
  DaemonProcess process(MakeSettings());
  const std::string endpoints = process.WaitForLogLine("Listening.");
  ASSERT_NE(endpoints, "");
  const Endpoint callers = DaemonProcess::FindEndpoint(endpoints, "callers");
  CallerConnection idle(callers);
  CallerConnection idle_operator(DaemonProcess::FindEndpoint(endpoints, "administration"));
  CallerConnection half_sent(callers);
  const std::string probe = MakePlainRequest("GET", "/readyz");
  const std::string request = MakeChatRequest(kTokens, kKeyHeader);
  idle.Send(probe);
  EXPECT_TRUE(idle.ReadAll());
  idle_operator.Send(MakePlainRequest("GET", "/metrics"));
  EXPECT_TRUE(idle_operator.ReadAll());
  // The server reads the first part of the second request with the first request.
  half_sent.Send(probe + request.substr(0, request.size() / 2));
  EXPECT_TRUE(half_sent.ReadAll());
  process.SendSignal(SIGTERM);
  idle.WaitForClose();
  idle_operator.WaitForClose();
  half_sent.StartNextResponse();
  half_sent.Send(request.substr(request.size() / 2));
  EXPECT_TRUE(half_sent.ReadAll());
  EXPECT_EQ(half_sent.status(), 503U);
  EXPECT_EQ(half_sent.Header("Savoryglade-Reason"), "draining");
  EXPECT_EQ(half_sent.Header("Savoryglade-Verdict"), "not_run");
  EXPECT_EQ(half_sent.Header("Connection"), "close");
  EXPECT_EQ(process.WaitForExit(), 0);
  EXPECT_EQ(engine_.engine.counts().submitted, 0U);
}

// Guards against a signal during start that is lost, or ends the process by itself.
TEST_F(StopSignalTest, SignalDuringStartEndsTheProcessInOrder) {
  DaemonProcess process(MakeSettings());
  process.SendSignal(SIGTERM);
  EXPECT_EQ(process.WaitForExit(), 0);
  EXPECT_NE(process.log().find("Stopped."), std::string::npos) << process.log();
}

// Guards against a stop that waits for a platform which was never reached.
TEST_F(StopSignalTest, SignalEndsTheProcessBeforeItIsReady) {
  // Nothing listens at the discard port.
  DaemonProcess process(
      R"({"daemon":"daemon-1","callers_address":"127.0.0.1:0",
          "administration_address":"127.0.0.1:0","peers_address":"127.0.0.1:0",
          "platform":{"kind":"http","address":"127.0.0.1:9"}})");
  ASSERT_NE(process.WaitForLogLine("Listening."), "");
  process.SendSignal(SIGTERM);
  EXPECT_EQ(process.WaitForExit(), 0);
  EXPECT_EQ(process.log().find("is ready"), std::string::npos) << process.log();
}

}  // namespace
}  // namespace savoryglade
