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

Verdict VerdictOf(const ClaimActions& actions) {
  EXPECT_EQ(actions.outcomes.size(), 1U);
  return actions.outcomes.empty() ? Verdict{} : std::get<Verdict>(actions.outcomes.front().result);
}

// Daemon a holds the claim of ticket 1.
class ClaimLedgerTest : public ::testing::Test {
 protected:
  ClaimLedgerTest() : a_(OwnerA(), {}), b_(OwnerB(), {}) {}

  void HoldAtA() {
    const ClaimActions begun = a_.Acquire(Request(1), now_);
    table_.Apply(begun.writes);
    const ClaimActions held =
        a_.OnWriteResult(begun.writes.front().id, TableStatus::kCommitted, now_);
    ASSERT_EQ(held.ready.size(), 1U);
  }

  void DispatchAtA() {
    HoldAtA();
    ClaimActions actions;
    ASSERT_TRUE(a_.BeginDispatch(1, now_, &actions));
  }

  // Sends the request to b, whose insert conflicts and which then reads the row.
  ClaimActions ResendAtB(const std::string& body = "body") {
    const ClaimActions begun = b_.Acquire(Request(2, body, true), now_);
    const ClaimActions conflict =
        b_.OnWriteResult(begun.writes.front().id, TableStatus::kConflict, now_);
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

// Guards against a lost insert response that blocks a claim which the table holds.
TEST_F(ClaimLedgerTest, LostInsertResponseIsResolvedByReading) {
  const ClaimActions begun = a_.Acquire(Request(1), now_);
  table_.Apply(begun.writes);
  now_ += 1s;
  const ClaimActions late = a_.Tick(now_);
  ASSERT_EQ(late.reads.size(), 1U);
  const ClaimActions read =
      a_.OnReadResult(late.reads.front().id, TableStatus::kCommitted, table_.Read(kKey), now_);
  EXPECT_EQ(read.ready.size(), 1U);
}

// Guards against a first insert that takes effect late and is then taken for another daemon's
// claim.
TEST_F(ClaimLedgerTest, DelayedFirstInsertIsRecognisedAsOurs) {
  const ClaimActions begun = a_.Acquire(Request(1), now_);
  const ClaimActions unknown =
      a_.OnWriteResult(begun.writes.front().id, TableStatus::kUnknown, now_);
  const ClaimActions again =
      a_.OnReadResult(unknown.reads.front().id, TableStatus::kCommitted, std::nullopt, now_);
  ASSERT_EQ(again.writes.size(), 1U);
  EXPECT_NE(again.writes.front().row->token, begun.writes.front().row->token);
  table_.Apply(begun.writes);
  const ClaimActions conflict =
      a_.OnWriteResult(again.writes.front().id, TableStatus::kConflict, now_);
  const ClaimActions read =
      a_.OnReadResult(conflict.reads.front().id, TableStatus::kCommitted, table_.Read(kKey), now_);
  EXPECT_EQ(read.ready.size(), 1U);
}

// Guards against a dispatch after "not run" when the table was out of reach but had taken the
// insert.
TEST_F(ClaimLedgerTest, UnreachableTableVoidsTheClaimForEver) {
  const ClaimActions begun = a_.Acquire(Request(1), now_);
  table_.Apply(begun.writes);
  const ClaimActions unknown =
      a_.OnWriteResult(begun.writes.front().id, TableStatus::kUnknown, now_);
  const ClaimActions ended =
      a_.OnReadResult(unknown.reads.front().id, TableStatus::kUnavailable, std::nullopt, now_);
  EXPECT_EQ(VerdictOf(ended), (Verdict{RunState::kNotRun, Reason::kPlatformUnavailable, 5s}));
  EXPECT_TRUE(
      a_.OnWriteResult(begun.writes.front().id, TableStatus::kCommitted, now_).ready.empty());
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(1, now_, &actions));
  // The release is repeated until the table is back.
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

// Guards against a daemon that was paused past the dispatch deadline and then dispatches.
TEST_F(ClaimLedgerTest, PausedDaemonGivesUpDirectlyBeforeTheFirstByte) {
  HoldAtA();
  now_ += 5s;
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(1, now_, &actions));
  EXPECT_EQ(VerdictOf(actions).run_state, RunState::kNotRun);
  table_.Apply(actions.writes);
  EXPECT_EQ(table_.Read(kKey), std::nullopt);
}

// Guards against two dispatches of one claim by two sendings that wait for it.
TEST_F(ClaimLedgerTest, TwoSendingsAtOneDaemonShareOneDispatch) {
  DispatchAtA();
  EXPECT_TRUE(a_.Acquire(Request(2), now_).outcomes.empty());
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(2, now_, &actions));
  EXPECT_EQ(a_.OnCompleted(1, 200, "answer", now_).outcomes.size(), 2U);
}

