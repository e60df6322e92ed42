#include "daemon/claim_service.h"

#include <boost/asio.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "daemon/claim_row_codec.h"
#include "gtest/gtest.h"
#include "net/worker_pool.h"
#include "provider/memory_platform.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

ClaimSubmission MakeSubmission(const std::string& body = "{}") {
  return {.identity = {AccountId("office"), ServiceId("orders"), "delivery-1"},
          .body = ComputeSha256(body)};
}

// A claim service of one daemon with its own context on a shared table.
class ClaimServiceHost {
 public:
  ClaimServiceHost(const std::string& name, provider::Table& table, Duration commit_interval = 1ms)
      : service_(pool_.context(0), table,
                 {.owner = {.daemon = DaemonId(name), .incarnation = 1, .nonce = 1},
                  .committer = {.interval = commit_interval}},
                 metrics_) {
    service_.Start();
  }
  ~ClaimServiceHost() { pool_.Stop(); }

  ClaimResult Claim(const ClaimSubmission& submission) {
    return asio::co_spawn(pool_.context(0),
                          service_.Claim(submission, std::chrono::steady_clock::now()),
                          asio::use_future)
        .get();
  }
  bool BeginDispatch(ClaimSubmissionId submission_id) {
    return service_.BeginDispatch(submission_id, std::chrono::steady_clock::now());
  }
  ClaimService& service() { return service_; }

 private:
  MetricRegistry metrics_;
  WorkerPool pool_{1};
  ClaimService service_;
};

// Connects two claim services without a network. The services post their outgoing messages, so
// replies arrive later as over a network.
void ConnectPeers(ClaimServiceHost& a, ClaimServiceHost& b) {
  a.service().SetPeerTransport(
      {.send_query =
           [&b](const ClaimQuery& query) {
             b.service().OnQuery(query);
             return true;
           },
       .send_reply = [&b](const ClaimReply& reply) { b.service().OnReply(reply); }});
  b.service().SetPeerTransport(
      {.send_query =
           [&a](const ClaimQuery& query) {
             a.service().OnQuery(query);
             return true;
           },
       .send_reply = [&a](const ClaimReply& reply) { a.service().OnReply(reply); }});
}

// Guards against a request that runs a second time when its caller resends it to another daemon.
TEST(ClaimServiceTest, ResendAtAnotherDaemonReturnsStoredResponse) {
  provider::MemoryPlatform table;
  ClaimServiceHost first("brescia-1", table);
  ClaimServiceHost second("verona-1", table);
  ConnectPeers(first, second);
  const ClaimResult granted = first.Claim(MakeSubmission());
  ASSERT_EQ(granted.kind, ClaimResult::Kind::kGranted);
  ASSERT_TRUE(first.BeginDispatch(granted.submission_id));
  first.service().Complete(granted.submission_id,
                           {.status = 201, .content_type = "text/plain", .body = "done"});
  const ClaimResult resend = second.Claim(MakeSubmission());
  ASSERT_EQ(resend.kind, ClaimResult::Kind::kDone);
  EXPECT_EQ(resend.response.status, 201U);
  EXPECT_EQ(resend.response.content_type, "text/plain");
  EXPECT_EQ(resend.response.body, "done");
}

