#include "recovery/claim_ledger.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "gtest/gtest.h"
#include "tests/recovery/claim_fakes.h"

namespace savoryglade {
namespace {

const ClaimKey kKey = TestClaimKey("k");

ClaimOwner OwnerA() { return {DaemonId("a"), 7, 1}; }
ClaimOwner OwnerB() { return {DaemonId("b"), 7, 2}; }

ClaimRequest Request(ClaimSubmissionId submission_id, const std::string& body = "body",
                     bool resend = false) {
  return {submission_id, kKey, ComputeSha256(body), resend};
}

Verdict GetVerdict(const ClaimActions& actions) {
  EXPECT_EQ(actions.outcomes.size(), 1U);
  return actions.outcomes.empty() ? Verdict{} : std::get<Verdict>(actions.outcomes.front().result);
}

// Two daemons, a and b. In the helpers, submission 1 is at daemon a and submission 2 at daemon b.
class ClaimLedgerTest : public ::testing::Test {
 protected:
  ClaimLedgerTest() : a_(OwnerA(), {}), b_(OwnerB(), {}) {}

  void HoldAtA() {
    const ClaimActions acquired = a_.Acquire(Request(1), now_);
    table_.Apply(acquired.writes);
    const ClaimActions held =
        a_.OnWriteResult(acquired.writes.front().id, TableStatus::kCommitted, now_);
    ASSERT_EQ(held.ready.size(), 1U);
  }

  void DispatchAtA() {
    HoldAtA();
    ClaimActions actions;
    ASSERT_TRUE(a_.BeginDispatch(1, now_, &actions));
  }

  // Sends the request to b. The insert of b conflicts, so b reads the row.
  ClaimActions ResendAtB(const std::string& body = "body") {
    const ClaimActions acquired = b_.Acquire(Request(2, body, true), now_);
    const ClaimActions conflict =
        b_.OnWriteResult(acquired.writes.front().id, TableStatus::kConflict, now_);
    return b_.OnReadResult(conflict.reads.front().id, TableStatus::kCommitted, table_.Read(kKey),
                           now_);
  }

  TimePoint now_{};
  FakeClaimTable table_;
  ClaimLedger a_;
  ClaimLedger b_;
};

// Guards against a dispatch before the claim is in the table.
TEST_F(ClaimLedgerTest, UnwrittenClaimIsNotDispatched) {
  a_.Acquire(Request(1), now_);
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(1, now_, &actions));
  EXPECT_TRUE(actions.outcomes.empty());
}

// Guards against a claim that stays blocked because the response to its successful insert was lost.
TEST_F(ClaimLedgerTest, LostInsertResponseIsResolvedByReading) {
  const ClaimActions acquired = a_.Acquire(Request(1), now_);
  table_.Apply(acquired.writes);
  now_ += 1s;
  const ClaimActions late = a_.Tick(now_);
  ASSERT_EQ(late.reads.size(), 1U);
  const ClaimActions read =
      a_.OnReadResult(late.reads.front().id, TableStatus::kCommitted, table_.Read(kKey), now_);
  EXPECT_EQ(read.ready.size(), 1U);
}

// Guards against treating the row as another daemon's claim when the first insert takes effect
// late.
TEST_F(ClaimLedgerTest, DelayedFirstInsertIsRecognisedAsOwnClaim) {
  const ClaimActions acquired = a_.Acquire(Request(1), now_);
  const ClaimActions unknown =
      a_.OnWriteResult(acquired.writes.front().id, TableStatus::kUnknown, now_);
  const ClaimActions again =
      a_.OnReadResult(unknown.reads.front().id, TableStatus::kCommitted, std::nullopt, now_);
  ASSERT_EQ(again.writes.size(), 1U);
  EXPECT_NE(again.writes.front().row->token, acquired.writes.front().row->token);
  table_.Apply(acquired.writes);
  const ClaimActions conflict =
      a_.OnWriteResult(again.writes.front().id, TableStatus::kConflict, now_);
  const ClaimActions read =
      a_.OnReadResult(conflict.reads.front().id, TableStatus::kCommitted, table_.Read(kKey), now_);
  EXPECT_EQ(read.ready.size(), 1U);
}

// Guards against a dispatch after kNotRun when the table was unreachable but had applied the
// insert.
TEST_F(ClaimLedgerTest, UnreachableTableVoidsClaimPermanently) {
  const ClaimActions acquired = a_.Acquire(Request(1), now_);
  table_.Apply(acquired.writes);
  const ClaimActions unknown =
      a_.OnWriteResult(acquired.writes.front().id, TableStatus::kUnknown, now_);
  const ClaimActions ended =
      a_.OnReadResult(unknown.reads.front().id, TableStatus::kUnavailable, std::nullopt, now_);
  EXPECT_EQ(GetVerdict(ended), (Verdict{RunState::kNotRun, Reason::kPlatformUnavailable, 5s}));
  EXPECT_TRUE(
      a_.OnWriteResult(acquired.writes.front().id, TableStatus::kCommitted, now_).ready.empty());
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(1, now_, &actions));
  // The release is retried until the table is available again.
  ASSERT_EQ(ended.writes.size(), 1U);
  a_.OnWriteResult(ended.writes.front().id, TableStatus::kUnavailable, now_);
  now_ += 2s;
  const ClaimActions later = a_.Tick(now_);
  ASSERT_EQ(later.writes.size(), 1U);
  EXPECT_TRUE(table_.Apply(later.writes).empty());
  EXPECT_EQ(table_.Read(kKey), std::nullopt);
  a_.OnWriteResult(later.writes.front().id, TableStatus::kCommitted, now_);
  EXPECT_EQ(a_.size(), 0U);
}

