#include "recovery/crash_tracker.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

const Sha256Digest kCrashingBody = ComputeSha256("crasher");
const Sha256Digest kHarmlessBody = ComputeSha256("innocent");
const UpstreamId kU1("u1");
const UpstreamId kU2("u2");
const DaemonId kA("a");
const DaemonId kB("b");

class CrashTrackerTest : public ::testing::Test {
 protected:
  void FailUpstream(const UpstreamId& upstream, const std::vector<Sha256Digest>& running,
                    FailureCause cause = FailureCause::kUnknown) {
    for (const CrashMark& mark : tracker_.OnUpstreamFailed(upstream, running, cause, now_)) {
      gossip_.push_back(mark);
    }
  }

  CrashTracker tracker_{{}};
  std::vector<CrashMark> gossip_;
  TimePoint now_{};
};

// Guards against a request that keeps crashing upstreams.
TEST_F(CrashTrackerTest, OneFailureIsolatesAndTwoRefuse) {
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRun);
  FailUpstream(kU1, {kCrashingBody, kHarmlessBody});
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRunIsolated);
  now_ += 2s;
  FailUpstream(kU2, {kCrashingBody});
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kWait);
  now_ += 10s;
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRefuse);
  EXPECT_EQ(tracker_.Decide(kHarmlessBody, now_), CrashDecision::kRunIsolated);
}

// Guards against a refusal because several daemons report the same failure.
TEST_F(CrashTrackerTest, FailureReportedTwiceIsOneMark) {
  FailUpstream(kU1, {kCrashingBody});
  now_ += 1s;
  tracker_.OnMark({kCrashingBody, kU1, 500ms}, now_);
  tracker_.OnMark({kCrashingBody, kU1, 500ms}, now_);
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRunIsolated);
}

// Guards against ignoring a second crash of an upstream that has restarted under the same name.
TEST_F(CrashTrackerTest, SecondFailureOfSameUpstreamCounts) {
  FailUpstream(kU1, {kCrashingBody});
  now_ += 20s;
  FailUpstream(kU1, {kCrashingBody});
  now_ += 10s;
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRefuse);
}

// Guards against marking requests on a reclaimed upstream when the reason was known before the
// failure.
TEST_F(CrashTrackerTest, AnnouncedReclaimMarksNoBodies) {
  tracker_.OnNotice(kU1, now_);
  now_ += 10s;
  FailUpstream(kU1, {kHarmlessBody});
  FailUpstream(kU2, {kHarmlessBody}, FailureCause::kReclaimed);
  EXPECT_TRUE(gossip_.empty());
  EXPECT_EQ(tracker_.Decide(kHarmlessBody, now_), CrashDecision::kRun);
}

// Guards against a mark that remains although the VM list later shows that the VM is gone, at this
// daemon and at others, even if the mark arrives after its withdrawal.
TEST_F(CrashTrackerTest, LateKnownCauseWithdrawsMarkAtAllDaemons) {
  FailUpstream(kU1, {kHarmlessBody});
  now_ += 8s;
  const auto withdrawn = tracker_.OnVmGone(kU1, now_);
  ASSERT_EQ(withdrawn.size(), 1U);
  EXPECT_EQ(tracker_.Decide(kHarmlessBody, now_), CrashDecision::kRun);
  CrashTracker other({});
  other.OnMark({kHarmlessBody, kU1, 8s}, now_);
  other.OnMark(withdrawn.front(), now_);
  EXPECT_EQ(other.Decide(kHarmlessBody, now_), CrashDecision::kRun);
  tracker_.OnMark({kHarmlessBody, kU1, 8s}, now_);
  EXPECT_EQ(tracker_.Decide(kHarmlessBody, now_), CrashDecision::kRun);
}

// Guards against attributing a later crash of a restarted upstream to an old notice.
TEST_F(CrashTrackerTest, OldNoticeDoesNotAccountForLaterFailure) {
  tracker_.OnNotice(kU1, now_);
  now_ += 120s;
  FailUpstream(kU1, {kCrashingBody});
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRunIsolated);
}

// Guards against refusing a harmless request whose isolated run lost its VM: the refusal waits for
// the VM list.
TEST_F(CrashTrackerTest, SecondFailureWaitsForVmList) {
  FailUpstream(kU1, {kCrashingBody, kHarmlessBody});
  now_ += 2s;
  FailUpstream(kU2, {kHarmlessBody});
  now_ += 8s;
  EXPECT_EQ(tracker_.Decide(kHarmlessBody, now_), CrashDecision::kWait);
  tracker_.OnVmGone(kU2, now_);
  EXPECT_EQ(tracker_.Decide(kHarmlessBody, now_), CrashDecision::kRunIsolated);
}

