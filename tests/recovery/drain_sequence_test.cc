#include "recovery/drain_sequence.h"

#include <gtest/gtest.h>

namespace savoryglade {
namespace {

constexpr TimePoint kStart{100s};
constexpr OpenWork kNone{};
constexpr OpenWork kIdleConnections{.requests = 0, .connections = 3};
constexpr OpenWork kBusy{.requests = 5, .connections = 8};

class DrainSequenceTest : public testing::Test {
 protected:
  DrainSequenceTest() { drain_.Begin(kStart); }

  DrainSequence drain_{DrainOptions{.grace_period = 8s}};
};

// Guards against accepting a stream on a keep-alive connection five seconds after the stop order,
// which is then cut off at the end of the grace period.
TEST_F(DrainSequenceTest, RefusesStreamThatMayBeCutOff) {
  EXPECT_TRUE(drain_.Accepts(CallKind::kStream, 15s, kStart + 2900ms));
  EXPECT_FALSE(drain_.Accepts(CallKind::kStream, 15s, kStart + 3s));
  EXPECT_FALSE(drain_.Accepts(CallKind::kStream, 15s, kStart + 5s));
}

// Guards against a stream that is accepted more than the load balancer's delay after the stop
// order, because the daemon noticed the order late.
TEST_F(DrainSequenceTest, RefusesStreamAtTheEndOfTheLoadBalancersDelay) {
  EXPECT_TRUE(drain_.Accepts(CallKind::kStream, 15s, kStart + 2949ms));
  EXPECT_FALSE(drain_.Accepts(CallKind::kStream, 15s, kStart + 2951ms));
}

TEST_F(DrainSequenceTest, AcceptsShortCallsUntilTheyCouldBeCutOff) {
  EXPECT_TRUE(drain_.Accepts(CallKind::kAtMostOnce, 2500ms, kStart + 3900ms));
  EXPECT_FALSE(drain_.Accepts(CallKind::kAtMostOnce, 2500ms, kStart + 4s));
  EXPECT_FALSE(drain_.Accepts(CallKind::kIdempotent, 2500ms, kStart + 4s));
}

// Guards against calls whose timeout ends after the time of requests in flight.
TEST_F(DrainSequenceTest, RefusesCallWhoseTimeoutEndsTooLate) {
  EXPECT_TRUE(drain_.Accepts(CallKind::kAtMostOnce, 4s, kStart + 3300ms));
  EXPECT_FALSE(drain_.Accepts(CallKind::kAtMostOnce, 4s, kStart + 3400ms));
}

// Guards against requests that are accepted late in a short grace period and cut off at its end. A
// model of all moments, for grace periods that are shorter and longer than the load balancer's
// delay.
TEST(DrainModelTest, RequestsThatAreAcceptedLateEndBeforeTheInterruption) {
  for (Duration grace = 1s; grace <= 30s; grace += 500ms) {
    const DrainOptions options{.grace_period = grace};
    DrainSequence drain(options);
    drain.Begin(kStart);
    const Duration interrupted_at =
        FromSeconds(ToSeconds(grace) * options.in_flight_grace_fraction);
    for (Duration elapsed = 0s; elapsed < grace; elapsed += 50ms) {
      drain.Advance(kBusy, kStart + elapsed);
      for (const CallKind kind :
           {CallKind::kIdempotent, CallKind::kAtMostOnce, CallKind::kStream}) {
        for (const Duration timeout :
             {Duration(100ms), Duration(1s), Duration(4s), Duration(60s)}) {
          const bool is_late = elapsed >= grace / 2 || elapsed >= options.load_balancer_delay;
          if (drain.Accepts(kind, timeout, kStart + elapsed) && is_late) {
            EXPECT_LE(elapsed + timeout, interrupted_at) << ToSeconds(grace);
          }
        }
      }
    }
  }
}

// Guards against two decisions on the same moment: one to exit, one to accept a request.
TEST_F(DrainSequenceTest, AcceptsNothingOnceItCloses) {
  EXPECT_TRUE(drain_.Accepts(CallKind::kIdempotent, 1s, kStart + 3s));
  EXPECT_EQ(drain_.Advance(kIdleConnections, kStart + 3s), DrainStage::kClosing);
  EXPECT_FALSE(drain_.Accepts(CallKind::kIdempotent, 1s, kStart + 3s));
  EXPECT_FALSE(drain_.Accepts(CallKind::kIdempotent, 1s, kStart + 2s));
}

TEST_F(DrainSequenceTest, ClosesWhenLoadBalancerHasNoticedAndNothingIsInFlight) {
  EXPECT_EQ(drain_.Advance(kIdleConnections, kStart + 1s), DrainStage::kDraining);
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 3s), DrainStage::kDraining);
  EXPECT_EQ(drain_.Advance(kNone, kStart + 3s), DrainStage::kClosing);
}