// Guards against a dispatch by a daemon that was paused past the dispatch deadline.
TEST_F(ClaimLedgerTest, PausedDaemonDoesNotDispatchAfterDeadline) {
  HoldAtA();
  now_ += 5s;
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(1, now_, &actions));
  EXPECT_EQ(GetVerdict(actions).run_state, RunState::kNotRun);
  table_.Apply(actions.writes);
  EXPECT_EQ(table_.Read(kKey), std::nullopt);
}

// Guards against two dispatches of one claim for two submissions that wait for it.
TEST_F(ClaimLedgerTest, TwoSubmissionsAtOneDaemonShareOneDispatch) {
  DispatchAtA();
  EXPECT_TRUE(a_.Acquire(Request(2), now_).outcomes.empty());
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(2, now_, &actions));
  EXPECT_EQ(a_.OnCompleted(1, 200, "answer", now_).outcomes.size(), 2U);
}

// Guards against a dispatch by the owner after it has allowed a takeover.
TEST_F(ClaimLedgerTest, OwnerThatAllowedTakeoverNeverDispatches) {
  HoldAtA();
  const ClaimActions queried = ResendAtB();
  ASSERT_EQ(queried.queries.size(), 1U);
  const ClaimActions granted = a_.OnQuery(queried.queries.front(), now_);
  EXPECT_EQ(granted.replies.front().kind, ClaimReplyKind::kVoid);
  EXPECT_EQ(GetVerdict(granted).run_state, RunState::kMayHaveRun);
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(1, now_, &actions));
  const ClaimActions takeover = b_.OnReply(granted.replies.front(), now_);
  ASSERT_EQ(takeover.writes.size(), 1U);
  EXPECT_TRUE(table_.Apply(takeover.writes).empty());
  EXPECT_EQ(
      b_.OnWriteResult(takeover.writes.front().id, TableStatus::kCommitted, now_).ready.size(), 1U);
  // A duplicate query gets the same reply.
  EXPECT_EQ(a_.OnQuery(queried.queries.front(), now_).replies.front().kind, ClaimReplyKind::kVoid);
}

// Guards against the takeover of a dispatched claim.
TEST_F(ClaimLedgerTest, OwnerThatDispatchedReturnsItsAnswer) {
  DispatchAtA();
  const ClaimActions queried = ResendAtB();
  const ClaimActions running = a_.OnQuery(queried.queries.front(), now_);
  EXPECT_EQ(running.replies.front().kind, ClaimReplyKind::kRunning);
  EXPECT_TRUE(b_.OnReply(running.replies.front(), now_).writes.empty());
  a_.OnCompleted(1, 200, "answer", now_);
  now_ += 500ms;
  const ClaimActions repeated_query = b_.Tick(now_);
  const ClaimActions done = a_.OnQuery(repeated_query.queries.front(), now_);
  const ClaimActions ended = b_.OnReply(done.replies.front(), now_);
  EXPECT_EQ(std::get<StoredAnswer>(ended.outcomes.front().result).body, "answer");
}