// Guards against dropping a mark because the VM of the upstream is lost much later.
TEST_F(CrashTrackerTest, LaterLossOfVmDoesNotAccountForCrash) {
  FailUpstream(kU1, {kCrashingBody});
  now_ += 30s;
  tracker_.OnNotice(kU1, now_);
  tracker_.OnVmGone(kU1, now_);
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRunIsolated);
}

// Guards against permanent isolation of a harmless request that was running beside the crashing
// one.
TEST_F(CrashTrackerTest, CompletedSuspectIsCleared) {
  FailUpstream(kU1, {kHarmlessBody});
  EXPECT_EQ(tracker_.OnCompleted(kHarmlessBody, now_).size(), 1U);
  EXPECT_EQ(tracker_.Decide(kHarmlessBody, now_), CrashDecision::kRun);
}

// Guards against lifting the refusal of a request that crashed two upstreams because one copy of it
// completes by chance.
TEST_F(CrashTrackerTest, RefusedBodyIsNotClearedByOneCompletion) {
  FailUpstream(kU1, {kCrashingBody});
  FailUpstream(kU2, {kCrashingBody});
  EXPECT_TRUE(tracker_.OnCompleted(kCrashingBody, now_).empty());
  now_ += 10s;
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRefuse);
}

// Guards against marks that never expire, and against an expired mark that gossip restores.
TEST_F(CrashTrackerTest, MarksExpireAfterTenMinutes) {
  FailUpstream(kU1, {kCrashingBody});
  FailUpstream(kU2, {kCrashingBody});
  now_ += 600s;
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRun);
  tracker_.OnMark({kCrashingBody, kU1, 600s}, now_);
  EXPECT_EQ(tracker_.Decide(kCrashingBody, now_), CrashDecision::kRun);
}

// Guards against unbounded memory use, and against a flood of bodies that evicts the body to be
// refused.
TEST_F(CrashTrackerTest, MemoryIsBoundedAndKeepsRefusedBody) {
  CrashTracker small({.max_digests = 8});
  small.OnUpstreamFailed(kU1, {kCrashingBody}, FailureCause::kUnknown, now_);
  small.OnUpstreamFailed(kU2, {kCrashingBody}, FailureCause::kUnknown, now_);
  for (int i = 0; i < 100; ++i) {
    now_ += 10ms;
    small.OnUpstreamFailed(kU1, {ComputeSha256(std::to_string(i))}, FailureCause::kUnknown, now_);
  }
  EXPECT_EQ(small.size(), 8U);
  now_ += 10s;
  EXPECT_EQ(small.Decide(kCrashingBody, now_), CrashDecision::kRefuse);
}

// Guards against a suspect that runs beside other requests, and against isolating the whole group
// of upstreams.
TEST_F(CrashTrackerTest, IsolationReservesLeastLoadedUpstream) {
  const std::vector<IsolationCandidate> candidates = {{kU1, 3}, {kU2, 1}};
  const auto isolation = tracker_.Isolate(kA, 2, candidates, now_);
  ASSERT_TRUE(isolation);
  EXPECT_EQ(*isolation, (Isolation{kU2, now_ + 1s}));
  EXPECT_TRUE(tracker_.IsIsolated(kU2, now_));
  EXPECT_FALSE(tracker_.Isolate(kA, 2, candidates, now_));
  tracker_.EndIsolation(kU2);
  EXPECT_TRUE(tracker_.Isolate(kA, 2, candidates, now_));
}

// Guards against two suspects on one upstream when two daemons reserve it at the same time, and
// against a reservation that outlives its daemon.
TEST_F(CrashTrackerTest, DaemonWithLowerNameKeepsUpstreamReservedTwice) {
  CrashTracker b({});
  tracker_.Isolate(kA, 10, {{kU1, 0}}, now_);
  b.Isolate(kB, 10, {{kU1, 0}}, now_);
  EXPECT_TRUE(b.OnIsolation({kU1, kA, true}, kB, now_));
  EXPECT_FALSE(tracker_.OnIsolation({kU1, kB, true}, kA, now_));
  // Ending the losing reservation does not end the other one.
  tracker_.OnIsolation({kU1, kB, false}, kA, now_);
  EXPECT_TRUE(tracker_.IsIsolated(kU1, now_));
  EXPECT_FALSE(b.IsIsolated(kU1, now_ + 30s));
}

// Guards against kNotRun for a request whose own attempt crashed an upstream.
TEST_F(CrashTrackerTest, RefusalAfterAnAttemptMayHaveRun) {
  EXPECT_EQ(CrashTracker::RefusalVerdict(true).run_state, RunState::kMayHaveRun);
  EXPECT_EQ(CrashTracker::RefusalVerdict(false),
            (Verdict{RunState::kNotRun, Reason::kRequestCrashesUpstreams}));
}

}  // namespace
}  // namespace savoryglade
