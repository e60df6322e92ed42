#include "recovery/retry_policy.h"

#include <optional>
#include <variant>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade {
namespace {

constexpr TimePoint kNow{100s};
const AccountId kAccount("drivers");
const ServiceId kService("orders");

FailedAttempt Lost() {
  return {.account = kAccount,
          .service = kService,
          .run_state = RunState::kMayHaveRun,
          .repeatable = true,
          .deadline = kNow + 10s};
}

class RetryPolicyTest : public testing::Test {
 protected:
  void Send(int requests) {
    for (int i = 0; i < requests; ++i) {
      policy_.OnRequest(kAccount, kService);
    }
  }

  static Verdict GetVerdict(const RetryDecision& decision) {
    const auto* give_up = std::get_if<GiveUp>(&decision);
    EXPECT_NE(give_up, nullptr);
    return give_up == nullptr ? Verdict{} : give_up->verdict;
  }

  static bool IsRetry(const RetryDecision& decision) {
    return std::holds_alternative<Retry>(decision);
  }

  RetryPolicy policy_{RetryPolicyOptions{}, Random(1)};
};

// Guards against a may-not-repeat request, such as a delivery confirmation, that runs twice because
// its upstream was lost.
TEST_F(RetryPolicyTest, MayNotRepeatRequestIsNeverRetriedAfterDispatch) {
  Send(100);
  FailedAttempt attempt = Lost();
  attempt.may_not_repeat = true;
  // Applies even if the method would allow a retry.
  attempt.repeatable = true;
  const Verdict lost = GetVerdict(policy_.Decide(attempt, kNow));
  EXPECT_EQ(lost.run_state, RunState::kMayHaveRun);
  EXPECT_EQ(lost.reason, Reason::kUpstreamLost);
  EXPECT_EQ(lost.retry_after, Duration::zero());
  // The report of the upstream allows the verdict kNotRun, but no second dispatch.
  attempt.run_state = RunState::kNotRun;
  EXPECT_EQ(GetVerdict(policy_.Decide(attempt, kNow)).run_state, RunState::kNotRun);
}

// Guards against giving up a request of which nothing was sent.
TEST_F(RetryPolicyTest, MayNotRepeatRequestIsRetriedBeforeDispatch) {
  Send(100);
  FailedAttempt attempt = Lost();
  attempt.may_not_repeat = true;
  attempt.repeatable = false;
  attempt.dispatched = false;
  attempt.run_state = RunState::kNotRun;
  EXPECT_TRUE(IsRetry(policy_.Decide(attempt, kNow)));
}

// Guards against a POST that runs twice.
TEST_F(RetryPolicyTest, RequestThatIsNotRepeatableIsNotRetriedAfterItMayHaveRun) {
  Send(100);
  FailedAttempt attempt = Lost();
  attempt.repeatable = IsRepeatableMethod("POST");
  EXPECT_EQ(GetVerdict(policy_.Decide(attempt, kNow)).run_state, RunState::kMayHaveRun);
  attempt.repeatable = IsRepeatableMethod("PUT");
  EXPECT_TRUE(IsRetry(policy_.Decide(attempt, kNow)));
}

// Guards against a second run of a request whose response arrived.
TEST_F(RetryPolicyTest, RequestThatRanIsNotRetried) {
  Send(100);
  FailedAttempt attempt = Lost();
  attempt.run_state = RunState::kRan;
  EXPECT_EQ(GetVerdict(policy_.Decide(attempt, kNow)).run_state, RunState::kRan);
}

// Guards against retries that multiply the load while upstreams fail.
TEST_F(RetryPolicyTest, RetriesStayWithinATenthOfTheRequests) {
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    Send(1);
    retries += IsRetry(policy_.Decide(Lost(), kNow)) ? 1 : 0;
  }
  EXPECT_LE(retries, kRequests / 10 + 1);
  EXPECT_GE(retries, kRequests / 10 - 1);
  EXPECT_EQ(GetVerdict(policy_.Decide(Lost(), kNow)).reason, Reason::kRetryBudgetExhausted);
}

// Guards against a retry storm from budget that accumulated while there were no failures.
TEST_F(RetryPolicyTest, UnusedBudgetIsBounded) {
  Send(100000);
  int retries = 0;
  while (retries < 1000 && IsRetry(policy_.Decide(Lost(), kNow))) {
    ++retries;
  }
  EXPECT_EQ(retries, 40);
}