// Guards against a "not run" verdict for a request whose dispatching daemon died.
TEST(ClaimServiceTest, ResendAfterOwnerDeathMayHaveRun) {
  provider::MemoryPlatform table;
  ClaimServiceHost first("brescia-1", table);
  ClaimServiceHost second("verona-1", table);
  const ClaimResult granted = first.Claim(MakeSubmission());
  ASSERT_EQ(granted.kind, ClaimResult::Kind::kGranted);
  ASSERT_TRUE(first.BeginDispatch(granted.submission_id));
  // The failure detector declares the owner dead.
  second.service().SetPeerTransport({.send_query = [&second](const ClaimQuery&) {
    second.service().OnDaemonDead(DaemonId("brescia-1"));
    return false;
  }});
  const ClaimResult resend = second.Claim(MakeSubmission());
  ASSERT_EQ(resend.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(resend.verdict.run_state, RunState::kMayHaveRun);
}

// Guards against rejecting a resent request that no daemon runs. The owner releases a claim that it
// has not dispatched.
TEST(ClaimServiceTest, UndispatchedClaimIsTakenOverWithOwnersConsent) {
  provider::MemoryPlatform table;
  ClaimServiceHost first("brescia-1", table);
  ClaimServiceHost second("verona-1", table);
  ConnectPeers(first, second);
  const ClaimResult granted = first.Claim(MakeSubmission());
  ASSERT_EQ(granted.kind, ClaimResult::Kind::kGranted);
  const ClaimResult taken_over = second.Claim(MakeSubmission());
  ASSERT_EQ(taken_over.kind, ClaimResult::Kind::kGranted);
  EXPECT_FALSE(first.BeginDispatch(granted.submission_id));
  EXPECT_TRUE(second.BeginDispatch(taken_over.submission_id));
}

// Guards against a dispatch while the claim can't be stored durably.
TEST(ClaimServiceTest, RequestDuringOutageIsRejectedAsNotRun) {
  provider::MemoryPlatform table;
  table.SetFaults({.outage = true});
  ClaimServiceHost host("brescia-1", table);
  const ClaimResult result = host.Claim(MakeSubmission());
  ASSERT_EQ(result.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(result.verdict.run_state, RunState::kNotRun);
  EXPECT_EQ(result.verdict.reason, Reason::kPlatformUnavailable);
  EXPECT_GT(result.verdict.retry_after, Duration::zero());
}

// Guards against returning the response of the first request when its key is reused for another
// one.
TEST(ClaimServiceTest, DifferentBodyUnderSameKeyIsRejected) {
  provider::MemoryPlatform table;
  ClaimServiceHost first("brescia-1", table);
  ClaimServiceHost second("verona-1", table);
  ConnectPeers(first, second);
  const ClaimResult granted = first.Claim(MakeSubmission());
  ASSERT_TRUE(first.BeginDispatch(granted.submission_id));
  first.service().Complete(granted.submission_id, {.status = 200, .body = "done"});
  const ClaimResult other = second.Claim(MakeSubmission("{\"other\": true}"));
  ASSERT_EQ(other.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(other.verdict.reason, Reason::kIdempotencyKeyReused);
}

// Guards against returning an incomplete response as complete when the response was too large to
// store.
TEST(ClaimServiceTest, ResponseThatWasNotStoredIsReportedAsRan) {
  provider::MemoryPlatform table;
  ClaimServiceHost first("brescia-1", table);
  ClaimServiceHost second("verona-1", table);
  const ClaimResult granted = first.Claim(MakeSubmission());
  ASSERT_TRUE(first.BeginDispatch(granted.submission_id));
  first.service().Complete(granted.submission_id,
                           {.status = 200, .body = std::string(20'000, 'x')});
  while (first.service().unwritten_claims() > 0) {
    std::this_thread::yield();
  }
  const ClaimResult resend = second.Claim(MakeSubmission());
  ASSERT_EQ(resend.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(resend.verdict.run_state, RunState::kRan);
  EXPECT_EQ(resend.verdict.reason, Reason::kAnswerNotKept);
}

// Guards against a stop that waits for the commit interval of a large fleet, or ends before it.
TEST(ClaimServiceTest, FlushWritesTheEndsOfClaimsBeforeTheCommitInterval) {
  provider::MemoryPlatform table;
  ClaimServiceHost first("brescia-1", table, 1h);
  const ClaimResult granted = first.Claim(MakeSubmission());
  ASSERT_TRUE(first.BeginDispatch(granted.submission_id));
  first.service().Complete(granted.submission_id,
                           {.status = 200, .content_type = "text/plain", .body = "done"});
  EXPECT_EQ(first.service().unwritten_claims(), 1U);
  first.service().Flush();
  first.service().SetCommitInterval(1h);
  while (first.service().unwritten_claims() > 0) {
    std::this_thread::yield();
  }
  ClaimServiceHost second("verona-1", table);
  EXPECT_EQ(second.Claim(MakeSubmission()).kind, ClaimResult::Kind::kDone);
}

// Guards against two claims that share a row, and against rows that lose a field when formatted and
// parsed.
TEST(ClaimRowCodecTest, RowKeysAreDistinctAndRowsRoundTrip) {
  const ClaimKey a{AccountId("x/y"), ServiceId("s"), RequestKey("k")};
  const ClaimKey b{AccountId("x"), ServiceId("y/s"), RequestKey("k")};
  EXPECT_NE(ClaimRowKey(a), ClaimRowKey(b));
  const ClaimRow row{
      .token = {.owner = {DaemonId("d"), 7, 0xffffffffffffffffULL}, .sequence = 3},
      .state = ClaimState::kDone,
      .body = ComputeSha256("body"),
      .answer = {
          .status = 200, .body = "a\n\"b\"", .digest = ComputeSha256("x"), .has_body = true}};
  const auto parsed = ParseClaimRow(FormatClaimRow(row));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(*parsed, row);
  for (const char* text : {"", "{}", "[]", "{\"token\": 1}"}) {
    EXPECT_FALSE(ParseClaimRow(text)) << text;
  }
}

}  // namespace
}  // namespace savoryglade
