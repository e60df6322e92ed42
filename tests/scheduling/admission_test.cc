#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "gtest/gtest.h"
#include "scheduling/scheduler.h"

namespace savoryglade {
namespace {

constexpr TimePoint kStart{};
const ServiceId kService("orders");
const AccountId kDrivers("drivers");
const AccountId kOffice("office");

class AdmissionTest : public testing::Test {
 protected:
  tl::expected<void, Verdict> Enqueue(const AccountId& account, double cost,
                                      Duration deadline = 10s) {
    return scheduler_.Enqueue({.ticket = ++last_ticket_,
                               .account = account,
                               .service = kService,
                               .predicted_cost = cost,
                               .enqueued = now_,
                               .deadline = now_ + deadline},
                              now_);
  }

  std::optional<QueuedRequest> Dequeue() {
    auto next = scheduler_.Dequeue([this](const ServiceId&) { return running_ < slots_; }, now_);
    running_ += next ? 1 : 0;
    return next;
  }

  void Finish(Ticket ticket, double cost) {
    --running_;
    scheduler_.Finish(ticket, cost, now_);
  }

  // Starts as many requests as there are slots, and leaves one more waiting.
  std::vector<Ticket> FillSlots(double cost) {
    std::vector<Ticket> started;
    for (std::size_t i = 0; i <= slots_; ++i) {
      EXPECT_TRUE(Enqueue(kDrivers, cost));
    }
    while (const auto next = Dequeue()) {
      started.push_back(next->ticket);
    }
    EXPECT_EQ(started.size(), slots_);
    return started;
  }

  Scheduler scheduler_{SchedulerOptions{}};
  TimePoint now_ = kStart + 1s;
  std::size_t slots_ = 4;
  std::size_t running_ = 0;
  Ticket last_ticket_ = 0;
};

// Guards against a request that waits until its deadline passes although this was predictable.
TEST_F(AdmissionTest, RequestThatCannotMeetItsDeadlineIsRejectedImmediately) {
  FillSlots(0.5);
  for (int i = 0; i < 8; ++i) {
    ASSERT_TRUE(Enqueue(kDrivers, 0.5));
  }
  // 9 requests of 0.5 s wait for 4 slots.
  const auto rejected = Enqueue(kDrivers, 0.5, 1s);
  ASSERT_FALSE(rejected);
  EXPECT_EQ(rejected.error().run_state, RunState::kNotRun);
  EXPECT_EQ(rejected.error().reason, Reason::kDeadlineUnreachable);
  EXPECT_GE(rejected.error().retry_after, 1s);
  EXPECT_TRUE(Enqueue(kDrivers, 0.5, 5s));
}

// Guards against a queue with few requests but a long wait.
TEST_F(AdmissionTest, QueueIsLimitedByPredictedWork) {
  FillSlots(0.5);
  int admitted = 0;
  while (admitted < 1000 && Enqueue(kDrivers, 0.5, 60s)) {
    ++admitted;
  }
  // 2 s of 4 slots are 16 requests of 0.5 s.
  EXPECT_NEAR(admitted, 16, 2);
}

// Guards against one account's full queue that causes rejections of the others.
TEST_F(AdmissionTest, FullQueueOfOneAccountAdmitsTheOthers) {
  FillSlots(0.5);
  while (Enqueue(kDrivers, 0.5, 60s)) {
  }
  EXPECT_TRUE(Enqueue(kOffice, 0.5, 2s));
}

// Guards against a service that rejects all requests permanently because a prediction is too high.
TEST_F(AdmissionTest, RequestAtEmptyQueueIsAlwaysAdmitted) {
  FillSlots(0.5);
  const auto waiting = Dequeue();
  ASSERT_FALSE(waiting);
  for (Ticket ticket = 1; ticket <= 4; ++ticket) {
    Finish(ticket, 0.5);
  }
  ASSERT_TRUE(Dequeue());
  EXPECT_TRUE(Enqueue(kDrivers, 1000, 1s));
  EXPECT_TRUE(Dequeue());
}

// Guards against an overload that outlasts its cause: after all upstreams failed, the requests
// rejected in the meantime must not cause further rejections.
TEST_F(AdmissionTest, ServiceAdmitsRequestsAgainAfterAllUpstreamsFailed) {
  for (const Ticket ticket : FillSlots(0.5)) {
    Finish(ticket, 0);
  }
  slots_ = 0;
  EXPECT_FALSE(Dequeue());
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    admitted += Enqueue(kDrivers, 0.5) ? 1 : 0;
  }
  EXPECT_LE(admitted, 8);
  now_ += 11s;
  scheduler_.Expire(now_);
  slots_ = 4;
  EXPECT_TRUE(Enqueue(kDrivers, 0.5));
  EXPECT_TRUE(Dequeue());
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(Enqueue(kDrivers, 0.5));
    Dequeue();
  }
}