TEST_F(DrainSequenceTest, FinishesWhenNoConnectionIsLeft) {
  EXPECT_EQ(drain_.Advance(kIdleConnections, kStart + 3s), DrainStage::kClosing);
  EXPECT_EQ(drain_.Advance(kIdleConnections, kStart + 4s), DrainStage::kClosing);
  EXPECT_EQ(drain_.Advance(kNone, kStart + 4s), DrainStage::kFinished);
}

TEST_F(DrainSequenceTest, InterruptsRequestsAndFinishesBeforeProcessIsKilled) {
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 7300ms), DrainStage::kDraining);
  EXPECT_FALSE(drain_.interrupted());
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 7400ms), DrainStage::kClosing);
  EXPECT_TRUE(drain_.interrupted());
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 7700ms), DrainStage::kClosing);
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 7800ms), DrainStage::kFinished);
}

// Guards against a process that exits before interrupted requests have their responses.
TEST_F(DrainSequenceTest, DoesNotFinishInTheStepThatInterruptsRequests) {
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 7900ms), DrainStage::kClosing);
  EXPECT_TRUE(drain_.interrupted());
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 7950ms), DrainStage::kFinished);
}

// A request that was half read when the daemon began to close is in progress while it is refused.
TEST_F(DrainSequenceTest, InterruptsRequestThatIsInFlightWhileItCloses) {
  EXPECT_EQ(drain_.Advance(kNone, kStart + 3s), DrainStage::kClosing);
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 4s), DrainStage::kClosing);
  EXPECT_FALSE(drain_.interrupted());
  EXPECT_EQ(drain_.Advance(kBusy, kStart + 7400ms), DrainStage::kClosing);
  EXPECT_TRUE(drain_.interrupted());
}

// Guards against a daemon that closes or exits under a connection that it relays for a peer.
TEST_F(DrainSequenceTest, WaitsForTunnelsAsForRequests) {
  constexpr OpenWork kTunnel{.tunnels = 1};
  EXPECT_EQ(drain_.Advance(kTunnel, kStart + 7300ms), DrainStage::kDraining);
  EXPECT_EQ(drain_.Advance(kTunnel, kStart + 7400ms), DrainStage::kClosing);
  EXPECT_TRUE(drain_.interrupted());
}

// Guards against a process that exits while some kind of work is left, such as a document on its
// way to a peer, or an answer that its caller has not acknowledged.
TEST(OpenWorkTest, EachKindOfWorkDelaysTheExitUntilItsLimit) {
  for (const OpenWork& work :
       {OpenWork{.reading = 1}, OpenWork{.tunnels = 1}, OpenWork{.transfers = 1},
        OpenWork{.undelivered = 1}, OpenWork{.connections = 1}}) {
    DrainSequence drain(DrainOptions{.grace_period = 8s});
    drain.Begin(kStart);
    EXPECT_EQ(drain.Advance(kNone, kStart + 3s), DrainStage::kClosing);
    EXPECT_EQ(drain.Advance(work, kStart + 4s), DrainStage::kClosing);
    EXPECT_EQ(drain.Advance(work, kStart + 7700ms), DrainStage::kClosing);
    EXPECT_EQ(drain.Advance(work, kStart + 7800ms), DrainStage::kFinished);
  }
}

// Guards against a second stop order that starts the grace period anew.
TEST_F(DrainSequenceTest, SecondStopOrderChangesNothing) {
  drain_.Begin(kStart + 3s);
  EXPECT_EQ(drain_.Advance(kNone, kStart + 3s), DrainStage::kClosing);
}

TEST(IdleDrainSequenceTest, AcceptsEverythingUntilItBegins) {
  DrainSequence drain(DrainOptions{.grace_period = 8s});
  EXPECT_EQ(drain.Advance(kNone, kStart + 100s), DrainStage::kServing);
  EXPECT_TRUE(drain.Accepts(CallKind::kStream, 15s, kStart + 100s));
}

}  // namespace
}  // namespace savoryglade
