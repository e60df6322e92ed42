#include "recovery/crash_tracker.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

const Sha256Digest kCrasher = ComputeSha256("crasher");
const Sha256Digest kInnocent = ComputeSha256("innocent");
const UpstreamId kU1("u1");
const UpstreamId kU2("u2");
const DaemonId kA("a");
const DaemonId kB("b");

class CrashTrackerTest : public ::testing::Test {
 protected:
  void Die(const UpstreamId& upstream, const std::vector<Sha256Digest>& running,
           DeathCause cause = DeathCause::kUnknown) {
    for (const CrashMark& mark : tracker_.OnUpstreamDied(upstream, running, cause, now_)) {
      gossip_.push_back(mark);
    }
  }

  CrashTracker tracker_{{}};
  std::vector<CrashMark> gossip_;
  TimePoint now_{};
};

// Guards against a request that goes on crashing upstreams.
TEST_F(CrashTrackerTest, OneDeathIsolatesAndTwoRefuse) {
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRun);
  Die(kU1, {kCrasher, kInnocent});
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRunAlone);
  now_ += 2s;
  Die(kU2, {kCrasher});
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kWait);
  now_ += 10s;
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRefuse);
  EXPECT_EQ(tracker_.Decide(kInnocent, now_), CrashDecision::kRunAlone);
}

// Guards against a refusal for one death that several daemons report.
TEST_F(CrashTrackerTest, OneDeathReportedTwiceIsOneMark) {
  Die(kU1, {kCrasher});
  now_ += 1s;
  tracker_.OnMark({kCrasher, kU1, 500ms}, now_);
  tracker_.OnMark({kCrasher, kU1, 500ms}, now_);
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRunAlone);
}

// Guards against an upstream that restarts under its name and is crashed again without a second
// mark.
TEST_F(CrashTrackerTest, SecondDeathOfTheSameUpstreamCounts) {
  Die(kU1, {kCrasher});
  now_ += 20s;
  Die(kU1, {kCrasher});
  now_ += 10s;
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRefuse);
}

// Guards against a mark on requests that ran on a reclaimed upstream, with the reason known before
// the death.
TEST_F(CrashTrackerTest, AnnouncedReclaimMarksNobody) {
  tracker_.OnNotice(kU1, now_);
  now_ += 10s;
  Die(kU1, {kInnocent});
  Die(kU2, {kInnocent}, DeathCause::kReclaimed);
  EXPECT_TRUE(gossip_.empty());
  EXPECT_EQ(tracker_.Decide(kInnocent, now_), CrashDecision::kRun);
}

// Guards against a lasting mark when the VM turns out to be gone after the death, here and at other
// daemons, also if the mark arrives after its withdrawal.
TEST_F(CrashTrackerTest, LateExplanationTakesTheMarkBackEverywhere) {
  Die(kU1, {kInnocent});
  now_ += 8s;
  const auto withdrawn = tracker_.OnVmGone(kU1, now_);
  ASSERT_EQ(withdrawn.size(), 1U);
  EXPECT_EQ(tracker_.Decide(kInnocent, now_), CrashDecision::kRun);
  CrashTracker other({});
  other.OnMark({kInnocent, kU1, 8s}, now_);
  other.OnMark(withdrawn.front(), now_);
  EXPECT_EQ(other.Decide(kInnocent, now_), CrashDecision::kRun);
  tracker_.OnMark({kInnocent, kU1, 8s}, now_);
  EXPECT_EQ(tracker_.Decide(kInnocent, now_), CrashDecision::kRun);
}

// Guards against a later crash of a restarted upstream that is explained by an old notice.
TEST_F(CrashTrackerTest, OldNoticeExplainsNoLaterDeath) {
  tracker_.OnNotice(kU1, now_);
  now_ += 120s;
  Die(kU1, {kCrasher});
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRunAlone);
}

// Guards against the refusal of an innocent request whose isolated run loses its VM: the list of
// VMs has time to tell.
TEST_F(CrashTrackerTest, SecondDeathWaitsForTheListOfVms) {
  Die(kU1, {kCrasher, kInnocent});
  now_ += 2s;
  Die(kU2, {kInnocent});
  now_ += 8s;
  EXPECT_EQ(tracker_.Decide(kInnocent, now_), CrashDecision::kWait);
  tracker_.OnVmGone(kU2, now_);
  EXPECT_EQ(tracker_.Decide(kInnocent, now_), CrashDecision::kRunAlone);
}