// Guards against a consent after which the owner dispatches all the same.
TEST_F(ClaimLedgerTest, OwnerThatConsentedNeverDispatches) {
  HoldAtA();
  const ClaimActions asked = ResendAtB();
  ASSERT_EQ(asked.queries.size(), 1U);
  const ClaimActions consent = a_.OnQuery(asked.queries.front(), now_);
  EXPECT_EQ(consent.replies.front().kind, ClaimReplyKind::kVoid);
  EXPECT_EQ(VerdictOf(consent).run_state, RunState::kMayHaveRun);
  ClaimActions actions;
  EXPECT_FALSE(a_.BeginDispatch(1, now_, &actions));
  const ClaimActions takeover = b_.OnReply(consent.replies.front(), now_);
  ASSERT_EQ(takeover.writes.size(), 1U);
  EXPECT_TRUE(table_.Apply(takeover.writes).empty());
  EXPECT_EQ(
      b_.OnWriteResult(takeover.writes.front().id, TableStatus::kCommitted, now_).ready.size(), 1U);
  // A second copy of the question changes nothing.
  EXPECT_EQ(a_.OnQuery(asked.queries.front(), now_).replies.front().kind, ClaimReplyKind::kVoid);
}

// Guards against a takeover of a dispatched claim.
TEST_F(ClaimLedgerTest, OwnerThatDispatchedPassesItsAnswerOn) {
  DispatchAtA();
  const ClaimActions asked = ResendAtB();
  const ClaimActions running = a_.OnQuery(asked.queries.front(), now_);
  EXPECT_EQ(running.replies.front().kind, ClaimReplyKind::kRunning);
  EXPECT_TRUE(b_.OnReply(running.replies.front(), now_).writes.empty());
  a_.OnCompleted(1, 200, "answer", now_);
  now_ += 500ms;
  const ClaimActions asked_again = b_.Tick(now_);
  const ClaimActions done = a_.OnQuery(asked_again.queries.front(), now_);
  const ClaimActions ended = b_.OnReply(done.replies.front(), now_);
  EXPECT_EQ(std::get<StoredAnswer>(ended.outcomes.front().result).body, "answer");
}

// Guards against "not run" or a second run when only the dead owner knew whether it had dispatched.
TEST_F(ClaimLedgerTest, RestartedOwnerGivesMayHaveRun) {
  DispatchAtA();
  const ClaimActions asked = ResendAtB();
  ClaimLedger restarted({DaemonId("a"), 7, 99}, {});
  const ClaimActions gone = restarted.OnQuery(asked.queries.front(), now_);
  EXPECT_EQ(gone.replies.front().kind, ClaimReplyKind::kOwnerGone);
  EXPECT_EQ(VerdictOf(b_.OnReply(gone.replies.front(), now_)),
            (Verdict{RunState::kMayHaveRun, Reason::kClaimedElsewhere}));
}

// Guards against a wait without end for an owner that the failure detector has declared dead or
// that is silent.
TEST_F(ClaimLedgerTest, DeadOrSilentOwnerGivesMayHaveRun) {
  DispatchAtA();
  ResendAtB();
  EXPECT_EQ(VerdictOf(b_.OnDaemonGone(DaemonId("a"), now_)).run_state, RunState::kMayHaveRun);
  ResendAtB();
  now_ += 3s;
  const Verdict verdict = VerdictOf(b_.Tick(now_));
  EXPECT_EQ(verdict.run_state, RunState::kMayHaveRun);
  EXPECT_GT(verdict.retry_after, Duration::zero());
}

// Guards against a second run by a resend after the completion: the stored answer is replayed.
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

// Guards against a completion write whose response is lost and that is never repeated.
TEST_F(ClaimLedgerTest, CompletionIsWrittenUntilTheTableConfirmsIt) {
  DispatchAtA();
  const ClaimActions completed = a_.OnCompleted(1, 200, "answer", now_);
  EXPECT_EQ(completed.outcomes.size(), 1U);
  a_.OnWriteResult(completed.writes.front().id, TableStatus::kUnknown, now_);
  now_ += 2s;
  const ClaimActions again = a_.Tick(now_);
  ASSERT_EQ(again.writes.size(), 1U);
  EXPECT_TRUE(table_.Apply(again.writes).empty());
}

// Guards against rows beyond 16 KB: status and digest remain.
TEST_F(ClaimLedgerTest, LargeAnswerIsStoredAsDigest) {
  DispatchAtA();
  const std::string body(16 * 1024 + 1, 'x');
  const ClaimActions completed = a_.OnCompleted(1, 200, body, now_);
  const StoredAnswer stored = completed.writes.front().row->answer;
  EXPECT_FALSE(stored.has_body);
  EXPECT_TRUE(stored.body.empty());
  EXPECT_EQ(stored.digest, ComputeSha256(body));
}

