#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

#include "gateway/crash_record_store.h"
#include "tests/gateway/gateway_fixture.h"

namespace savoryglade::gateway {
namespace {

// Runs of requests with a part, each of which ends an upstream, after which no upstream may receive
// another one.
constexpr int kRunsBeforeRefusal = 5;
constexpr const char* kCrashingPart = "bad0";
constexpr const char* kSoundPart = "500d";

// Sends generation requests, no two alike, whose prompts share a first part and the account. One
// part of some prompts crashes every upstream.
class CrashingPartTest : public GatewayFixture {
 protected:
  CrashingPartTest() : GatewayFixture(8) {
    for (const auto& worker : workers_) {
      worker->service.CrashOnPromptPart(kCrashingPart);
    }
    PutRoutes(1);
    WaitUntilReady();
  }

  // Sends a request with this part between the shared first one and its own last one.
  Response SendWithPart(const std::string& part) {
    ++requests_;
    const std::string body = fmt::format("prompt {}", requests_);
    return SendText(gateway_->callers_endpoint(),
                    fmt::format("POST /stream/{0} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a{0}\r\n"
                                "Deadline-Ms: 2500\r\nAuthorization: Bearer {1}\r\nModel: m\r\n"
                                "Token-Counts: 1300,80\r\nPrefix-Hash: f1:800,{2}:300,{3:x}:200\r\n"
                                "Content-Length: {4}\r\n\r\n{5}",
                                requests_, kApiKey, part, 0x1000 + requests_, body.size(), body));
  }

  // Sends pairs of a sound request and one with the crashing part. Returns the reason of the last
  // response to the latter. Runs of sound requests are counted in sound_runs_.
  std::string SendPairs(int count) {
    std::string reason;
    for (int i = 0; i < count; ++i) {
      EXPECT_EQ(SendWithPart(kSoundPart).status, 200U);
      ++sound_runs_;
      reason = SendWithPart(kCrashingPart).reason;
    }
    return reason;
  }
  int CrashingRuns() const { return TotalRuns() - sound_runs_; }

  // Expects that sound requests are served after all engines have failed a series of them.
  void ExpectServedAfterAnOutage() {
    SetFaults(WorkerFault::kCloseAfterRun, 100);
    for (int i = 0; i < 12; ++i) {
      EXPECT_EQ(SendWithPart(kSoundPart).reason, "upstream_lost");
    }
    SetFaults(WorkerFault::kNone, 0);
    EXPECT_EQ(SendWithPart(kSoundPart).status, 200U);
  }

  // Waits until the store holds all losses of the crashing part.
  void WaitUntilStored() const {
    while (true) {
      for (const auto& [key, value] : store_.service.Rows("savoryglade-crashes")) {
        const Result<CrashRecord> record = DecodeCrashRow(key, value, Duration::zero());
        if (record && CrashSubjectOf(key) == CrashSubject::kPromptPart &&
            record->losses.size() == kRunsBeforeRefusal) {
          return;
        }
      }
    }
  }

 private:
  int requests_ = 0;
  int sound_runs_ = 0;
};

// Guards against requests of which no two are alike and that crash one upstream after the other.
TEST_F(CrashingPartTest, RequestsWithACrashingPartAreRefusedAfterFiveCrashes) {
  EXPECT_EQ(SendPairs(12), "request_crashes_upstreams");
  EXPECT_LE(CrashingRuns(), kRunsBeforeRefusal);
}

// Guards against a refusal that is forgotten when a daemon restarts.
TEST_F(CrashingPartTest, RestartedDaemonRefusesThePart) {
  SendPairs(12);
  WaitUntilStored();
  const int runs = CrashingRuns();
  StartGateway();
  WaitUntilReady();
  EXPECT_EQ(SendPairs(1), "request_crashes_upstreams");
  EXPECT_EQ(CrashingRuns(), runs);
}

// Guards against refusing prompts for the crashes of engines that fail all requests.
TEST_F(CrashingPartTest, FailureOfAllEnginesRefusesNoPart) { ExpectServedAfterAnOutage(); }

// Guards against refusing the parts that crashing and sound requests share, when engines also fail
// sound requests.
TEST_F(CrashingPartTest, AnsweredPartIsNotRefusedForLaterLosses) {
  EXPECT_EQ(SendWithPart(kSoundPart).status, 200U);
  ExpectServedAfterAnOutage();
}

// Guards against a second engine that ends because a suspected request is sent again.
TEST_F(CrashingPartTest, SuspectedRequestIsSentToOneUpstreamOnly) {
  SendPairs(1);
  EXPECT_EQ(CrashingRuns(), 2);
  SendPairs(1);
  EXPECT_EQ(CrashingRuns(), 3);
}

}  // namespace
}  // namespace savoryglade::gateway