// Guards against slots that are spent on requests whose callers have timed out.
TEST_F(AdmissionTest, RequestThatCanNoLongerEndInTimeIsNotStarted) {
  const std::vector<Ticket> started = FillSlots(0.5);
  ASSERT_TRUE(Enqueue(kDrivers, 0.5, 2s));
  const Ticket late = last_ticket_;
  now_ += 1600ms;
  for (const Ticket ticket : started) {
    Finish(ticket, 0.5);
  }
  while (const auto next = Dequeue()) {
    EXPECT_NE(next->ticket, late);
  }
  const auto expired = scheduler_.Expire(now_);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].ticket, late);
  EXPECT_EQ(expired[0].verdict.run_state, RunState::kNotRun);
  EXPECT_EQ(expired[0].verdict.reason, Reason::kDeadlineUnreachable);
  EXPECT_GE(expired[0].verdict.retry_after, 1s);
}

// Guards against rejected callers that all retry at the same time.
TEST_F(AdmissionTest, RetryAfterSpreadsTheRetries) {
  FillSlots(0.5);
  while (Enqueue(kDrivers, 0.5, 60s)) {
  }
  std::vector<Duration> times;
  for (int i = 0; i < 20; ++i) {
    const auto rejected = Enqueue(kDrivers, 0.5, 60s);
    ASSERT_FALSE(rejected);
    times.push_back(rejected.error().retry_after);
  }
  EXPECT_TRUE(std::is_sorted(times.begin(), times.end()));
  // 20 requests of 0.5 s at a quarter of 4 slots take 10 s.
  EXPECT_GE(times.back() - times.front(), 9s);
  EXPECT_LE(times.back(), 300s);
}

// Guards against a false "not run" for a request whose earlier attempt may have run.
TEST_F(AdmissionTest, RetryThatMayHaveRunIsNeverReportedAsNotRun) {
  FillSlots(0.5);
  QueuedRequest retry{.ticket = ++last_ticket_,
                      .account = kDrivers,
                      .service = kService,
                      .predicted_cost = 0.5,
                      .enqueued = now_,
                      .deadline = now_ + 1s,
                      .is_retry = true,
                      .run_state = RunState::kMayHaveRun};
  ASSERT_TRUE(scheduler_.Enqueue(retry, now_));
  for (int i = 0; i < 8; ++i) {
    ASSERT_TRUE(Enqueue(kDrivers, 0.5));
  }
  retry.ticket = ++last_ticket_;
  const auto rejected = scheduler_.Enqueue(retry, now_);
  ASSERT_FALSE(rejected);
  EXPECT_EQ(rejected.error().run_state, RunState::kMayHaveRun);
  const auto expired = scheduler_.Expire(now_ + 1s);
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].verdict.run_state, RunState::kMayHaveRun);
}

// Guards against retries that are charged to the retry budget and then rejected for a full queue.
TEST_F(AdmissionTest, RetryIsLimitedByItsDeadlineOnly) {
  FillSlots(0.5);
  while (Enqueue(kDrivers, 0.5, 60s)) {
  }
  const QueuedRequest retry{.ticket = ++last_ticket_,
                            .account = kDrivers,
                            .service = kService,
                            .predicted_cost = 0.5,
                            .enqueued = now_,
                            .deadline = now_ + 60s,
                            .is_retry = true};
  EXPECT_TRUE(scheduler_.Enqueue(retry, now_));
}

// Guards against a cancelled request that is dispatched or still counts as queued.
TEST_F(AdmissionTest, CancelledRequestIsNeitherDispatchedNorCounted) {
  FillSlots(0.5);
  std::vector<Ticket> waiting;
  while (Enqueue(kDrivers, 0.5, 60s)) {
    waiting.push_back(last_ticket_);
  }
  for (const Ticket ticket : waiting) {
    EXPECT_TRUE(scheduler_.Cancel(ticket));
    EXPECT_FALSE(scheduler_.Cancel(ticket));
  }
  EXPECT_EQ(scheduler_.size(), 1U);
  EXPECT_TRUE(Enqueue(kDrivers, 0.5, 60s));
}

}  // namespace
}  // namespace savoryglade
