#include "scheduling/admission_queue.h"

#include <gtest/gtest.h>

#include <vector>

#include "core/random.h"

namespace savoryglade {
namespace {

TimePoint At(Duration time) { return TimePoint(100s) + time; }

constexpr int kUrgent = 0;
constexpr int kUsual = 1;
constexpr std::uint64_t kNeverGuaranteed = ~std::uint64_t{0} / 2;

class AdmissionQueueTest : public testing::Test {
 protected:
  AdmissionQueueTest() : queue_(AdmissionOptions{}) {}

  AdmissionRequest Request(int rank, double cost, TimePoint now,
                           std::uint64_t spread = kNeverGuaranteed) {
    return {.ticket = next_ticket_++,
            .rank = rank,
            .cost = cost,
            .objective = 1s,
            .arrived = now,
            .spread = spread};
  }

  // Lets the queue see this demand of both ranks while nothing delays it.
  void SeeDemand(int count) {
    for (int i = 0; i < count; ++i) {
      const TimePoint now = At(i * 10ms);
      queue_.Offer(Request(kUrgent, 500, now), {}, now);
      queue_.Offer(Request(kUsual, 5'000, now), {}, now);
      queue_.OnServed(5'500, now);
    }
  }

  AdmissionQueue queue_;
  Ticket next_ticket_ = 1;
};

// Guards against refusals while upstreams are free and nothing waits.
TEST_F(AdmissionQueueTest, WithoutDelayEveryRequestStarts) {
  for (int i = 0; i < 1'000; ++i) {
    const TimePoint now = At(i * 1ms);
    const AdmissionRequest request = Request(i % 10, 100.0 * (i % 100 + 1), now);
    EXPECT_EQ(queue_.Offer(request, {.delay = 100ms, .place_use = 0.9}, now).verdict,
              AdmissionVerdict::kStart);
  }
}

// Guards against a service whose first events take as long as the objective without any load, and
// of which nine requests in ten are refused for ever.
TEST_F(AdmissionQueueTest, ServiceThatIsSlowWithoutLoadIsServed) {
  SeeDemand(100);
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = At(1s + i * 10ms);
    const ServiceLoad slow{.delay = 3s, .cost_s = 1e-5, .place_use = 0.2, .waiting_s = 0.05};
    EXPECT_EQ(queue_.Offer(Request(kUsual, 5'000, now), slow, now).verdict,
              AdmissionVerdict::kStart);
  }
}

// Guards against expensive work that makes urgent work late: first come, first served.
TEST_F(AdmissionQueueTest, UnderDelayUrgentWorkStartsAndOtherWorkDoesNot) {
  SeeDemand(100);
  const TimePoint now = At(1s);
  const ServiceLoad load{.delay = 600ms, .cost_s = 1e-5, .place_use = 0.9};
  EXPECT_EQ(queue_.Offer(Request(kUrgent, 500, now), load, now).verdict, AdmissionVerdict::kStart);
  EXPECT_NE(queue_.Offer(Request(kUsual, 5'000, now), load, now).verdict, AdmissionVerdict::kStart);
}

// Guards against a delay that suits the requests with much time and makes all others late, where an
// account gives all of its requests one rank.
TEST_F(AdmissionQueueTest, TheTightestObjectiveLimitsTheDelay) {
  const auto with_objective = [&](Duration objective, double cost, TimePoint now) {
    AdmissionRequest request = Request(kUsual, cost, now);
    request.objective = objective;
    return request;
  };
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = At(i * 10ms);
    queue_.Offer(with_objective(4s, 5'000, now), {}, now);
    queue_.Offer(with_objective(500ms, 500, now), {}, now);
  }
  const TimePoint now = At(1s);
  const ServiceLoad load{.delay = 400ms, .cost_s = 1e-5, .place_use = 0.9};
  EXPECT_NE(queue_.Offer(with_objective(4s, 5'000, now), load, now).verdict,
            AdmissionVerdict::kStart);
}

// Guards against a class that gets nothing for as long as the load lasts, and against a guarantee
// that grows with the load.
TEST_F(AdmissionQueueTest, SomeRequestsOfEachRankStartWhateverTheDelay) {
  SeeDemand(100);
  Random random(1);
  int started = 0;
  for (int i = 0; i < 2'000; ++i) {
    const TimePoint now = At(1s + i * 1ms);
    const AdmissionRequest request = Request(kUsual, 5'000, now, random.Next());
    const auto verdict =
        queue_.Offer(request, {.delay = 5s, .cost_s = 1e-5, .place_use = 0.9}, now).verdict;
    started += verdict == AdmissionVerdict::kStart ? 1 : 0;
    if (i % 2 == 0) {
      queue_.OnServed(5'000, now);
    }
  }
  // A tenth of the work that is served.
  EXPECT_GT(started, 80);
  EXPECT_LT(started, 120);
}

// Guards against a request that waits although it is known that it would be late.
TEST_F(AdmissionQueueTest, RequestThatCanNotStartInTimeIsRefusedAtOnce) {
  SeeDemand(100);
  const TimePoint now = At(1s);
  const auto decision = queue_.Offer(Request(kUsual, 5'000, now),
                                     {.delay = 5s, .cost_s = 1e-5, .place_use = 0.9}, now);
  EXPECT_EQ(decision.verdict, AdmissionVerdict::kRefuse);
  EXPECT_GT(decision.retry_after, 1s);
}

// Guards against a queue that holds more work than its requests have time for.
TEST_F(AdmissionQueueTest, WaitingWorkIsBoundedByWhatIsServedInTime) {
  SeeDemand(100);
  const TimePoint now = At(1s);
  const ServiceLoad full{.cost_s = 1e-5, .has_place = false};
  int waiting = 0;
  while (queue_.Offer(Request(kUsual, 5'000, now), full, now).verdict == AdmissionVerdict::kWait) {
    ASSERT_LT(++waiting, 64);
  }
  EXPECT_GT(waiting, 0);
  EXPECT_EQ(queue_.waiting(), static_cast<std::size_t>(waiting));
}

// Guards against a refusal although a place becomes free a moment later, and against an order of
// arrival in which urgent work waits behind other work.
TEST_F(AdmissionQueueTest, WaitingRequestsStartInTheOrderOfTheirRank) {
  SeeDemand(100);
  const TimePoint now = At(1s);
  const ServiceLoad full{.cost_s = 1e-5, .has_place = false};
  const AdmissionRequest usual = Request(kUsual, 5'000, now);
  const AdmissionRequest urgent = Request(kUrgent, 500, now);
  ASSERT_EQ(queue_.Offer(usual, full, now).verdict, AdmissionVerdict::kWait);
  ASSERT_EQ(queue_.Offer(urgent, full, now).verdict, AdmissionVerdict::kWait);
  queue_.OnServed(5'000, now);
  EXPECT_EQ(queue_.Release({.cost_s = 1e-5}, now + 10ms),
            (std::vector<Ticket>{urgent.ticket, usual.ticket}));
  EXPECT_EQ(queue_.waiting(), 0U);
}

// Guards against a queue that empties at once into upstreams that have just become free.
TEST_F(AdmissionQueueTest, WaitingWorkStartsAtTheRateOfServedWork) {
  SeeDemand(100);
  const TimePoint now = At(1s);
  const ServiceLoad full{.cost_s = 1e-5, .has_place = false};
  for (int i = 0; i < 10; ++i) {
    ASSERT_EQ(queue_.Offer(Request(kUsual, 5'000, now), full, now).verdict,
              AdmissionVerdict::kWait);
  }
  queue_.OnServed(5'000, now);
  const std::size_t first = queue_.Release({.cost_s = 1e-5}, now + 1ms).size();
  EXPECT_GE(first, 1U);
  EXPECT_LT(first, 10U);
  EXPECT_TRUE(queue_.Release({.cost_s = 1e-5}, now + 2ms).empty());
}

// Guards against a wait that outlasts its use.
TEST_F(AdmissionQueueTest, RequestLeavesWhenItsWaitIsNoLongerUseful) {
  SeeDemand(100);
  const TimePoint now = At(1s);
  const AdmissionRequest request = Request(kUsual, 5'000, now);
  ASSERT_EQ(queue_.Offer(request, {.has_place = false}, now).verdict, AdmissionVerdict::kWait);
  EXPECT_TRUE(queue_.Expire(now + 100ms).empty());
  EXPECT_EQ(queue_.Expire(now + 1s), std::vector<Ticket>{request.ticket});
  EXPECT_EQ(queue_.waiting(), 0U);
}

// Guards against a queue that starts the request of a caller that has left.
TEST_F(AdmissionQueueTest, RemovedRequestDoesNotStart) {
  const TimePoint now = At(0s);
  const AdmissionRequest request = Request(kUsual, 5'000, now);
  ASSERT_EQ(queue_.Offer(request, {.has_place = false}, now).verdict, AdmissionVerdict::kWait);
  EXPECT_TRUE(queue_.Remove(request.ticket));
  EXPECT_FALSE(queue_.Remove(request.ticket));
  EXPECT_TRUE(queue_.Release({}, now + 100ms).empty());
}

// Guards against callers that are refused together and come back together.
TEST_F(AdmissionQueueTest, RefusedRequestsReturnOneAfterAnother) {
  SeeDemand(100);
  const TimePoint now = At(1s);
  const ServiceLoad load{.delay = 3s, .cost_s = 1e-5, .place_use = 0.9};
  Duration last = Duration::zero();
  for (int i = 0; i < 10; ++i) {
    const Duration retry_after = queue_.RefusalDelay(Request(kUsual, 50'000, now), load, now);
    EXPECT_GE(retry_after, last);
    last = retry_after;
  }
  EXPECT_EQ(last, AdmissionOptions{}.max_retry_after);
}

}  // namespace
}  // namespace savoryglade
