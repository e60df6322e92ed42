#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "scheduling/cost_predictor.h"
#include "scheduling/scheduler.h"

namespace savoryglade {
namespace {

constexpr TimePoint kStart{};
const ServiceId kService("diagnosis");
const AccountId kCounter("counter");
const AccountId kWorkshop("workshop");

constexpr double kShortCost = 0.2;
constexpr double kLongCost = 10;

// One service with a settable number of slots, of which the scheduler learns by being refused.
class SizeOrderTest : public testing::Test {
 protected:
  Ticket Queue(const AccountId& account, double cost) {
    const Ticket ticket = ++last_ticket_;
    EXPECT_TRUE(scheduler_.Enqueue({.ticket = ticket,
                                    .account = account,
                                    .service = kService,
                                    .predicted_cost = cost,
                                    .enqueued = now_,
                                    .deadline = now_ + 1h},
                                   now_));
    return ticket;
  }

  std::optional<QueuedRequest> Dequeue() {
    auto next = scheduler_.Dequeue([this](const ServiceId&) { return running_ < slots_; }, now_);
    running_ += next ? 1 : 0;
    return next;
  }

  void Finish(const QueuedRequest& request) {
    --running_;
    scheduler_.Finish(request.ticket, request.predicted_cost, now_);
  }

  // Runs short work at the given number of slots for 60 s, one request after another in each.
  void RunShortWork(std::size_t slots) {
    for (int round = 0; round < 300; ++round) {
      for (std::size_t i = 0; i < slots; ++i) {
        Queue(kCounter, kShortCost);
      }
      std::vector<QueuedRequest> started;
      while (const auto next = Dequeue()) {
        started.push_back(*next);
      }
      now_ += FromSeconds(kShortCost);
      for (const QueuedRequest& request : started) {
        Finish(request);
      }
    }
  }

  // Makes the scheduler learn the number of slots.
  void FillSlots() {
    std::vector<QueuedRequest> started;
    for (std::size_t i = 0; i <= slots_; ++i) {
      Queue(kCounter, kShortCost);
    }
    while (const auto next = Dequeue()) {
      started.push_back(*next);
    }
    for (const QueuedRequest& request : started) {
      Finish(request);
    }
    while (const auto next = Dequeue()) {
      Finish(*next);
    }
  }