// Guards against kNotRun or a second run when the owner has restarted and its dispatch state is
// lost.
TEST_F(ClaimLedgerTest, RestartedOwnerGivesMayHaveRun) {
  DispatchAtA();
  const ClaimActions queried = ResendAtB();
  ClaimLedger restarted({DaemonId("a"), 7, 99}, {});
  const ClaimActions gone = restarted.OnQuery(queried.queries.front(), now_);
  EXPECT_EQ(gone.replies.front().kind, ClaimReplyKind::kOwnerGone);
  EXPECT_EQ(GetVerdict(b_.OnReply(gone.replies.front(), now_)),
            (Verdict{RunState::kMayHaveRun, Reason::kClaimedElsewhere}));
}

// Guards against an endless wait for an owner that the failure detector has declared dead or that
// does not reply.
TEST_F(ClaimLedgerTest, DeadOrSilentOwnerGivesMayHaveRun) {
  DispatchAtA();
  ResendAtB();
  EXPECT_EQ(GetVerdict(b_.OnDaemonDead(DaemonId("a"), now_)).run_state, RunState::kMayHaveRun);
  ResendAtB();
  now_ += 3s;
  const Verdict verdict = GetVerdict(b_.Tick(now_));
  EXPECT_EQ(verdict.run_state, RunState::kMayHaveRun);
  EXPECT_GT(verdict.retry_after, Duration::zero());
}

// Guards against a second run by a resend after the completion: the stored answer is returned.
TEST_F(ClaimLedgerTest, ResendGetsTheStoredAnswer) {
  DispatchAtA();
  const ClaimActions completed = a_.OnCompleted(1, 201, "answer", now_);
  table_.Apply(completed.writes);
  a_.OnWriteResult(completed.writes.front().id, TableStatus::kCommitted, now_);
  EXPECT_EQ(a_.size(), 0U);
  const ClaimActions replayed = ResendAtB();
  const auto answer = std::get<StoredAnswer>(replayed.outcomes.front().result);
  EXPECT_EQ(answer.status, 201);
  EXPECT_EQ(answer.body, "answer");
}

// Guards against a completion write that is not retried after its response was lost.
TEST_F(ClaimLedgerTest, CompletionWriteIsRetriedUntilCommitted) {
  DispatchAtA();
  const ClaimActions completed = a_.OnCompleted(1, 200, "answer", now_);
  EXPECT_EQ(completed.outcomes.size(), 1U);
  a_.OnWriteResult(completed.writes.front().id, TableStatus::kUnknown, now_);
  now_ += 2s;
  const ClaimActions again = a_.Tick(now_);
  ASSERT_EQ(again.writes.size(), 1U);
  EXPECT_TRUE(table_.Apply(again.writes).empty());
}

// Guards against rows larger than 16 KB: only status and digest are stored.
TEST_F(ClaimLedgerTest, LargeAnswerIsStoredAsDigest) {
  DispatchAtA();
  const std::string body(16 * 1024 + 1, 'x');
  const ClaimActions completed = a_.OnCompleted(1, 200, body, now_);
  const StoredAnswer stored = completed.writes.front().row->answer;
  EXPECT_FALSE(stored.has_body);
  EXPECT_TRUE(stored.body.empty());
  EXPECT_EQ(stored.digest, ComputeSha256(body));
}

// Guards against returning the answer of another request with the same key but a different body, at
// the owner and at other daemons.
TEST_F(ClaimLedgerTest, SameKeyWithAnotherBodyIsRefused) {
  DispatchAtA();
  const Verdict expected{RunState::kNotRun, Reason::kIdempotencyKeyReused};
  EXPECT_EQ(GetVerdict(a_.Acquire(Request(3, "other body"), now_)), expected);
  EXPECT_EQ(GetVerdict(ResendAtB("other body")), expected);
}

