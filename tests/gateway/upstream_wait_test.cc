#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "emulator/emulated_link.h"
#include "tests/gateway/signal_fixture.h"

namespace savoryglade::gateway {
namespace {

// Longer than a test.
constexpr int kWaitSeconds = 600;
constexpr int kAlways = 1'000'000;
// Rounds of requests that take longer than a full upstream is avoided.
constexpr int kManyRounds = 40;
const HttpHeaders kWait = {{"Retry-After", fmt::format("{}", kWaitSeconds)}};

// An upstream that rejects a request and says for how long it wants no others.
class UpstreamWaitTest : public SignalFixture {
 protected:
  void SendRequests(unsigned expected_status) {
    for (int i = 0; i < 20 * kManyRounds; ++i) {
      for (const char* path : {"/reads/1", "/orders/1", "/stream/1"}) {
        EXPECT_EQ(SendRequest("POST", path, NewAttempt()).status, expected_status) << path;
      }
    }
  }
};

// Guards against requests to an upstream that has said with a rejection that it wants none.
TEST_F(UpstreamWaitTest, UpstreamGetsNoRequestsForAsLongAsItSays) {
  Worker(0).SetSignals(kWait);
  Worker(0).SetFault(WorkerFault::kRejectNotExecuted, kAlways);
  SendUntilReceivedBy(Worker(0));
  const int arrivals = Worker(0).arrivals();
  SendRequests(200);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

// Guards against a wait that is ignored because the upstream does not say that it ran nothing.
TEST_F(UpstreamWaitTest, WaitHoldsWhetherOrNotTheRequestMayHaveRun) {
  Worker(0).SetSignals(kWait);
  Worker(0).SetFault(WorkerFault::kUnavailableAfterRun, kAlways);
  SendUntilReceivedBy(Worker(0));
  const int arrivals = Worker(0).arrivals();
  SendRequests(200);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

// Guards against requests that wait for their deadline although all upstreams want none, and
// against callers that are told to return too early.
TEST_F(UpstreamWaitTest, RequestIsRejectedAtOnceWhenAllUpstreamsWantNone) {
  for (const std::size_t worker : {0, 1}) {
    Worker(worker).SetSignals(kWait);
    Worker(worker).SetFault(WorkerFault::kRejectNotExecuted, kAlways);
    SendUntilReceivedBy(Worker(worker));
  }
  const int arrivals = Worker(0).arrivals() + Worker(1).arrivals();
  const Response response = SendRequest("POST", "/orders/1", "a1");
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(response.reason, "queue_full");
  constexpr double kSlackSeconds = 60;
  EXPECT_GT(std::strtod(response.retry_after.c_str(), nullptr), kWaitSeconds - kSlackSeconds);
  EXPECT_EQ(Worker(0).arrivals() + Worker(1).arrivals(), arrivals);
}

// Guards against a service that is not used again after the time has passed.
TEST_F(UpstreamWaitTest, UpstreamIsUsedAgainAfterTheTime) {
  for (const std::size_t worker : {0, 1}) {
    Worker(worker).SetSignals({{"Retry-After", "0.2"}});
    Worker(worker).SetFault(WorkerFault::kRejectNotExecuted, 1);
    SendUntilReceivedBy(Worker(worker));
    Worker(worker).SetSignals({});
  }
  for (int i = 0; SendRequest("GET", "/reads/1", fmt::format("r{}", i)).status != 200; ++i) {
  }
  SendUntilReceivedBy(Worker(0));
  SendUntilReceivedBy(Worker(1));
}

// Guards against an unreadable time that stops an upstream for good.
TEST_F(UpstreamWaitTest, UnreadableTimeIsIgnored) {
  Worker(0).SetSignals({{"Retry-After", "soon"}});
  Worker(0).SetFault(WorkerFault::kRejectNotExecuted, 1);
  SendUntilReceivedBy(Worker(0));
  SendUntilReceivedBy(Worker(0));
  EXPECT_NE(Metrics().find(R"(upstream_signals_total{signal="invalid"})"), std::string::npos);
}

// Guards against a daemon that relays a rejection and goes on to send requests itself.
TEST_F(UpstreamWaitTest, RelayingPeerIsBoundToo) {
  EmulatedLink link(workers_[0]->endpoint);
  const auto peer = StartBehindPeer(link);
  Worker(0).SetSignals(kWait);
  Worker(0).SetFault(WorkerFault::kRejectNotExecuted, kAlways);
  SendUntilReceivedBy(Worker(0));
  ExpectNothingSentBy(*peer);
}

// Guards against a peer that is not asked to relay to other upstreams because one of them wants no
// requests of it.
TEST_F(UpstreamWaitTest, PeerStillRelaysToOtherUpstreams) {
  gateway_.reset();
  EmulatedLink first(workers_[0]->endpoint);
  EmulatedLink second(workers_[1]->endpoint);
  RegisterUpstream(WorkerName(0), first.endpoint(), "ready");
  RegisterUpstream(WorkerName(1), second.endpoint(), "ready");
  const auto peer = MakeGateway("daemon-2", store_.endpoint, TestBounds(), kPeerAddress);
  WaitUntilReady(*peer);
  Worker(0).SetSignals(kWait);
  Worker(0).SetFault(WorkerFault::kRejectNotExecuted, kAlways);
  for (int i = 0; Worker(0).arrivals() == 0; ++i) {
    SendText(peer->callers_endpoint(), FormatRequest("GET", "/reads/1", fmt::format("p{}", i)));
  }
  const int arrivals = Worker(0).arrivals();
  gateway_ = MakeGateway("daemon-1", store_.endpoint, TestBounds(), kPartitionedAddress);
  WaitUntilReady();
  first.SetPartitioned({kPartitionedAddress}, true);
  second.SetPartitioned({kPartitionedAddress}, true);
  int served = 0;
  for (int i = 0; i < 40; ++i) {
    served += SendRequest("GET", "/reads/1", fmt::format("r{}", i)).status == 200 ? 1 : 0;
  }
  EXPECT_GE(served, 38);
  EXPECT_EQ(Worker(0).arrivals(), arrivals);
}

}  // namespace
}  // namespace savoryglade::gateway