  Scheduler scheduler_{SchedulerOptions{.max_wait = 1h, .ageing = 0.5}};
  TimePoint now_ = kStart + 1s;
  std::size_t slots_ = 16;
  std::size_t running_ = 0;
  Ticket last_ticket_ = 0;
};

// Guards against a lookup that waits behind the diagnoses that its own account sent before it.
TEST_F(SizeOrderTest, ShortWorkPrecedesLongWorkOfItsAccount) {
  Queue(kCounter, kShortCost);
  Queue(kCounter, kLongCost);
  const Ticket lookup = Queue(kCounter, kShortCost);
  Dequeue();
  EXPECT_EQ(Dequeue()->ticket, lookup);
}

// Guards against a lookup that waits behind another account's diagnoses although both accounts are
// within their shares.
TEST_F(SizeOrderTest, ShortWorkPrecedesLongWorkOfAnotherAccount) {
  RunShortWork(4);
  FillSlots();
  Queue(kWorkshop, kLongCost);
  const Ticket lookup = Queue(kCounter, kShortCost);
  EXPECT_EQ(Dequeue()->ticket, lookup);
}

// Guards against a diagnosis that never runs because lookups keep arriving.
TEST_F(SizeOrderTest, AgeingBoundsTheWaitOfLongWork) {
  slots_ = 2;
  RunShortWork(2);
  const Ticket diagnosis = Queue(kCounter, kLongCost);
  const TimePoint queued = now_;
  std::optional<TimePoint> started;
  while (!started && now_ < queued + 60s) {
    Queue(kCounter, kShortCost);
    Queue(kCounter, kShortCost);
    std::vector<QueuedRequest> batch;
    while (const auto next = Dequeue()) {
      if (next->ticket == diagnosis) {
        started = now_;
      }
      batch.push_back(*next);
    }
    now_ += FromSeconds(kShortCost);
    for (const QueuedRequest& request : batch) {
      Finish(request);
    }
  }
  ASSERT_TRUE(started);
  // Half of its cost by the ageing, and one lookup that runs.
  EXPECT_LE(ToSeconds(*started - queued), 0.5 * kLongCost + 2 * kShortCost);
}

// Guards against diagnoses that fill all slots, so that lookups wait until one ends.
TEST_F(SizeOrderTest, LongWorkLeavesSlotsForShortWork) {
  RunShortWork(4);
  FillSlots();
  for (int i = 0; i < 40; ++i) {
    Queue(kWorkshop, kLongCost);
  }
  std::size_t started = 0;
  while (Dequeue()) {
    ++started;
  }
  EXPECT_LE(started, slots_ - 4);
  EXPECT_GE(started, slots_ / 4);
  Queue(kCounter, kShortCost);
  EXPECT_TRUE(Dequeue());
}

// Guards against slots that stay empty for short work that nobody sends.
TEST_F(SizeOrderTest, LongWorkAloneMayUseAllSlots) {
  slots_ = 8;
  Queue(kWorkshop, kLongCost);
  for (int i = 0; i < 20; ++i) {
    Queue(kWorkshop, kLongCost);
  }
  std::size_t started = 0;
  while (Dequeue()) {
    ++started;
  }
  EXPECT_EQ(started, slots_);
}

// Guards against routing that fills one upstream with long work while the total is within limits.
TEST_F(SizeOrderTest, LongSlotFractionLeavesRoomForTheShortLoad) {
  EXPECT_EQ(scheduler_.LongSlotFraction(kService, now_), 1);
  RunShortWork(4);
  FillSlots();
  const double fraction = scheduler_.LongSlotFraction(kService, now_);
  EXPECT_LE(fraction, 12.0 / 16);
  EXPECT_GE(fraction, 0.25);
}

// Guards against an engine that runs a diagnosis before a lookup that came later.
TEST_F(SizeOrderTest, EnginePriorityRisesWithCostAndFallsWithWaiting) {
  RunShortWork(2);
  Queue(kCounter, kShortCost);
  const auto lookup = Dequeue();
  Queue(kCounter, kLongCost);
  const auto fresh = Dequeue();
  ASSERT_TRUE(lookup && fresh);
  EXPECT_LT(lookup->engine_priority, fresh->engine_priority);
  EXPECT_LE(fresh->engine_priority, 9);
  Queue(kCounter, kLongCost);
  now_ += 30s;
  const auto aged = Dequeue();
  ASSERT_TRUE(aged);
  EXPECT_LT(aged->engine_priority, fresh->engine_priority);
}

// Guards against costs that are predicted from the caller's limit although answers are short.
TEST(CostPredictorTest, ActualCostsCorrectThePrediction) {
  CostPredictor predictor;
  const CostQuery query{
      .account = kCounter, .service = kService, .request_bytes = 500, .max_tokens = 4096};
  for (int i = 0; i < 100; ++i) {
    predictor.Learn(query, 0.3);
  }
  EXPECT_NEAR(predictor.Predict(query), 0.3, 0.03);
}

// Guards against an account with unusual work that is predicted from the work of the others.
TEST(CostPredictorTest, AccountsWithOtherCostsAreToldApart) {
  CostPredictor predictor;
  CostQuery query{.account = kCounter, .service = kService, .max_tokens = 1000};
  CostQuery other = query;
  other.account = kWorkshop;
  for (int i = 0; i < 100; ++i) {
    predictor.Learn(query, 0.2);
    predictor.Learn(other, 10);
  }
  EXPECT_NEAR(predictor.Predict(query), 0.2, 0.5);
  EXPECT_NEAR(predictor.Predict(other), 10, 1);
}

// Guards against a new account whose first requests are predicted without regard to the service.
TEST(CostPredictorTest, NewAccountStartsFromTheHistoryOfTheService) {
  CostPredictor predictor;
  CostQuery query{.account = kCounter, .service = kService, .max_tokens = 1000};
  for (int i = 0; i < 100; ++i) {
    predictor.Learn(query, 2);
  }
  query.account = kWorkshop;
  EXPECT_NEAR(predictor.Predict(query), 2, 0.2);
}

// Guards against a caller that varies its sizes and fills the memory with histories.
TEST(CostPredictorTest, HistoriesAreBounded) {
  CostPredictor predictor;
  for (int i = 0; i < 20000; ++i) {
    predictor.Learn({.account = AccountId(std::to_string(i)), .service = kService}, 1);
  }
  EXPECT_LE(predictor.size(), 16384U);
}

}  // namespace
}  // namespace savoryglade