// Guards against the answer to one request for another body under the same key, at the owner and
// elsewhere.
TEST_F(ClaimLedgerTest, SameKeyWithAnotherBodyIsRefused) {
  DispatchAtA();
  const Verdict expected{RunState::kNotRun, Reason::kIdempotencyKeyReused};
  EXPECT_EQ(VerdictOf(a_.Acquire(Request(3, "other body"), now_)), expected);
  EXPECT_EQ(VerdictOf(ResendAtB("other body")), expected);
}

// Guards against "not run" for a resend whose first sending may have run.
TEST_F(ClaimLedgerTest, ResendDuringAnOutageGetsMayHaveRun) {
  const ClaimActions begun = b_.Acquire(Request(2, "body", true), now_);
  const ClaimActions ended =
      b_.OnWriteResult(begun.writes.front().id, TableStatus::kUnavailable, now_);
  EXPECT_EQ(VerdictOf(ended).run_state, RunState::kMayHaveRun);
}

// Guards against a lost upstream that is reported as "not run", and against a second dispatch after
// it.
TEST_F(ClaimLedgerTest, LostUpstreamGivesMayHaveRunEverywhere) {
  DispatchAtA();
  const ClaimActions lost = a_.OnUpstreamLost(1, now_);
  EXPECT_EQ(VerdictOf(lost), (Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost}));
  table_.Apply(lost.writes);
  EXPECT_EQ(VerdictOf(ResendAtB()), (Verdict{RunState::kMayHaveRun, Reason::kUpstreamLost}));
  EXPECT_TRUE(a_.OnReportedNotRun(1, now_).outcomes.empty());
}

// Guards against a key that stays blocked after the upstream stated that it did not run the
// request.
TEST_F(ClaimLedgerTest, StatedNotRunReleasesTheRow) {
  DispatchAtA();
  const ClaimActions stated = a_.OnReportedNotRun(1, now_);
  EXPECT_EQ(VerdictOf(stated).run_state, RunState::kNotRun);
  table_.Apply(stated.writes);
  EXPECT_EQ(table_.Read(kKey), std::nullopt);
}

// Guards against a claim that nobody dispatches because the sending that was ready has gone.
TEST_F(ClaimLedgerTest, CancelledSendingHandsTheClaimToTheNext) {
  HoldAtA();
  a_.Acquire(Request(2), now_);
  const ClaimActions cancelled = a_.Cancel(1, now_);
  ASSERT_EQ(cancelled.ready.size(), 1U);
  ClaimActions actions;
  EXPECT_TRUE(a_.BeginDispatch(cancelled.ready.front(), now_, &actions));
}

// Guards against "not run" for a resend that its daemon could not dispatch: the first sending may
// still be alive.
TEST_F(ClaimLedgerTest, ResendThatIsGivenUpGetsMayHaveRun) {
  const Verdict no_upstream{RunState::kNotRun, Reason::kNoUpstream, 1s};
  b_.Acquire(Request(2, "body", true), now_);
  EXPECT_EQ(VerdictOf(b_.GiveUp(2, no_upstream, now_)).run_state, RunState::kMayHaveRun);
  HoldAtA();
  const ClaimActions given_up = a_.GiveUp(1, no_upstream, now_);
  EXPECT_EQ(VerdictOf(given_up), no_upstream);
  table_.Apply(given_up.writes);
  EXPECT_EQ(table_.Read(kKey), std::nullopt);
}

// Guards against "not run" for one sending while another at the same daemon goes on with the claim.
TEST_F(ClaimLedgerTest, SendingThatIsGivenUpBesideAnotherGetsMayHaveRun) {
  HoldAtA();
  a_.Acquire(Request(2), now_);
  const ClaimActions given_up = a_.GiveUp(2, {RunState::kNotRun, Reason::kDraining, 1s}, now_);
  EXPECT_EQ(VerdictOf(given_up).run_state, RunState::kMayHaveRun);
}

// Guards against a dispatched request that is forgotten because its caller has gone.
TEST_F(ClaimLedgerTest, DispatchedClaimOutlivesItsCaller) {
  DispatchAtA();
  a_.Cancel(1, now_);
  EXPECT_EQ(a_.OnCompleted(1, 200, "answer", now_).writes.size(), 1U);
}

// Guards against memory without bound while releases and completions can't be written.
TEST_F(ClaimLedgerTest, LedgerRefusesBeyondItsBound) {
  ClaimLedger small(OwnerA(), {.max_claims = 1});
  small.Acquire(Request(1), now_);
  ClaimRequest other = Request(2);
  other.key = TestClaimKey("other");
  EXPECT_EQ(VerdictOf(small.Acquire(other, now_)),
            (Verdict{RunState::kNotRun, Reason::kQueueFull, 1s}));
}

}  // namespace
}  // namespace savoryglade
