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

ClaimSubmission Confirmation(const std::string& body = "{}") {
  return {.identity = {AccountId("office"), ServiceId("orders"), "delivery-1"},
          .body = ComputeSha256(body)};
}

// One daemon's claims with a context of their own over a shared table.
class ClaimHost {
 public:
  ClaimHost(const std::string& name, provider::Table& table)
      : service_(pool_.context(0), table,
                 {.owner = {.daemon = DaemonId(name), .incarnation = 1, .nonce = 1},
                  .committer = {.interval = 1ms}},
                 metrics_) {
    service_.Start();
  }
  ~ClaimHost() { pool_.Stop(); }

  ClaimResult Claim(const ClaimSubmission& sending) {
    return asio::co_spawn(pool_.context(0),
                          service_.Claim(sending, std::chrono::steady_clock::now()),
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

// Connects two daemons' claims without a network. Replies are posted, as they would arrive later.
void Connect(ClaimHost& a, ClaimHost& b) {
  a.service().SetPeers(
      {.send_query =
           [&b](const ClaimQuery& query) {
             b.service().OnQuery(query);
             return true;
           },
       .send_reply = [&b](const ClaimReply& reply) { b.service().OnReply(reply); }});
  b.service().SetPeers(
      {.send_query =
           [&a](const ClaimQuery& query) {
             a.service().OnQuery(query);
             return true;
           },
       .send_reply = [&a](const ClaimReply& reply) { a.service().OnReply(reply); }});
}

// Guards against a confirmation that runs a second time when its caller sends it to another daemon.
TEST(ClaimServiceTest, AResendAtAnotherDaemonGetsTheStoredAnswer) {
  provider::MemoryPlatform table;
  ClaimHost first("brescia-1", table);
  ClaimHost second("verona-1", table);
  Connect(first, second);
  const ClaimResult granted = first.Claim(Confirmation());
  ASSERT_EQ(granted.kind, ClaimResult::Kind::kGranted);
  ASSERT_TRUE(first.BeginDispatch(granted.token));
  first.service().Complete(granted.token,
                           {.status = 201, .content_type = "text/plain", .body = "done"});
  const ClaimResult again = second.Claim(Confirmation());
  ASSERT_EQ(again.kind, ClaimResult::Kind::kDone);
  EXPECT_EQ(again.response.status, 201U);
  EXPECT_EQ(again.response.content_type, "text/plain");
  EXPECT_EQ(again.response.body, "done");
}

// Guards against "not run" for a request whose dispatching daemon is gone.
TEST(ClaimServiceTest, AResendAfterTheOwnerIsGoneMayHaveRun) {
  provider::MemoryPlatform table;
  ClaimHost first("brescia-1", table);
  ClaimHost second("verona-1", table);
  const ClaimResult granted = first.Claim(Confirmation());
  ASSERT_EQ(granted.kind, ClaimResult::Kind::kGranted);
  ASSERT_TRUE(first.BeginDispatch(granted.token));
  // The failure detector has found the owner dead.
  second.service().SetPeers({.send_query = [&second](const ClaimQuery&) {
    second.service().OnDaemonGone(DaemonId("brescia-1"));
    return false;
  }});
  const ClaimResult again = second.Claim(Confirmation());
  ASSERT_EQ(again.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(again.verdict.run_state, RunState::kMayHaveRun);
}

// Guards against a refusal of a request that no daemon will run: its owner gives the claim up.
TEST(ClaimServiceTest, AnUndispatchedClaimIsTakenOverWithTheConsentOfItsOwner) {
  provider::MemoryPlatform table;
  ClaimHost first("brescia-1", table);
  ClaimHost second("verona-1", table);
  Connect(first, second);
  const ClaimResult granted = first.Claim(Confirmation());
  ASSERT_EQ(granted.kind, ClaimResult::Kind::kGranted);
  const ClaimResult taken = second.Claim(Confirmation());
  ASSERT_EQ(taken.kind, ClaimResult::Kind::kGranted);
  EXPECT_FALSE(first.BeginDispatch(granted.token));
  EXPECT_TRUE(second.BeginDispatch(taken.token));
}

// Guards against a dispatch while the claim can't be made durable.
TEST(ClaimServiceTest, DuringAnOutageTheRequestIsRefusedAsNotRun) {
  provider::MemoryPlatform table;
  table.SetFaults({.outage = true});
  ClaimHost host("brescia-1", table);
  const ClaimResult answer = host.Claim(Confirmation());
  ASSERT_EQ(answer.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(answer.verdict.run_state, RunState::kNotRun);
  EXPECT_EQ(answer.verdict.reason, Reason::kPlatformUnavailable);
  EXPECT_GT(answer.verdict.retry_after, Duration::zero());
}

// Guards against a key that is used again for another delivery and gets the first one's answer.
TEST(ClaimServiceTest, AnotherBodyUnderTheSameKeyIsRefused) {
  provider::MemoryPlatform table;
  ClaimHost first("brescia-1", table);
  ClaimHost second("verona-1", table);
  Connect(first, second);
  const ClaimResult granted = first.Claim(Confirmation());
  ASSERT_TRUE(first.BeginDispatch(granted.token));
  first.service().Complete(granted.token, {.status = 200, .body = "done"});
  const ClaimResult other = second.Claim(Confirmation("{\"other\": true}"));
  ASSERT_EQ(other.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(other.verdict.reason, Reason::kIdempotencyKeyReused);
}

// Guards against an incomplete answer passed on as whole because it was too large to keep.
TEST(ClaimServiceTest, AnAnswerThatWasNotKeptIsReportedAsRan) {
  provider::MemoryPlatform table;
  ClaimHost first("brescia-1", table);
  ClaimHost second("verona-1", table);
  const ClaimResult granted = first.Claim(Confirmation());
  ASSERT_TRUE(first.BeginDispatch(granted.token));
  first.service().Complete(granted.token, {.status = 200, .body = std::string(20'000, 'x')});
  while (!first.service().idle()) {
    std::this_thread::yield();
  }
  const ClaimResult again = second.Claim(Confirmation());
  ASSERT_EQ(again.kind, ClaimResult::Kind::kRefused);
  EXPECT_EQ(again.verdict.run_state, RunState::kRan);
  EXPECT_EQ(again.verdict.reason, Reason::kAnswerNotKept);
}

// Guards against two claims in one row and against rows that lose a field.
TEST(ClaimRowCodecTest, RowsAndNamesKeepClaimsApart) {
  const ClaimKey a{AccountId("x/y"), ServiceId("s"), RequestKey("k")};
  const ClaimKey b{AccountId("x"), ServiceId("y/s"), RequestKey("k")};
  EXPECT_NE(ClaimRowName(a), ClaimRowName(b));
  const ClaimRow row{
      .token = {.owner = {DaemonId("d"), 7, 0xffffffffffffffffULL}, .sequence = 3},
      .state = ClaimState::kDone,
      .body = ComputeSha256("body"),
      .answer = {
          .status = 200, .body = "a\n\"b\"", .digest = ComputeSha256("x"), .has_body = true}};
  const auto parsed = ParseClaimRow(PrintClaimRow(row));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(*parsed, row);
  for (const char* text : {"", "{}", "[]", "{\"token\": 1}"}) {
    EXPECT_FALSE(ParseClaimRow(text)) << text;
  }
}

}  // namespace
}  // namespace savoryglade