// Guards against one account that uses up the retries of the others.
TEST_F(RetryPolicyTest, AccountsAndServicesHaveTheirOwnBudgets) {
  Send(100);
  policy_.OnRequest(AccountId("office"), kService);
  FailedAttempt other = Lost();
  other.account = AccountId("office");
  EXPECT_TRUE(IsRetry(policy_.Decide(other, kNow)));
  EXPECT_FALSE(IsRetry(policy_.Decide(other, kNow)));
  EXPECT_TRUE(IsRetry(policy_.Decide(Lost(), kNow)));
  other = Lost();
  other.service = ServiceId("assistant");
  EXPECT_FALSE(IsRetry(policy_.Decide(other, kNow)));
}

// Guards against requests of a lost upstream that are all retried at the same time.
TEST_F(RetryPolicyTest, BackoffGrowsAndIsJittered) {
  Send(1000);
  std::vector<Duration> delays;
  for (int attempts = 1; attempts <= 2; ++attempts) {
    FailedAttempt attempt = Lost();
    attempt.attempts = attempts;
    for (int i = 0; i < 2; ++i) {
      const RetryDecision decision = policy_.Decide(attempt, kNow);
      const auto* retry = std::get_if<Retry>(&decision);
      ASSERT_NE(retry, nullptr);
      EXPECT_GE(retry->delay, 25ms * attempts);
      EXPECT_LE(retry->delay, 50ms * attempts);
      delays.push_back(retry->delay);
    }
  }
  EXPECT_NE(delays[0], delays[1]);
  EXPECT_NE(delays[2], delays[3]);
}

// Guards against endless attempts, and against an attempt that can't complete within the deadline.
TEST_F(RetryPolicyTest, AttemptsStopAtLimitAndAtDeadline) {
  Send(100);
  FailedAttempt attempt = Lost();
  attempt.attempts = 3;
  EXPECT_FALSE(IsRetry(policy_.Decide(attempt, kNow)));
  attempt = Lost();
  attempt.predicted_duration = 10s;
  const Verdict verdict = GetVerdict(policy_.Decide(attempt, kNow));
  EXPECT_EQ(verdict.reason, Reason::kUpstreamLost);
  EXPECT_GE(verdict.retry_after, 1s);
}

class HedgeTest : public RetryPolicyTest {
 protected:
  HedgeTest() {
    for (int i = 1; i <= 100; ++i) {
      policy_.OnFirstToken(kService, i * 10ms);
    }
  }

  RunningRequest request_{.account = kAccount,
                          .service = kService,
                          .repeatable = true,
                          .dispatched = kNow,
                          .deadline = kNow + 10s};
};

// Guards against hedging nearly every request.
TEST_F(HedgeTest, HedgeIsDelayedToLatencyQuantile) {
  Send(10);
  const std::optional<Duration> delay = policy_.HedgeDelay(request_, kNow);
  ASSERT_TRUE(delay);
  // The quantile was last computed after 96 samples.
  EXPECT_GE(*delay, 900ms);
  EXPECT_LE(*delay, 960ms);
  EXPECT_EQ(policy_.HedgeDelay(request_, kNow + 5s), Duration::zero());
}

// Guards against a hedge that runs a may-not-repeat request twice.
TEST_F(HedgeTest, OnlyRepeatableRequestsAreHedged) {
  Send(100);
  request_.may_not_repeat = true;
  EXPECT_FALSE(policy_.HedgeDelay(request_, kNow));
  EXPECT_FALSE(policy_.ChargeHedge(request_));
  request_.may_not_repeat = false;
  request_.repeatable = false;
  EXPECT_FALSE(policy_.HedgeDelay(request_, kNow));
  EXPECT_FALSE(policy_.ChargeHedge(request_));
}

// Guards against hedges outside the retry budget, which add load when all upstreams are slow.
TEST_F(HedgeTest, HedgesAndRetriesShareOneBudget) {
  Send(1);
  EXPECT_TRUE(policy_.ChargeHedge(request_));
  EXPECT_FALSE(policy_.ChargeHedge(request_));
  EXPECT_FALSE(policy_.HedgeDelay(request_, kNow));
  EXPECT_FALSE(IsRetry(policy_.Decide(Lost(), kNow)));
}

// Guards against hedges for a service whose usual latency is not yet known.
TEST_F(HedgeTest, NoHedgeWithoutLatencySamples) {
  policy_.OnRequest(kAccount, ServiceId("new"));
  request_.service = ServiceId("new");
  EXPECT_FALSE(policy_.HedgeDelay(request_, kNow));
}

}  // namespace
}  // namespace savoryglade