// Guards against kNotRun for a resend whose first submission may have run.
TEST_F(ClaimLedgerTest, ResendDuringAnOutageGetsMayHaveRun) {
  const ClaimActions acquired = b_.Acquire(Request(2, "body", true), now_);
  const ClaimActions ended =
      b_.OnWriteResult(acquired.writes.front().id, TableStatus::kUnavailable, now_);
  EXPECT_EQ(GetVerdict(ended).run_state, RunState::kMayHaveRun);
}

// Guards against reporting a lost upstream as kNotRun, and against a second dispatch after the
// loss.
TEST_F(ClaimLedgerTest, LostUpstreamGivesMayHaveRunAtAllDaemons) {
  DispatchAtA();
  const ClaimActions lost = a_.OnUpstreamLost(1, now_);
  EXPECT_EQ(GetVerdict(lost), (Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost}));
  table_.Apply(lost.writes);
  EXPECT_EQ(GetVerdict(ResendAtB()), (Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost}));
  EXPECT_TRUE(a_.OnReportedNotRun(1, now_).outcomes.empty());
}

// Guards against a key that stays blocked after the upstream reported that it did not run the
// request.
TEST_F(ClaimLedgerTest, ReportedNotRunReleasesTheRow) {
  DispatchAtA();
  const ClaimActions reported = a_.OnReportedNotRun(1, now_);
  EXPECT_EQ(GetVerdict(reported).run_state, RunState::kNotRun);
  table_.Apply(reported.writes);
  EXPECT_EQ(table_.Read(kKey), std::nullopt);
}

// Guards against a claim that is never dispatched because the submission that was ready was
// cancelled.
TEST_F(ClaimLedgerTest, CancelledSubmissionPassesClaimToNext) {
  HoldAtA();
  a_.Acquire(Request(2), now_);
  const ClaimActions cancelled = a_.Cancel(1, now_);
  ASSERT_EQ(cancelled.ready.size(), 1U);
  ClaimActions actions;
  EXPECT_TRUE(a_.BeginDispatch(cancelled.ready.front(), now_, &actions));
}

// Guards against kNotRun for a resend that its daemon could not dispatch, because the first
// submission may still be active.
TEST_F(ClaimLedgerTest, AbandonedResendGetsMayHaveRun) {
  const Verdict no_upstream{RunState::kNotRun, Reason::kNoUpstream, 1s};
  b_.Acquire(Request(2, "body", true), now_);
  EXPECT_EQ(GetVerdict(b_.GiveUp(2, no_upstream, now_)).run_state, RunState::kMayHaveRun);
  HoldAtA();
  const ClaimActions abandoned = a_.GiveUp(1, no_upstream, now_);
  EXPECT_EQ(GetVerdict(abandoned), no_upstream);
  table_.Apply(abandoned.writes);
  EXPECT_EQ(table_.Read(kKey), std::nullopt);
}

// Guards against kNotRun for one submission while another one at the same daemon continues with the
// claim.
TEST_F(ClaimLedgerTest, AbandonedSubmissionWithActiveSiblingGetsMayHaveRun) {
  HoldAtA();
  a_.Acquire(Request(2), now_);
  const ClaimActions abandoned = a_.GiveUp(2, {RunState::kNotRun, Reason::kDraining, 1s}, now_);
  EXPECT_EQ(GetVerdict(abandoned).run_state, RunState::kMayHaveRun);
}

// Guards against losing a dispatched request when its caller disconnects.
TEST_F(ClaimLedgerTest, DispatchedClaimCompletesAfterCallerDisconnects) {
  DispatchAtA();
  a_.Cancel(1, now_);
  EXPECT_EQ(a_.OnCompleted(1, 200, "answer", now_).writes.size(), 1U);
}

// Guards against unbounded memory use while releases and completions can't be written.
TEST_F(ClaimLedgerTest, LedgerRefusesClaimsBeyondLimit) {
  ClaimLedger small(OwnerA(), {.max_claims = 1});
  small.Acquire(Request(1), now_);
  ClaimRequest other = Request(2);
  other.key = TestClaimKey("other");
  EXPECT_EQ(GetVerdict(small.Acquire(other, now_)),
            (Verdict{RunState::kNotRun, Reason::kQueueFull, 1s}));
}

}  // namespace
}  // namespace savoryglade