// Guards against a crash that is forgotten because the VM of its upstream is lost much later.
TEST_F(CrashTrackerTest, LaterLossOfTheVmDoesNotExplainACrash) {
  Die(kU1, {kCrasher});
  now_ += 30s;
  tracker_.OnNotice(kU1, now_);
  tracker_.OnVmGone(kU1, now_);
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRunAlone);
}

// Guards against isolation for ever of an innocent request that happened to run beside the crashing
// one.
TEST_F(CrashTrackerTest, CompletedSuspectIsCleared) {
  Die(kU1, {kInnocent});
  EXPECT_EQ(tracker_.OnCompleted(kInnocent, now_).size(), 1U);
  EXPECT_EQ(tracker_.Decide(kInnocent, now_), CrashDecision::kRun);
}

// Guards against a copy that completes by chance and lifts the refusal of a request that crashed
// two upstreams.
TEST_F(CrashTrackerTest, RefusedBodyIsNotClearedByOneCompletion) {
  Die(kU1, {kCrasher});
  Die(kU2, {kCrasher});
  EXPECT_TRUE(tracker_.OnCompleted(kCrasher, now_).empty());
  now_ += 10s;
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRefuse);
}

// Guards against marks without end and against an old mark that gossip brings back.
TEST_F(CrashTrackerTest, MarksExpireAfterTenMinutes) {
  Die(kU1, {kCrasher});
  Die(kU2, {kCrasher});
  now_ += 600s;
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRun);
  tracker_.OnMark({kCrasher, kU1, 600s}, now_);
  EXPECT_EQ(tracker_.Decide(kCrasher, now_), CrashDecision::kRun);
}

// Guards against memory without bound, and against a flood of bodies that displaces the one to be
// refused.
TEST_F(CrashTrackerTest, MemoryIsBoundedAndKeepsTheRefused) {
  CrashTracker small({.max_digests = 8});
  small.OnUpstreamDied(kU1, {kCrasher}, DeathCause::kUnknown, now_);
  small.OnUpstreamDied(kU2, {kCrasher}, DeathCause::kUnknown, now_);
  for (int i = 0; i < 100; ++i) {
    now_ += 10ms;
    small.OnUpstreamDied(kU1, {ComputeSha256(std::to_string(i))}, DeathCause::kUnknown, now_);
  }
  EXPECT_EQ(small.size(), 8U);
  now_ += 10s;
  EXPECT_EQ(small.Decide(kCrasher, now_), CrashDecision::kRefuse);
}

// Guards against a suspect that runs beside other requests, and against isolation of the whole
// group.
TEST_F(CrashTrackerTest, IsolationReservesTheLeastUsedUpstream) {
  const std::vector<IsolationCandidate> candidates = {{kU1, 3}, {kU2, 1}};
  const auto isolation = tracker_.Isolate(kA, 2, candidates, now_);
  ASSERT_TRUE(isolation);
  EXPECT_EQ(*isolation, (Isolation{kU2, now_ + 1s}));
  EXPECT_TRUE(tracker_.IsIsolated(kU2, now_));
  EXPECT_FALSE(tracker_.Isolate(kA, 2, candidates, now_));
  tracker_.EndIsolation(kU2);
  EXPECT_TRUE(tracker_.Isolate(kA, 2, candidates, now_));
}

// Guards against two suspects on one upstream when two daemons reserve it at once, and against a
// reservation that outlives its daemon.
TEST_F(CrashTrackerTest, LowerDaemonKeepsAnUpstreamReservedTwice) {
  CrashTracker b({});
  tracker_.Isolate(kA, 10, {{kU1, 0}}, now_);
  b.Isolate(kB, 10, {{kU1, 0}}, now_);
  EXPECT_TRUE(b.OnIsolation({kU1, kA, true}, kB, now_));
  EXPECT_FALSE(tracker_.OnIsolation({kU1, kB, true}, kA, now_));
  // The end of the losing reservation does not end the other.
  tracker_.OnIsolation({kU1, kB, false}, kA, now_);
  EXPECT_TRUE(tracker_.IsIsolated(kU1, now_));
  EXPECT_FALSE(b.IsIsolated(kU1, now_ + 30s));
}

// Guards against "not run" for a request whose own attempt crashed an upstream.
TEST_F(CrashTrackerTest, RefusalAfterAnAttemptMayHaveRun) {
  EXPECT_EQ(CrashTracker::RefusalVerdict(true).run_state, RunState::kMayHaveRun);
  EXPECT_EQ(CrashTracker::RefusalVerdict(false),
            (Verdict{RunState::kNotRun, Reason::kRequestCrashesUpstreams}));
}

}  // namespace
}  // namespace savoryglade
