#include "recovery/stop_sequence.h"

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

constexpr TimePoint kStart{};

// Guards against an end that is decided while requests are still admitted, or while a request is in
// flight or a connection is open.
TEST(StopSequenceTest, EndsOnlyAfterAllRequestsAndConnectionsHaveEnded) {
  StopSequence sequence({.connections = 45s, .claims = 5s});
  EXPECT_EQ(sequence.Advance({}, kStart), StopPhase::kServing);
  EXPECT_TRUE(sequence.AdmitsRequests());
  EXPECT_TRUE(sequence.Begin());
  EXPECT_FALSE(sequence.AdmitsRequests());
  EXPECT_EQ(sequence.Advance({.requests_in_flight = 1}, kStart + 1h), StopPhase::kDraining);
  EXPECT_EQ(sequence.Advance({.open_connections = 1}, kStart + 1h), StopPhase::kClosing);
  EXPECT_EQ(sequence.Advance({.open_connections = 1}, kStart + 1h + 44s), StopPhase::kClosing);
  EXPECT_EQ(sequence.Advance({}, kStart + 1h + 44s), StopPhase::kGone);
  EXPECT_FALSE(sequence.AdmitsRequests());
}

// Guards against an end that skips the closing phase, in which the listeners are closed.
TEST(StopSequenceTest, IdleDaemonClosesBeforeItEnds) {
  StopSequence sequence({});
  sequence.Begin();
  EXPECT_EQ(sequence.Advance({}, kStart), StopPhase::kClosing);
  EXPECT_EQ(sequence.Advance({}, kStart), StopPhase::kGone);
}

// Guards against an end that loses the end of a claim, and against a daemon that never ends while
// the table is unavailable.
TEST(StopSequenceTest, WaitsForUnwrittenClaimsUpToTheLimit) {
  StopSequence sequence({.connections = 45s, .claims = 5s});
  sequence.Begin();
  sequence.Advance({.unwritten_claims = 1}, kStart);
  EXPECT_EQ(sequence.Advance({.unwritten_claims = 1}, kStart + 4999ms), StopPhase::kClosing);
  EXPECT_EQ(sequence.Advance({.open_connections = 1, .unwritten_claims = 1}, kStart + 5s),
            StopPhase::kClosing);
  EXPECT_EQ(sequence.Advance({.unwritten_claims = 1}, kStart + 5s), StopPhase::kGone);
}

// Guards against a peer that holds a connection open and with it the process.
TEST(StopSequenceTest, WaitsForOpenConnectionsUpToTheLimit) {
  StopSequence sequence({.connections = 45s, .claims = 5s});
  sequence.Begin();
  sequence.Advance({.open_connections = 1}, kStart);
  EXPECT_EQ(sequence.Advance({.open_connections = 1}, kStart + 45s), StopPhase::kGone);
}

// Guards against a second stop order that sets the phase back.
TEST(StopSequenceTest, StopThatHasBegunDoesNotBeginAgain) {
  StopSequence sequence({});
  EXPECT_TRUE(sequence.Begin());
  EXPECT_FALSE(sequence.Begin());
  sequence.Advance({}, kStart);
  EXPECT_FALSE(sequence.Begin());
  EXPECT_EQ(sequence.phase(), StopPhase::kClosing);
  sequence.Advance({}, kStart);
  EXPECT_FALSE(sequence.Begin());
  EXPECT_EQ(sequence.phase(), StopPhase::kGone);
}

}  // namespace
}  // namespace savoryglade
